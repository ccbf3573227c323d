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

// Snapshot returns the content of the service, with which another process can Resume.
func (s *StateService) Snapshot() StateSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := StateSnapshot{Revision: s.revision, Leases: map[uint64]int64{}}
	s.items.Scan(func(_ string, item wire.KeyValue) bool {
		snapshot.Items = append(snapshot.Items, item)
		return true
	})
	for id, lease := range s.leases {
		snapshot.Leases[id] = lease.ttl.Milliseconds()
	}
	return snapshot
}

// Resume loads a snapshot into an empty service. As after an outage, every lease has its full time to
// live again. Earlier changes are not retained, so watches from before the snapshot fail as too old.
func (s *StateService) Resume(snapshot StateSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compactedRevision = snapshot.Revision, snapshot.Revision
	for _, item := range snapshot.Items {
		s.items.Set(item.Key, item)
	}
	for id, ms := range snapshot.Leases {
		ttl := time.Duration(ms) * time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	}
}
