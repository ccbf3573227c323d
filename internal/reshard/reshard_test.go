package reshard

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// fixture is a state whose sharding the trace steps change.
type fixture struct {
	state   store.ShardingState
	jobs    map[string]*store.JobRecord
	entries map[string]map[string]wire.Raw // by ledger
	version uint64
}

func (b *fixture) addLedgerEntry(ledger string, e store.Entry) {
	if b.entries[ledger] == nil {
		b.entries[ledger] = map[string]wire.Raw{}
		b.state.LedgerNames = append(b.state.LedgerNames, ledger)
	}
	b.entries[ledger][e.Key] = e.Value
	b.version++
	b.state.Segments = slices.DeleteFunc(b.state.Segments, func(s store.Segment) bool { return s.Number == len(b.entries) })
	b.state.Segments = append(b.state.Segments, store.Segment{Number: len(b.entries), Version: b.version, Record: store.SegmentRecord{Entries: b.entries[ledger]}})
}

func parseSharding(text string) *fleet.Sharding {
	by, names, _ := strings.Cut(text, ":")
	list := strings.Split(names, ",")
	switch by {
	case "zone":
		return fleet.ByZones(len(list), list)
	case "type":
		return fleet.ByTypes(list)
	}
	return fleet.SingleShard()
}

func parseAttempt(text string) uint64 {
	term, seq, _ := strings.Cut(text, ".")
	hi, _ := strconv.ParseUint(term, 10, 64)
	lo, _ := strconv.ParseUint(seq, 10, 64)
	return hi<<24 | lo
}

func (b *fixture) step(t *testing.T, line string) []string {
	w, kv := simulator.ParseStep(line)
	switch w[0] {
	case "job": // wk-1 gang tasks=3 zone=a
		tasks, _ := strconv.Atoi(kv["tasks"])
		rec := &store.JobRecord{Tasks: tasks, Job: &wire.Job{ID: w[1], Shape: wire.Shape(w[2]), Team: "red", Tasks: tasks, CPUs: 2, GPUs: 1, Zone: kv["zone"], OneZone: kv["one_zone"] != ""}}
		for _, s := range strings.Fields(strings.ReplaceAll(kv["done"], ",", " ")) {
			doneRange := store.ShardRange{Shard: "old", Done: true}
			if _, err := fmt.Sscanf(s, "%d-%d", &doneRange.From, &doneRange.To); err != nil {
				t.Fatal(err)
			}
			rec.Ranges = append(rec.Ranges, doneRange)
		}
		if in := kv["done_in"]; in != "" {
			rec.FinishedIn = strings.Split(in, ",")
		}
		b.jobs[w[1]] = rec
	case "machine": // n-1 a ledger=fleet holds=wk-1/0#1.1
		rec := store.MachineRecord{Type: "g4", Zone: w[2], Tasks: map[string]uint64{}}
		for _, text := range strings.Split(kv["holds"], ",") {
			task, n, _ := strings.Cut(text, "#")
			rec.Tasks[task] = parseAttempt(n)
		}
		b.addLedgerEntry(kv["ledger"], store.MachineEntry(w[1], rec))
	case "finished": // wk-1 2 3 ledger=fleet
		done := store.NewTaskSet(0)
		for _, text := range w[2:] {
			n, _ := strconv.Atoi(text)
			done.Add(n)
		}
		b.addLedgerEntry(kv["ledger"], store.ProgressEntry(w[1], 0, done))
	case "held":
		b.state.ShardsWithLeader = w[1:]
	case "broken":
		b.state.Unreadable = w[1:]
	case "divide": // to=zone:a,b
		txn, err := Transaction(&b.state, parseSharding(kv["to"]), func(job string) (store.TaskDemand, bool) {
			if rec := b.jobs[job]; rec != nil {
				return rec.TaskDemand()
			}
			return store.TaskDemand{}, false
		})
		if err != nil {
			return []string{err.Error()}
		}
		var out []string
		for _, c := range txn.If {
			out = append(out, fmt.Sprintf("if %s is at %d", strings.TrimPrefix(c.Key, store.StatePrefix), c.Version))
		}
		for _, c := range txn.Then {
			switch rec := c.Value.(type) {
			case store.ShardingRecord:
				out = append(out, fmt.Sprintf("put grouping %q, number %d, before %v", rec.Text, rec.Generation, rec.PreviousLedgers))
			case store.FormatRecord:
				out = append(out, fmt.Sprintf("put format %d", rec.Format))
			default:
				out = append(out, fmt.Sprintf("put %s %v", strings.TrimPrefix(c.Put, store.StatePrefix), rec))
			}
		}
		return out
	case "shares": // wk-1 to=zone:a,b
		p := NewPrevious(parseSharding(kv["to"]), store.ShardLedgers{Generation: 1, Previous: b.state.Segments})
		line := ""
		ranges := p.Ranges(w[1], b.jobs[w[1]])
		for _, s := range ranges {
			line += fmt.Sprintf("%d-%d/%s", s.From, s.To, s.Shard)
			if s.Done {
				line += ",done"
			}
			line += " "
		}
		lead, shards := LeadShard(ranges)
		return []string{fmt.Sprintf("%sled by %q, %d parts", line, lead, shards)}
	default:
		t.Fatalf("no such step: %s", line)
	}
	return nil
}

// TestTraces replays the traces in testdata, which change the sharding of a state.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string {
		b := &fixture{jobs: map[string]*store.JobRecord{}, entries: map[string]map[string]wire.Raw{}}
		b.state.Sharding.Version, b.state.FencingToken = 7, store.Versioned[uint64]{Record: 4, Version: 9}
		return func(line string) []string { return b.step(t, line) }
	})
}

// FuzzRanges checks that every task of a job belongs to exactly one shard, whatever the ledgers contain, and that all
// leaders compute the same ranges.
func FuzzRanges(f *testing.F) {
	f.Add([]byte{1, 2, 3}, []byte{4}, 9, uint8(1))
	f.Fuzz(func(t *testing.T, placed, done []byte, tasks int, shape uint8) {
		tasks = 1 + (tasks&0x7fffffff)%300
		rec := &store.JobRecord{Tasks: tasks, Job: &wire.Job{ID: "wk-1", Shape: []wire.Shape{wire.Array, wire.Gang, wire.Service}[shape%3], Tasks: tasks}}
		entries := map[string]wire.Raw{}
		for i, x := range placed {
			id := fmt.Sprint("n-", i%7)
			e := store.MachineEntry(id, store.MachineRecord{Zone: string('a' + rune(x%3)), Tasks: map[string]uint64{wire.TaskID{Job: "wk-1", Index: int(x) % (tasks + 3)}.String(): uint64(i)}})
			entries[e.Key] = e.Value
		}
		for i, x := range done {
			rec.Ranges = append(rec.Ranges, store.ShardRange{From: int(x) - 2, To: int(x) + i%5, Shard: "old", Done: i%2 == 0})
		}
		ledgers := store.ShardLedgers{Generation: 2, Previous: []store.Segment{{Version: 1, Record: store.SegmentRecord{Entries: entries}}}}
		sharding := fleet.ByZones(3, []string{"a", "b", "c"})
		ranges := NewPrevious(sharding, ledgers).Ranges("wk-1", rec)
		at := 0
		for _, s := range ranges {
			if s.From != at || s.To <= s.From || !slices.Contains(sharding.Shards(), s.Shard) {
				t.Fatalf("%v", ranges)
			}
			at = s.To
		}
		if at != tasks || !slices.Equal(ranges, NewPrevious(sharding, ledgers).Ranges("wk-1", rec)) {
			t.Errorf("%d tasks: %v", tasks, ranges)
		}
	})
}

// TestAssignment checks that a record of the present sharding provides its own ranges, with those of unknown shards in
// the first shard, and that the ranges for a record of an earlier sharding are inferred from the ledgers.
func TestAssignment(t *testing.T) {
	sharding := fleet.ByZones(2, []string{"a", "b"})
	e := store.MachineEntry("n-1", store.MachineRecord{Zone: "b", Tasks: map[string]uint64{"wk-1/1": 7}})
	ledgers := store.ShardLedgers{Generation: 2, Previous: []store.Segment{{Version: 1, Record: store.SegmentRecord{Entries: map[string]wire.Raw{e.Key: e.Value}}}}}
	a := NewAssignment(sharding, NewPrevious(sharding, ledgers))
	job := func(generation uint64, ranges ...store.ShardRange) *store.LiveJob {
		rec := store.JobRecord{Job: &wire.Job{ID: "wk-1", Shape: wire.Array, Zone: "a", Tasks: 4}, Tasks: 4, ShardingGeneration: generation, Ranges: ranges}
		return &store.LiveJob{Record: rec, Batch: &store.Batch{Version: 5}}
	}
	for name, x := range map[string]struct {
		job  *store.LiveJob
		want []store.ShardRange
	}{
		"without ranges":                   {job(2), []store.ShardRange{{From: 0, To: 4, Shard: "a"}}},
		"with a shard that does not exist": {job(2, store.ShardRange{From: 0, To: 2, Shard: "b"}, store.ShardRange{From: 2, To: 4, Shard: "z"}), []store.ShardRange{{From: 0, To: 2, Shard: "b"}, {From: 2, To: 4, Shard: "a"}}},
		"of an earlier sharding":           {job(1, store.ShardRange{From: 0, To: 4, Shard: "z"}), []store.ShardRange{{From: 0, To: 1, Shard: "a"}, {From: 1, To: 2, Shard: "b"}, {From: 2, To: 4, Shard: "a"}}},
	} {
		if got := a.Ranges(x.job); !slices.Equal(got, x.want) || a.Unassigned(x.job) != (x.job.Record.ShardingGeneration != 2) {
			t.Errorf("%s: %v", name, got)
		}
		if written := x.job.Record.Ranges; len(written) > 1 && written[1].Shard != "z" {
			t.Errorf("%s: the record was changed", name)
		}
	}
	if a.Generation() != 2 {
		t.Errorf("generation %d", a.Generation())
	}
}

// TestAssignmentAfterRefusedRound checks that a job record which a leader has drafted, but the state service has
// rejected, does not affect the job's ranges. Otherwise a range would count as done without ever being written as
// done, and the job would never end.
func TestAssignmentAfterRefusedRound(t *testing.T) {
	sharding := fleet.ByZones(2, []string{"a", "b"})
	a := NewAssignment(sharding, NewPrevious(sharding, store.ShardLedgers{Generation: 2}))
	stored := &store.LiveJob{Record: store.JobRecord{Job: &wire.Job{ID: "wk-1", Shape: wire.Array, Zone: "a", Tasks: 4}, Tasks: 4, ShardingGeneration: 1}, Batch: &store.Batch{Version: 5}}
	drafted := *stored
	drafted.Record.FinishedIn = []string{store.LedgerName("a", 2)}
	for _, x := range []struct {
		name string
		job  *store.LiveJob
		done bool
	}{
		{"as stored", stored, false},
		{"in a round that is on its way", &drafted, true},
		{"as stored, once the round was refused", stored, false},
	} {
		want := []store.ShardRange{{From: 0, To: 4, Shard: "a", Done: x.done}}
		if got := a.Ranges(x.job); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", x.name, got, want)
		}
	}
}
