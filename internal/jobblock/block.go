// Package jobblock holds the compact form in which jobs that are over are kept
// for ever: blocks of ids in order, each with its final stage and size.
//
// A block is text in one value of the state service. Ids are written as
// differences, sizes with the stage as their last bit, all of it deflated and
// under a checksum: some two to three bytes a job. Blocks that follow one
// another divide all ids among them; the order of ids is that of Key.
package jobblock

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// Format is the newest form of a block that is understood here.
const Format = 1

// What can be wrong with a block.
var (
	// ErrNewer means that a later version of amberdeal wrote it.
	ErrNewer = errors.New("written by a newer version")
	// ErrDamaged means that it is not what was written.
	ErrDamaged = errors.New("damaged")
)

// Entry is a job that is over.
type Entry struct {
	ID    string
	Stage wire.Stage // Done or Cancelled
	Tasks int
}

// SortKey orders ids: by length, then by number. It is text, so that the state
// service's order of keys is the same.
func SortKey(id string) string {
	digits := strings.TrimPrefix(id, wire.JobPrefix)
	return fmt.Sprintf("%02d%s", len(digits), digits)
}

// Block is a decoded record.
type Block struct {
	From     string
	groups   []idGroup
	outcomes []uint32 // by position: the tasks, and whether it was cancelled in the last bit
}

// idGroup is a run of ids of one length.
type idGroup struct {
	width int
	first int      // position of its first id
	ids   []uint64 // up to maxPacked digits
	texts []string // longer ones
}

// maxNumericDigits is how many digits surely fit a number.
const maxNumericDigits = 18

func (g *idGroup) len() int { return len(g.ids) + len(g.texts) }

// Sort puts entries in order and leaves out repeated ones. The first of two
// that differ stays; the id of the other is given back, because a final answer
// that changed is a fault that must be seen.
func Sort(entries []Entry) (sorted []Entry, conflicting []string) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(len(a.ID), len(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	out := entries[:0]
	for _, e := range entries {
		if n := len(out); n > 0 && out[n-1].ID == e.ID {
			if out[n-1].Stage != e.Stage {
				conflicting = append(conflicting, e.ID)
			}
			continue
		}
		out = append(out, e)
	}
	return out, conflicting
}

// Len is how many jobs the block holds.
func (b *Block) Len() int { return len(b.outcomes) }

// Find looks an id up.
func (b *Block) Find(id string) (Entry, bool) {
	digits := strings.TrimPrefix(id, wire.JobPrefix)
	for i := range b.groups {
		g := &b.groups[i]
		if g.width != len(digits) {
			continue
		}
		at, found := 0, false
		if g.width > maxNumericDigits {
			at, found = slices.BinarySearch(g.texts, digits)
		} else if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
			at, found = slices.BinarySearch(g.ids, n)
		}
		if found {
			return b.entry(id, g.first+at), true
		}
	}
	return Entry{}, false
}

func (b *Block) entry(id string, at int) Entry {
	e := Entry{id, wire.Done, int(b.outcomes[at] >> 1)}
	if b.outcomes[at]&1 == 1 {
		e.Stage = wire.Cancelled
	}
	return e
}

// Entries lists all jobs in order.
func (b *Block) Entries() []Entry {
	out := make([]Entry, 0, b.Len())
	for _, g := range b.groups {
		for _, n := range g.ids {
			out = append(out, b.entry(wire.JobPrefix+zeroPad(n, g.width), len(out)))
		}
		for _, text := range g.texts {
			out = append(out, b.entry(wire.JobPrefix+text, len(out)))
		}
	}
	return out
}

func zeroPad(n uint64, width int) string {
	s := strconv.FormatUint(n, 10)
	return strings.Repeat("0", max(0, width-len(s))) + s
}
