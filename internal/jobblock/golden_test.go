package jobblock

import (
	"reflect"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
	"amberdeal.example/amberdeal/wire"
)

func encode(v any) ([]byte, error) { return wire.Encode(v), nil }

// TestGoldenRecord checks that the stored names of the fields of a record have not changed.
func TestGoldenRecord(t *testing.T) {
	goldentest.CheckEncoding[Record](t, "record.cbor", encode, wire.DecodeValue)
}

// TestGoldenBlock checks that packing jobs with ids of various lengths still gives the same bytes
// as the golden file, and that the golden file is unpacked to the same jobs.
func TestGoldenBlock(t *testing.T) {
	entries := []Entry{
		{wire.JobIDPrefix + "7", wire.Done, 1},
		{wire.JobIDPrefix + "12", wire.Cancelled, 100_000},
		{wire.JobIDPrefix + "13", wire.Done, 3},
		{wire.JobIDPrefix + "999", wire.Done, 40},
		{wire.JobIDPrefix + "123456789012345678", wire.Cancelled, 5},
		{wire.JobIDPrefix + "12345678901234567890", wire.Done, 6},
	}
	from := SortKey(entries[0].ID)
	rec := Pack(from, entries)
	goldentest.CompareBytes(t, "block.cbor", wire.Encode(rec))
	var golden Record
	if err := wire.DecodeValue(goldentest.ReadGolden(t, "block.cbor", wire.Encode(rec)), &golden); err != nil {
		t.Fatal(err)
	}
	b, err := golden.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	if got := b.Entries(); b.From != from || !reflect.DeepEqual(got, entries) {
		t.Errorf("unpacked from %q: %v, want %v", b.From, got, entries)
	}
}
