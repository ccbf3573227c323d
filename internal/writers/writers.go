// Package writers chooses which controllers write the submissions and cancellations of users. The state
// service limits the changes per second of all controllers together. If many controllers shared this
// limit evenly, each would wait a second or more for every write, even under little load, and would
// write many small batches. At a large site a few controllers therefore write for all, and the others
// forward submissions and cancellations to them.
//
// The package does no I/O, and safety does not depend on it: controllers that choose different writers,
// or write requests that they could have forwarded, only use more of the limits. The shares are such
// that the limits hold even if a controller receives no heartbeats and writes for itself.
package writers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// At a site with more than forwardingThreshold controllers, defaultWriters of them write for all.
const (
	forwardingThreshold = 5
	defaultWriters      = 4
)

// nonWriterReserve is the fraction of the limit on changes for accepting jobs that is left to the controllers
// that do not write for others: each may be partitioned from its peers and have to write for itself.
const nonWriterReserve = 0.15

// The limit on requests per second is shared by weight. The weight of a controller is 1 plus the following.
const (
	writerRequests = 2 // for writing on behalf of others
	leaderRequests = 3 // for leading the whole fleet; proportionally less for leading some of the shards
)

// Policy determines how many of a site's controllers write, and their shares of the limits.
type Policy struct {
	Controllers int
	MaxWriters  int // number of controllers that write for all; 0 if each writes for itself
}

// Auto makes PolicyFor choose the number of writers by the number of controllers.
const Auto = -1

// PolicyFor returns the policy of a site with the given number of controllers. configured is the number of
// controllers that write for all, 0 if each writes for itself, or Auto.
func PolicyFor(controllers, configured int) Policy {
	switch {
	case configured == Auto && controllers > forwardingThreshold:
		return Policy{controllers, defaultWriters}
	case configured == Auto, configured >= controllers:
		return Policy{controllers, 0}
	}
	return Policy{controllers, configured}
}

// Forwards reports whether some controllers write for all, and the others forward to them.
func (p Policy) Forwards() bool { return p.MaxWriters > 0 }

// Choose returns the names of the writers among the live controllers. Leaders already have a high load and
// are chosen only if there are too few others. If the caller sees no majority of all controllers alive,
// it may be partitioned, and there are no writers.
func (p Policy) Choose(alive []string, leads func(name string) bool) []string {
	if !p.Forwards() || 2*len(alive) <= p.Controllers {
		return nil
	}
	ranked := slices.Clone(alive)
	slices.SortFunc(ranked, func(a, b string) int {
		if leads(a) != leads(b) {
			return map[bool]int{true: 1, false: -1}[leads(a)]
		}
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return ranked[:min(p.MaxWriters, len(ranked))]
}

// WriterOf returns the name of the writer of a key by rendezvous hashing, so that adding or removing a writer
// moves few other keys. It returns "" if all writers are to be avoided.
func WriterOf(writers []string, key string, avoid func(name string) bool) string {
	best, weight := "", uint64(0)
	for _, name := range writers {
		if avoid(name) {
			continue
		}
		if w := xxhash.Sum64String(name + "\x00" + key); best == "" || w > weight {
			best, weight = name, w
		}
	}
	return best
}

// WriteShare returns a controller's share of the limit on changes for accepting jobs.
func (p Policy) WriteShare(writers []string, self string) float64 {
	switch {
	case !p.Forwards():
		return 1 / float64(p.Controllers)
	case slices.Contains(writers, self):
		return (1 - nonWriterReserve) / float64(len(writers))
	}
	return p.MinWriteShare()
}

// EvenShare returns the share of both limits for a controller that has just started and knows of no peer, or
// that runs alongside an older version, which forwards nothing and shares evenly. If all controllers start
// at once, their shares add up to the whole; one that starts alone uses what the others leave.
func (p Policy) EvenShare() float64 { return 1 / float64(p.Controllers) }

// MinWriteShare returns the smallest share of the limit on these changes that any controller has.
func (p Policy) MinWriteShare() float64 {
	if !p.Forwards() {
		return 1 / float64(p.Controllers)
	}
	return nonWriterReserve / float64(p.Controllers-1)
}

// RequestShare returns a controller's share of the limit on requests. ledShare is the fraction of the
// fleet's shards that it leads, from 0 to 1.
func (p Policy) RequestShare(writers []string, self string, ledShare float64) float64 {
	if !p.Forwards() {
		return 1 / float64(p.Controllers)
	}
	weight := 1 + leaderRequests*ledShare
	if slices.Contains(writers, self) {
		weight += writerRequests
	}
	return weight / float64(p.Controllers+p.MaxWriters*writerRequests+leaderRequests)
}
