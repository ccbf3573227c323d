// Package jobblock encodes ended jobs compactly for permanent storage. A block holds job ids in
// order, each with its final stage and number of tasks.
//
// A block is stored as text in one value of the state service. Ids are delta-encoded, and the
// lowest bit of an encoded number of tasks is the stage. The encoding is compressed with DEFLATE
// and has a checksum. It takes two to three bytes per job. The blocks of the archive partition the
// range of all ids in the order of SortKey.
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

// SortKey returns a string whose lexical order sorts ids by length, then by number. The state
// service sorts keys in the same order.
func SortKey(id string) string {
	digits := strings.TrimPrefix(id, wire.JobIDPrefix)
	return fmt.Sprintf("%02d%s", len(digits), digits)
}

// Sort sorts entries by id and removes duplicate ids, in place. The first entry of an id is kept.
// If a later one has another final stage, its id is returned as conflicting: a final stage that has
// changed is a fault that must be reported.
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

// Block is a decoded Record.
type Block struct {
	From     string // first sort key that the block covers
	groups   []idGroup
	outcomes []outcome // by position of the job in the block
}

// idGroup is a run of ids of the same length. Ids of up to maxNumericDigits digits are kept as
// numbers.
type idGroup struct {
	width   int      // number of digits of each id
	first   int      // position of the first id in the block
	numbers []uint64 // ids of up to maxNumericDigits digits
	longIDs []string // digits of longer ids
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

// outcome is the number of tasks of a job, shifted left by one bit; the lowest bit is set if the
// job was cancelled.
type outcome uint32

// maxOutcome is the largest outcome that a job can have.
const maxOutcome = wire.MaxTasks<<1 | 1

// encodeOutcome returns the outcome of a job as a number to be encoded.
func encodeOutcome(e Entry) uint64 {
	o := uint64(e.Tasks) << 1
	if e.Stage == wire.Cancelled {
		o |= 1
	}
	return o
}

// entry returns the entry of the job that has the id and this outcome.
func (o outcome) entry(id string) Entry {
	e := Entry{id, wire.Done, int(o >> 1)}
	if o&1 == 1 {
		e.Stage = wire.Cancelled
	}
	return e
}

// Len returns the number of jobs in the block.
func (b *Block) Len() int { return len(b.outcomes) }

// Find looks up a job by its id.
func (b *Block) Find(id string) (Entry, bool) {
	digits := strings.TrimPrefix(id, wire.JobIDPrefix)
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

// Entries returns all jobs in the order of their ids.
func (b *Block) Entries() []Entry {
	out := make([]Entry, 0, b.Len())
	for _, g := range b.groups {
		for _, n := range g.numbers {
			out = append(out, b.outcomes[len(out)].entry(wire.JobIDPrefix+zeroPad(n, g.width)))
		}
		for _, text := range g.longIDs {
			out = append(out, b.outcomes[len(out)].entry(wire.JobIDPrefix+text))
		}
	}
	return out
}

// zeroPad formats n with leading zeros to the given number of digits.
func zeroPad(n uint64, width int) string {
	s := strconv.FormatUint(n, 10)
	return strings.Repeat("0", max(0, width-len(s))) + s
}
