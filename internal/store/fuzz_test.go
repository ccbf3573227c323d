package store

import (
	"log/slog"
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// FuzzLedger reads segments with arbitrary content, as a new leader does, and writes a round into
// them. Nothing may panic, and an entry must fit if there was enough free space for it.
func FuzzLedger(f *testing.F) {
	machine := MachineEntry("n-1", MachineRecord{Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Tasks: map[string]uint64{"wk-1/0": 3 << 24}})
	scaleOut := ScaleOutEntry("t1-1", ScaleOutRecord{Type: "g4", Zone: "a", Count: 3})
	done := NewTaskSet(0)
	done.Add(1025)
	progress := ProgressEntry("wk-1", 1, done)
	f.Add([]byte(wire.Encode(SegmentRecord{FencingToken: 3, Round: 2, DrainedThrough: 7, Entries: map[string]wire.Raw{machine.Key: machine.Value, scaleOut.Key: scaleOut.Value, progress.Key: progress.Value}})),
		[]byte(wire.Encode(SegmentRecord{FencingToken: 3, Round: 3, Entries: map[string]wire.Raw{machine.Key: {0xf6}, "x/y": {0x01}}})))
	f.Add([]byte{0xa0}, []byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var segments []Segment
		for i, raw := range [][]byte{first, second} {
			var rec SegmentRecord
			if wire.DecodeValue(raw, &rec) == nil {
				segments = append(segments, Segment{i, uint64(i + 1), rec})
			}
		}
		ledger, recovered := NewLedger("a", 4096, segments)
		for id := range recovered.Machines {
			ledger.HasMachine(id)
		}
		entry := MachineEntry("n-2", MachineRecord{Addr: "10.1.0.2:9000", Type: "g4", Zone: "a"})
		if ledger.FreeBytes(2) < entry.Size {
			return
		}
		packed, rest := ledger.Pack(SegmentRecord{FencingToken: 4, Round: recovered.Round + 1}, []Entry{entry}, 2, true)
		if len(rest) > 0 {
			t.Errorf("an entry of %d bytes did not fit into %d free bytes", entry.Size, ledger.FreeBytes(2))
		}
		ledger.Commit(packed, 9)
	})
}

// FuzzView applies records of any kind with arbitrary content to a view. Nothing may panic, and no job
// may stay live once its key is deleted.
func FuzzView(f *testing.F) {
	job := &wire.Job{ID: "wk-1", Tasks: 3, Team: "red", Shape: wire.Array}
	for key, value := range map[string]any{
		BatchKey("x"):      BatchRecord{Jobs: map[string]JobRecord{"wk-1": {Stage: wire.Pending, Tasks: 3, Job: job, Ranges: []ShardRange{{From: 0, To: 2, Shard: "a"}, {From: 2, To: 3, Shard: "b", Done: true}}}}},
		QuotaGrantKey:      NewQuotaGrantRecord(map[string]map[string]QuotaGrant{"red": {"a": {CPUs: 1, GPUs: 2}}}),
		ShardingKey:        ShardingRecord{Text: "zones a,b in a,b"},
		SegmentKey("a", 0): SegmentRecord{FencingToken: 1, DrainedThrough: 3},
		LeaderKey("a"):     LeaderRecord{Leader: "c-0", FencingToken: 1, Lease: 2},
		FencingTokenKey:    uint64(4),
	} {
		f.Add(key, []byte(wire.Encode(value)))
	}
	f.Fuzz(func(t *testing.T, key string, raw []byte) {
		v := NewView(slog.New(slog.DiscardHandler))
		v.Load(nil, 0, &wire.WatchResponse{})
		for version := uint64(1); version <= 2; version++ {
			v.Apply(&wire.WatchResponse{Revision: version, Events: []wire.Event{{Put: key, Value: raw, Version: version}}})
			v.Snapshot()
			v.DrainedThrough("a")
			v.LedgerRevision("a")
			v.ShardingState()
			v.Migrated("a")
			v.PreviousSegmentKeys()
			v.ShardLedgers("a")
		}
		v.Apply(&wire.WatchResponse{Revision: 3, Events: []wire.Event{{Delete: key, Version: 3}}})
		if n := len(v.Snapshot().LiveJobs); n > 0 {
			t.Errorf("%d jobs are still live although their key was deleted", n)
		}
	})
}
