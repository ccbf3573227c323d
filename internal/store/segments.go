package store

import (
	"slices"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// ledgerSegments holds the segments of all ledgers, by key. They stay encoded, because only a
// new leader reads them.
type ledgerSegments map[string]Versioned[wire.Raw]

// ledgerOf returns the name of the ledger that a segment's key belongs to.
func ledgerOf(key string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(key, ledgerPrefix), "/")
	return name
}

// ledgerNames lists, in order, the names of all ledgers that have a segment.
func (s ledgerSegments) ledgerNames() (names []string) {
	for key := range s {
		if name := ledgerOf(key); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// newest returns the most recently written segment of a ledger. Its version is 0 if the ledger
// has no segment.
func (s ledgerSegments) newest(ledger string) (newest Versioned[wire.Raw]) {
	for key, raw := range s {
		if strings.HasPrefix(key, ledgerPrefix+ledger+"/") && raw.Version > newest.Version {
			newest = raw
		}
	}
	return newest
}

// newestRecord decodes the most recently written segment of a ledger. A segment that can't be
// decoded is treated as empty.
func (s ledgerSegments) newestRecord(ledger string) (rec SegmentRecord) {
	newest := s.newest(ledger)
	if newest.Version == 0 || wire.DecodeValue(newest.Record, &rec) != nil {
		return SegmentRecord{}
	}
	return rec
}
