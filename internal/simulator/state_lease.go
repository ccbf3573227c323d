package simulator

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// lease is a lease of the state service.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// expireLeases ends the leases that were not renewed in time.
func (s *StateService) expireLeases() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[id]; !s.down && time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys.
func (s *StateService) endLease(id uint64) {
	delete(s.leases, id)
	var then []wire.Operation
	s.items.Scan(func(key string, it wire.KeyValue) bool {
		if it.Lease == id {
			then = append(then, wire.Operation{Delete: key})
		}
		return true
	})
	if len(then) > 0 {
		s.apply(then)
		s.committedChanges -= len(then)
	}
}

// grantLease answers the request for a new lease. The lock is held.
func (s *StateService) grantLease(body []byte) (int, any) {
	var g wire.LeaseGrantRequest
	if err := wire.Decode(body, &g); err != nil || g.TTLms < minTTLMS || g.TTLms > maxTTLMS {
		return 400, wire.Failure{Error: "ttl_ms: 100 to 600,000"}
	}
	s.revision++
	ttl := time.Duration(g.TTLms) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	return 200, wire.LeaseGrantResponse{Lease: s.revision}
}

// serveLease answers the renewal or the end of a lease; target is its number, and the word for a
// renewal. The lock is held.
func (s *StateService) serveLease(method, target string) (int, any) {
	num, word, _ := strings.Cut(target, "/")
	id, _ := strconv.ParseUint(num, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		return 404, wire.Failure{Error: "no such lease"}
	case method == "DELETE":
		s.endLease(id)
	case word == wire.RenewWord:
		l.expiresAt = time.Now().Add(l.ttl)
	}
	return 200, wire.LeaseGrantResponse{Lease: id}
}
