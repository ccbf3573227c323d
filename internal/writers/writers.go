// Package writers chooses which controllers write what users wait for. The state service takes few
// changes a second from all controllers together. Were these shared evenly by many, each would wait
// a second and more for every write, however little there is to write, and write many small
// batches. So at a large site a few controllers write for all, and the others forward submissions
// and cancellations to them.
//
// It is pure, and no rule rests on it: controllers that choose differently, or write what they could
// have forwarded, only spend more of the limits. Shares are such that the limits hold also for a
// controller that hears nobody and writes by itself.
package writers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A site with more controllers than fewControllers has defaultWriters of them write.
const (
	fewControllers = 5
	defaultWriters = 4
)

// nonWriterReserve is the part of the changes for acceptance that is left to those who don't write for
// others: each may be cut off from its siblings and have to write by itself.
const nonWriterReserve = 0.15

// Of the requests a second, a controller that writes for others has three times as many as one that
// does not, and holding the fleet counts as three more controllers.
const (
	writerRequests = 2
	leaderRequests = 3
)

// Policy is how many of a site's controllers write.
type Policy struct {
	Controllers int
	MaxWriters  int // that write for all; 0 stands for each by itself
}

// Auto has PolicyFor choose by the number of controllers.
const Auto = -1

// PolicyFor gives the policy of a site with so many controllers, of which so many are set to write:
// Auto, or 0 for each by itself.
func PolicyFor(controllers, set int) Policy {
	switch {
	case set == Auto && controllers > fewControllers:
		return Policy{controllers, defaultWriters}
	case set == Auto, set >= controllers:
		return Policy{controllers, 0}
	}
	return Policy{controllers, set}
}

// Forwards reports whether there are controllers that write for others.
func (p Policy) Forwards() bool { return p.MaxWriters > 0 }

// Choose names the writers, of those that are alive. Whoever holds the fleet has enough to do and is
// left out where there are others. Where no majority of all controllers is alive as seen from
// here, there is none: whoever sees so few may be cut off.
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
// few other keys. It names nobody where all of them are to be avoided.
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

// WriteShare is this controller's share of the changes that are there for acceptance.
func (p Policy) WriteShare(writers []string, me string) float64 {
	switch {
	case !p.Forwards():
		return 1 / float64(p.Controllers)
	case slices.Contains(writers, me):
		return (1 - nonWriterReserve) / float64(len(writers))
	}
	return p.MinWriteShare()
}

// EvenShare is the share of both that a controller may take which has just begun and knows of nobody, or
// which lives among others of a version that forwards nothing and shares evenly. All that begin at
// once come to the whole, and one alone to what others leave.
func (p Policy) EvenShare() float64 { return 1 / float64(p.Controllers) }

// MinWriteShare is the least share of those changes that any controller has.
func (p Policy) MinWriteShare() float64 {
	if !p.Forwards() {
		return 1 / float64(p.Controllers)
	}
	return nonWriterReserve / float64(p.Controllers-1)
}

// RequestShare is this controller's share of the requests, where it holds so much of the fleet, from 0
// to 1.
func (p Policy) RequestShare(writers []string, me string, ledShare float64) float64 {
	if !p.Forwards() {
		return 1 / float64(p.Controllers)
	}
	mine := 1 + leaderRequests*ledShare
	if slices.Contains(writers, me) {
		mine += writerRequests
	}
	return mine / float64(p.Controllers+p.MaxWriters*writerRequests+leaderRequests)
}
