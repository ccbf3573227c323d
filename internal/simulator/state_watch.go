package simulator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// DropHistory discards the retained changes, so that a watch from an earlier revision than the current one
// fails as too old.
func (s *StateService) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// Page returns one page of keys, bypassing rate limits and faults.
func (s *StateService) Page(prefix, after string, limit int) *wire.KeyValueList {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := s.list(prefix, after, limit)
	return &page
}

// Since returns the changes after a revision, or false if they are no longer retained. It bypasses limits
// and faults.
func (s *StateService) Since(prefix string, from uint64) (*wire.WatchResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(prefix, from)
}

// list returns one page of the keys with a prefix that come after the key after. The caller holds the
// lock.
func (s *StateService) list(prefix, after string, limit int) wire.KeyValueList {
	page := wire.KeyValueList{Items: []wire.KeyValue{}, Revision: s.revision}
	maxItems := cmp.Or(s.Limits.PageItems, wire.MaxKeysPerPage)
	if limit > 0 {
		maxItems = min(maxItems, limit)
	}
	size := 0
	s.items.Ascend(max(prefix, after), func(key string, item wire.KeyValue) bool {
		if !strings.HasPrefix(key, prefix) {
			return key < prefix
		}
		if key == after {
			return true
		}
		if size += len(key) + len(item.Value) + 40; len(page.Items) == maxItems || len(page.Items) > 0 && size > maxPageBytes {
			page.More = true
			return false
		}
		page.Items = append(page.Items, item)
		return true
	})
	return page
}

// since implements Since. The caller holds the lock.
func (s *StateService) since(prefix string, from uint64) (*wire.WatchResponse, bool) {
	if from < s.compactedRevision {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(s.history, from+1, func(event wire.Event, version uint64) int { return cmp.Compare(event.Version, version) })
	out := &wire.WatchResponse{Revision: s.revision}
	for _, event := range s.history[first:] {
		if strings.HasPrefix(event.Put, prefix) && event.Put != "" || strings.HasPrefix(event.Delete, prefix) && event.Delete != "" {
			out.Events = append(out.Events, event)
		}
	}
	return out, true
}

// watch handles a watch: it waits for changes after a revision, or until the time to block has passed.
func (s *StateService) watch(caller string, query map[string]string) (int, any) {
	from, _ := strconv.ParseUint(query["from"], 10, 64)
	blockMS, _ := strconv.Atoi(query["block_ms"])
	blockMS = min(blockMS, maxWatchMS)
	timeout := time.After(time.Duration(blockMS) * time.Millisecond)
	for timedOut := blockMS == 0; ; {
		s.mu.Lock()
		s.expireLeases()
		down, changed := s.down || s.refusedCallers[caller], s.changed
		response, retained := s.since(query["prefix"], from)
		s.mu.Unlock()
		if !down && !retained {
			return 410, wire.Failure{Error: "too old"}
		}
		if down && blockMS == 0 {
			return 503, nil
		}
		if !down && (timedOut || len(response.Events) > 0) {
			return 200, response
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-timeout:
			timedOut = true
		}
	}
}
