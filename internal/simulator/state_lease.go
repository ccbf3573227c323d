package simulator

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// lease is a lease in the state service. Its keys are deleted when it ends.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// expireLeases ends the leases that were not renewed in time. During an outage no lease expires. The
// caller holds the lock.
func (s *StateService) expireLeases() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[id]; !s.down && time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. These deletions are not counted as committed changes.
func (s *StateService) endLease(id uint64) {
	delete(s.leases, id)
	var deletions []wire.Operation
	s.items.Scan(func(key string, item wire.KeyValue) bool {
		if item.Lease == id {
			deletions = append(deletions, wire.Operation{Delete: key})
		}
		return true
	})
	if len(deletions) > 0 {
		s.apply(deletions)
		s.committedChanges -= len(deletions)
	}
}

// grantLease handles a request for a new lease. The caller holds the lock.
func (s *StateService) grantLease(body []byte) (int, any) {
	var request wire.LeaseGrantRequest
	if err := wire.Decode(body, &request); err != nil || request.TTLms < minTTLMS || request.TTLms > maxTTLMS {
		return 400, wire.Failure{Error: "ttl_ms: 100 to 600,000"}
	}
	s.revision++
	ttl := time.Duration(request.TTLms) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	return 200, wire.LeaseGrantResponse{Lease: s.revision}
}

// serveLease handles a request to renew or end a lease. target is the ID of the lease, followed by a slash
// and wire.RenewPathSuffix for a renewal. The caller holds the lock.
func (s *StateService) serveLease(method, target string) (int, any) {
	number, action, _ := strings.Cut(target, "/")
	id, _ := strconv.ParseUint(number, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		return 404, wire.Failure{Error: "no such lease"}
	case method == "DELETE":
		s.endLease(id)
	case action == wire.RenewPathSuffix:
		l.expiresAt = time.Now().Add(l.ttl)
	}
	return 200, wire.LeaseGrantResponse{Lease: id}
}
