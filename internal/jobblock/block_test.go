package jobblock

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"amberdeal.example/amberdeal/wire"
)

func stageOf(i int) wire.Stage {
	if i%3 == 0 {
		return wire.Cancelled
	}
	return wire.Done
}

// variedEntries returns jobs, by id and shuffled. Their ids have gaps, leading zeros, 12 digits, or
// more digits than fit in a number.
func variedEntries() (byID map[string]Entry, shuffled []Entry) {
	random := rand.New(rand.NewPCG(1, 1))
	byID = map[string]Entry{}
	add := func(id string) {
		if _, ok := byID[id]; !ok {
			e := Entry{id, stageOf(len(byID)), random.IntN(wire.MaxTasks + 1)}
			byID[id] = e
			shuffled = append(shuffled, e)
		}
	}
	for _, id := range []string{"wk-0", "wk-00", "wk-000412", "wk-412", "wk-0412", "wk-999999999999999999", "wk-1000000000000000000",
		"wk-00000000000000000000000000000000000000000000000000000000000007"} {
		add(id[:min(len(id), 64)])
	}
	for range 3000 {
		add(fmt.Sprintf("wk-%07d", random.IntN(10_000_000)))
		add(fmt.Sprintf("wk-%012d", random.Int64N(1e12)))
	}
	random.Shuffle(len(shuffled), func(i, k int) { shuffled[i], shuffled[k] = shuffled[k], shuffled[i] })
	return byID, shuffled
}

// TestBlockRoundTrip packs ids of all kinds into several blocks. Each job must be found unchanged
// in the block that covers its id.
func TestBlockRoundTrip(t *testing.T) {
	want, shuffled := variedEntries()
	sorted, conflicting := Sort(shuffled)
	if len(conflicting) > 0 {
		t.Fatalf("conflicting: %v", conflicting)
	}
	if !slices.IsSortedFunc(sorted, func(a, b Entry) int {
		if SortKey(a.ID) < SortKey(b.ID) {
			return -1
		}
		return 1
	}) {
		t.Fatal("Sort does not follow the order of SortKey")
	}
	found := 0
	records := Split("", sorted, 8192)
	for i, r := range records {
		if r.Bytes() > 8192 {
			t.Errorf("block %d takes %d bytes, more than the limit", i, r.Bytes())
		}
		b, err := r.Unpack()
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range b.Entries() {
			if want[e.ID] != e {
				t.Errorf("job %s was unpacked as %+v", e.ID, e)
			}
			if SortKey(e.ID) < r.From || i+1 < len(records) && SortKey(e.ID) >= records[i+1].From {
				t.Errorf("job %s is in a block that does not cover it", e.ID)
			}
			if got, ok := b.Find(e.ID); !ok || got != e {
				t.Errorf("job %s is not found or differs", e.ID)
			}
			found++
		}
		if _, ok := b.Find("wk-5555555555555"); ok {
			t.Error("an id that was not packed is found")
		}
	}
	if found != len(want) || len(records) < 2 {
		t.Errorf("found %d of %d jobs in %d blocks", found, len(want), len(records))
	}
}

// TestBlockSizeIsBounded packs ids at regular intervals, which compress to hardly any bytes. The
// number of jobs in a block must still be bounded, because a lookup decodes all of them.
func TestBlockSizeIsBounded(t *testing.T) {
	var entries []Entry
	for i := range 3 * MaxJobs {
		entries = append(entries, Entry{fmt.Sprintf("wk-%07d", i*7), wire.Done, 1})
	}
	for _, r := range Split("", entries, 8192) {
		if r.Count > MaxJobs || r.Count < MaxJobs/4 {
			t.Errorf("%d jobs in %d bytes", r.Count, r.Bytes())
		}
	}
}

// TestSortKeepsFirstStage checks that Sort keeps the first entry of an id, and reports the id if a
// later entry has another final stage.
func TestSortKeepsFirstStage(t *testing.T) {
	got, conflicting := Sort([]Entry{{"wk-2", wire.Done, 4}, {"wk-1", wire.Cancelled, 1}, {"wk-2", wire.Cancelled, 4}, {"wk-1", wire.Cancelled, 1}})
	if len(got) != 2 || got[1] != (Entry{"wk-2", wire.Done, 4}) || !slices.Equal(conflicting, []string{"wk-2"}) {
		t.Errorf("sorted %v, conflicting %v", got, conflicting)
	}
}

// TestDamageIsDetected truncates a block and flips a bit at every position, and changes its count
// and its format. No damaged block may be unpacked to another number of jobs.
func TestDamageIsDetected(t *testing.T) {
	r := Pack("", []Entry{{"wk-1", wire.Done, 4}, {"wk-7", wire.Cancelled, 2}})
	newer := r
	newer.Format = Format + 1
	if _, err := newer.Unpack(); !errors.Is(err, ErrNewer) {
		t.Errorf("a newer block: %v", err)
	}
	for i := range r.Data {
		truncated, flipped := r, r
		truncated.Data = r.Data[:i]
		if _, err := truncated.Unpack(); !errors.Is(err, ErrDamaged) {
			t.Fatalf("truncated to %d bytes: %v", i, err)
		}
		b := []byte(r.Data)
		b[i] ^= 1
		flipped.Data = string(b)
		if blk, err := flipped.Unpack(); err == nil && blk.Len() != 2 {
			t.Fatalf("bit flipped at %d: unpacked %d jobs", i, blk.Len())
		}
	}
	count := r
	count.Count = 3
	if _, err := count.Unpack(); !errors.Is(err, ErrDamaged) {
		t.Errorf("a wrong count: %v", err)
	}
}

// FuzzUnpack checks that any data is either decoded or rejected with an error.
func FuzzUnpack(f *testing.F) {
	r := Pack("", []Entry{{"wk-1", wire.Done, 4}, {"wk-000000000000000000007", wire.Cancelled, 2}})
	packed, _ := base64.RawURLEncoding.DecodeString(r.Data)
	f.Add(string(packed), 2)
	f.Fuzz(func(t *testing.T, data string, count int) {
		rec := Record{Format: 1, Count: count, Data: data}
		if b, err := rec.decode([]byte(data)); err == nil { // as if the checksum were correct
			for _, e := range b.Entries() {
				_, _ = b.Find(e.ID)
			}
		}
	})
}

// BenchmarkBlock measures a lookup in a full block, including its decoding.
func BenchmarkBlock(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	var entries []Entry
	for i := range 4000 {
		entries = append(entries, Entry{fmt.Sprintf("wk-%07d", i*10+random.IntN(10)), stageOf(i), 1 + random.IntN(30)})
	}
	r := Pack("", entries)
	for b.Loop() {
		blk, err := r.Unpack()
		if err != nil {
			b.Fatal(err)
		}
		blk.Find("wk-0020005")
	}
	b.ReportMetric(float64(r.Bytes())/4000, "bytes/job")
}
