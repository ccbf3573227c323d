package simulator

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// StateSnapshot is the content of a state service as it is stored on disk.
type StateSnapshot struct {
	Revision uint64           `cbor:"era"`
	Items    []wire.KeyValue  `cbor:"items"`
	Leases   map[uint64]int64 `cbor:"holds"` // time to live in ms, by lease
}

// Snapshot returns the content, for another process to continue with.
func (s *StateService) Snapshot() StateSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := StateSnapshot{Revision: s.revision, Leases: map[uint64]int64{}}
	s.items.Scan(func(_ string, it wire.KeyValue) bool {
		k.Items = append(k.Items, it)
		return true
	})
	for id, l := range s.leases {
		k.Leases[id] = l.ttl.Milliseconds()
	}
	return k
}

// Resume loads content into an empty service. As after an outage every lease has its full time to
// live; earlier changes are not retained.
func (s *StateService) Resume(k StateSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compactedRevision = k.Revision, k.Revision
	for _, it := range k.Items {
		s.items.Set(it.Key, it)
	}
	for id, ms := range k.Leases {
		ttl := time.Duration(ms) * time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	}
}
