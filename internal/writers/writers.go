// Package writers chooses which controllers write what users wait for. The state service takes few
// changes a second from all controllers together. If many controllers shared these evenly, each
// would wait a second and more for every write, however little there is to write, and write many
// small batches. So at a large site a few controllers write for all, and the others forward
// submissions and cancellations to them.
//
// It does no I/O, and no safety rule rests on it: controllers that choose differently, or write what
// they could have forwarded, only use more of the limits. The shares are such that the limits hold
// also for a controller that gets no heartbeats and writes by itself.
package writers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A site with more controllers than forwardingThreshold has defaultWriters of them write.
const (
	forwardingThreshold = 5
	defaultWriters      = 4
)

// nonWriterReserve is the share of the changes for acceptance that is left to controllers which don't
// write for others: each may be cut off from its peers and have to write by itself.
const nonWriterReserve = 0.15

// The requests a second are shared by weight. Every controller has a weight of 1.
const (
	writerRequests = 2 // more, for writing for others
	leaderRequests = 3 // more, for leading the fleet; a share of it for some of the shards
)

// Policy is how many of a site's controllers write.
type Policy struct {
	Controllers int
	MaxWriters  int // controllers that write for all; 0 where each writes by itself
}

// Auto has PolicyFor choose by the number of controllers.
const Auto = -1

// PolicyFor returns the policy of a site with some number of controllers, of which set are to write
// for all: Auto, or 0 for each by itself.
func PolicyFor(controllers, set int) Policy {
	switch {
	case set == Auto && controllers > forwardingThreshold:
		return Policy{controllers, defaultWriters}
	case set == Auto, set >= controllers:
		return Policy{controllers, 0}
	}
	return Policy{controllers, set}
}

// Forwards reports whether there are controllers that write for others.
func (p Policy) Forwards() bool { return p.MaxWriters > 0 }

// Choose names the writers, of the controllers that are alive. Leaders have enough to do and are left
// out where there are others. Where no majority of all controllers is alive as seen from here, there
// are none: a controller that sees so few may be cut off.
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

// WriterOf names the writer of a key by rendezvous hashing, so that a writer that comes or goes moves
// few other keys. It names none where all of them are to be avoided.
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

// WriteShare returns a controller's share of the changes that are there for acceptance.
func (p Policy) WriteShare(writers []string, self string) float64 {
	switch {
	case !p.Forwards():
		return 1 / float64(p.Controllers)
	case slices.Contains(writers, self):
		return (1 - nonWriterReserve) / float64(len(writers))
	}
	return p.MinWriteShare()
}

// EvenShare is the share of both changes and requests of a controller that has just started and knows
// of no peer, or that runs beside an older version which forwards nothing and shares evenly. If all
// start at once their shares sum to the whole; one that starts alone takes what the others leave.
func (p Policy) EvenShare() float64 { return 1 / float64(p.Controllers) }

// MinWriteShare returns the least share of those changes that any controller has.
func (p Policy) MinWriteShare() float64 {
	if !p.Forwards() {
		return 1 / float64(p.Controllers)
	}
	return nonWriterReserve / float64(p.Controllers-1)
}

// RequestShare returns a controller's share of the requests, where it leads a share of the fleet
// from 0 to 1.
func (p Policy) RequestShare(writers []string, self string, ledShare float64) float64 {
	if !p.Forwards() {
		return 1 / float64(p.Controllers)
	}
	mine := 1 + leaderRequests*ledShare
	if slices.Contains(writers, self) {
		mine += writerRequests
	}
	return mine / float64(p.Controllers+p.MaxWriters*writerRequests+leaderRequests)
}
