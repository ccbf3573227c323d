package archive

import (
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2/roaring64"

	"amberdeal.example/amberdeal/wire"
)

// idSet is a memory-efficient set of job ids. The numbers of the ids are kept in one compressed
// bitmap for each number of digits, because ids with different numbers of leading zeros are
// different.
type idSet struct {
	numbers    map[int]*roaring64.Bitmap // by number of digits
	nonNumeric map[string]bool           // ids whose number does not fit in 64 bits
}

func newIDSet() idSet { return idSet{map[int]*roaring64.Bitmap{}, map[string]bool{}} }

// add adds an id and reports whether it is new.
func (s idSet) add(id string) bool {
	digits := strings.TrimPrefix(id, wire.JobIDPrefix)
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		known := s.nonNumeric[id]
		s.nonNumeric[id] = true
		return !known
	}
	set := s.numbers[len(digits)]
	if set == nil {
		set = roaring64.New()
		s.numbers[len(digits)] = set
	}
	return set.CheckedAdd(n)
}
