package jobblock

import (
	"reflect"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
	"amberdeal.example/amberdeal/wire"
)

func encode(v any) ([]byte, error) { return wire.Encode(v), nil }

// TestGoldenRecord: a block is stored under the names that it had.
func TestGoldenRecord(t *testing.T) {
	goldentest.Check[Record](t, "record.cbor", encode, wire.DecodeValue)
}

// TestGoldenBlock: ended jobs are packed as they were, ids of all lengths among
// them, and a block of then is unpacked to the same jobs.
func TestGoldenBlock(t *testing.T) {
	entries := []Entry{
		{wire.JobPrefix + "7", wire.Done, 1},
		{wire.JobPrefix + "12", wire.Cancelled, 100_000},
		{wire.JobPrefix + "13", wire.Done, 3},
		{wire.JobPrefix + "999", wire.Done, 40},
		{wire.JobPrefix + "123456789012345678", wire.Cancelled, 5},
		{wire.JobPrefix + "12345678901234567890", wire.Done, 6},
	}
	from := SortKey(entries[0].ID)
	rec := Pack(from, entries)
	goldentest.File(t, "block.cbor", wire.Encode(rec))
	var back Record
	if err := wire.DecodeValue(goldentest.Read(t, "block.cbor", wire.Encode(rec)), &back); err != nil {
		t.Fatal(err)
	}
	b, err := back.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	if got := b.Entries(); b.From != from || !reflect.DeepEqual(got, entries) {
		t.Errorf("from %q: %v, not %v", b.From, got, entries)
	}
}
