package simulator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// DropHistory discards the retained changes: every watch that starts earlier than now fails as too
// old.
func (s *StateService) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// Page lists keys, bypassing limits and faults.
func (s *StateService) Page(prefix, after string, limit int) *wire.KeyValueList {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.list(prefix, after, limit)
	return &l
}

// Since returns the changes after a revision, or false if they are no longer retained. It bypasses
// limits and faults.
func (s *StateService) Since(prefix string, from uint64) (*wire.WatchResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(prefix, from)
}

// list returns one page of keys. The lock is held.
func (s *StateService) list(prefix, after string, limit int) wire.KeyValueList {
	out := wire.KeyValueList{Items: []wire.KeyValue{}, Revision: s.revision}
	most := cmp.Or(s.Limits.PageItems, wire.MaxItems)
	if limit > 0 {
		most = min(most, limit)
	}
	bytes := 0
	s.items.Ascend(max(prefix, after), func(key string, it wire.KeyValue) bool {
		if !strings.HasPrefix(key, prefix) {
			return key < prefix
		}
		if key == after {
			return true
		}
		if bytes += len(key) + len(it.Value) + 40; len(out.Items) == most || len(out.Items) > 0 && bytes > maxPageBytes {
			out.More = true
			return false
		}
		out.Items = append(out.Items, it)
		return true
	})
	return out
}

// since returns the retained changes after a revision. The lock is held.
func (s *StateService) since(prefix string, from uint64) (*wire.WatchResponse, bool) {
	if from < s.compactedRevision {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(s.history, from+1, func(e wire.Event, v uint64) int { return cmp.Compare(e.Version, v) })
	out := &wire.WatchResponse{Revision: s.revision}
	for _, e := range s.history[i:] {
		if strings.HasPrefix(e.Put, prefix) && e.Put != "" || strings.HasPrefix(e.Delete, prefix) && e.Delete != "" {
			out.Events = append(out.Events, e)
		}
	}
	return out, true
}

// watch waits for changes after a revision.
func (s *StateService) watch(caller string, q map[string]string) (int, any) {
	from, _ := strconv.ParseUint(q["from"], 10, 64)
	wait, _ := strconv.Atoi(q["block_ms"])
	wait = min(wait, maxWatchMS)
	until := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		s.expireLeases()
		down, changed := s.down || s.refusedCallers[caller], s.changed
		out, kept := s.since(q["prefix"], from)
		s.mu.Unlock()
		if !down && !kept {
			return 410, wire.Failure{Error: "too old"}
		}
		if down && wait == 0 {
			return 503, nil
		}
		if !down && (last || len(out.Events) > 0) {
			return 200, out
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-until:
			last = true
		}
	}
}
