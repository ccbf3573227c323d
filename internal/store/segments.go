package store

import (
	"slices"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// ledgerSegments are the segments of all ledgers, by key. They are kept encoded, because
// only a new leader reads them.
type ledgerSegments map[string]Versioned[wire.Raw]

// ledgerOf returns the name of the ledger that a segment's key belongs to.
func ledgerOf(key string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(key, ledgerPrefix), "/")
	return name
}

// ledgers lists the names of all ledgers that have a segment, in order.
func (s ledgerSegments) ledgers() (names []string) {
	for key := range s {
		if name := ledgerOf(key); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// newest returns the segment of a ledger that was written last; its version is 0 where
// there is none.
func (s ledgerSegments) newest(ledger string) (newest Versioned[wire.Raw]) {
	for key, raw := range s {
		if strings.HasPrefix(key, ledgerPrefix+ledger+"/") && raw.Version > newest.Version {
			newest = raw
		}
	}
	return newest
}

// newestRecord decodes the segment that was written last; one that can't be decoded counts
// as empty.
func (s ledgerSegments) newestRecord(ledger string) (rec SegmentRecord) {
	newest := s.newest(ledger)
	if newest.Version == 0 || wire.DecodeValue(newest.Record, &rec) != nil {
		return SegmentRecord{}
	}
	return rec
}
