// Package jobblock encodes ended jobs compactly, to be kept for good: a block holds ids in
// order, each with its final stage and size.
//
// A block is stored as text in one value of the state service. Ids are written as
// differences, and sizes with the stage as their lowest bit; all of it is deflated and has a
// checksum. It takes two to three bytes per job. The blocks of the archive divide all ids
// among them, in the order of SortKey.
package jobblock

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// Entry is an ended job.
type Entry struct {
	ID    string
	Stage wire.Stage // Done or Cancelled
	Tasks int
}

// SortKey orders ids by length, then by number. It is text, so that the order of keys in the
// state service is the same.
func SortKey(id string) string {
	digits := strings.TrimPrefix(id, wire.JobPrefix)
	return fmt.Sprintf("%02d%s", len(digits), digits)
}

// Sort orders entries and removes repeated ones, in place. Of two that differ the first is
// kept, and the id of the other is returned as conflicting: a final stage that changed is a
// fault that must be reported.
func Sort(entries []Entry) (sorted []Entry, conflicting []string) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(len(a.ID), len(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	sorted = entries[:0]
	for _, e := range entries {
		n := len(sorted)
		if n == 0 || sorted[n-1].ID != e.ID {
			sorted = append(sorted, e)
			continue
		}
		if sorted[n-1].Stage != e.Stage {
			conflicting = append(conflicting, e.ID)
		}
	}
	return sorted, conflicting
}

// Block is a decoded record.
type Block struct {
	From     string // the first key that the block covers
	groups   []idGroup
	outcomes []outcome // by position
}

// idGroup is a run of ids of one length. Ids that fit a number are kept as one.
type idGroup struct {
	width   int      // digits of each id
	first   int      // position of its first id in the block
	numbers []uint64 // of up to maxNumericDigits digits
	longIDs []string // longer ones
}

func (g *idGroup) len() int { return len(g.numbers) + len(g.longIDs) }

// find returns the position of an id in the group.
func (g *idGroup) find(digits string) (position int, found bool) {
	if g.width > maxNumericDigits {
		return slices.BinarySearch(g.longIDs, digits)
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, false
	}
	return slices.BinarySearch(g.numbers, n)
}

// outcome is the number of a job's tasks, with a lowest bit that says whether it was cancelled.
type outcome uint32

// maxOutcome is the largest one that a job can have.
const maxOutcome = wire.MaxTasks<<1 | 1

// encodeOutcome is the outcome of a job as it is written.
func encodeOutcome(e Entry) uint64 {
	o := uint64(e.Tasks) << 1
	if e.Stage == wire.Cancelled {
		o |= 1
	}
	return o
}

// entry returns the job of an id with this outcome.
func (o outcome) entry(id string) Entry {
	e := Entry{id, wire.Done, int(o >> 1)}
	if o&1 == 1 {
		e.Stage = wire.Cancelled
	}
	return e
}

// Len returns the number of jobs in the block.
func (b *Block) Len() int { return len(b.outcomes) }

// Find looks up an id.
func (b *Block) Find(id string) (Entry, bool) {
	digits := strings.TrimPrefix(id, wire.JobPrefix)
	for i := range b.groups {
		g := &b.groups[i]
		if g.width != len(digits) {
			continue
		}
		if at, found := g.find(digits); found {
			return b.outcomes[g.first+at].entry(id), true
		}
	}
	return Entry{}, false
}

// Entries lists all jobs in order.
func (b *Block) Entries() []Entry {
	out := make([]Entry, 0, b.Len())
	for _, g := range b.groups {
		for _, n := range g.numbers {
			out = append(out, b.outcomes[len(out)].entry(wire.JobPrefix+zeroPad(n, g.width)))
		}
		for _, text := range g.longIDs {
			out = append(out, b.outcomes[len(out)].entry(wire.JobPrefix+text))
		}
	}
	return out
}

func zeroPad(n uint64, width int) string {
	s := strconv.FormatUint(n, 10)
	return strings.Repeat("0", max(0, width-len(s))) + s
}
