package leader

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// traceDriver is a leader with its view, driven by the steps of a trace.
type traceDriver struct {
	t               *testing.T
	now             time.Time
	view            *store.View
	leader          *Leader
	revision        uint64
	draft           *Draft
	openLaunches    []*fleet.Placement  // launches by direct calls that have no answer yet
	previousSegment store.SegmentRecord // the ledger segment that an earlier leader left
	segmentNumber   int                 // of previousSegment
	cfg             *config.Config
	shard           string // the shard that the leader leads
	grantChange     *quota.Change
	observers       map[string]zone.Observer
	workers         *workerModel
	steps           map[string]func(traceStep) []string // by their first word
}

// newTraceDriver returns a driver with an empty view and no leader yet.
func newTraceDriver(t *testing.T) *traceDriver {
	driver := &traceDriver{t: t, cfg: traceConfig(), shard: "fleet", now: time.Unix(1e9, 0), view: store.NewView(slog.New(slog.NewTextHandler(io.Discard, nil)))}
	driver.view.Load(nil, 0, &wire.WatchResponse{})
	driver.steps = driver.stateSteps()
	maps.Copy(driver.steps, driver.ledgerSteps())
	maps.Copy(driver.steps, driver.leaderSteps())
	return driver
}

// traceConfig returns the configuration under which traces are played.
func traceConfig() *config.Config {
	return &config.Config{Teams: []config.Team{{Name: "red", GPUs: 2, GPUsMax: 4}, {Name: "blue"}},
		Workers: config.Workers{HeartbeatInterval: 3 * time.Second, Lease: 30 * time.Second, GangStartTimeout: 45 * time.Second, GangPeerTimeout: 4 * time.Second, CancelTimeout: 60 * time.Second},
		Store:   config.Store{TxnOps: 12, ValueBytes: 8192}, Cloud: config.Cloud{ListLag: 3 * time.Second}, Tuning: config.DefaultTuning()}
}

// apply applies operations to the view, as the watch would.
func (driver *traceDriver) apply(then ...wire.Operation) {
	driver.revision++
	response := &wire.WatchResponse{Revision: driver.revision}
	for _, c := range then {
		response.Events = append(response.Events, wire.Event{Put: c.Put, Value: wire.Encode(c.Value), Delete: c.Delete, Version: driver.revision})
	}
	driver.view.Apply(response)
}

// formatAttempt formats an attempt as #TOKEN.NUMBER.
func formatAttempt(n uint64) string { return fmt.Sprintf("#%d.%d", n>>24, n&(1<<24-1)) }

// parseTasks parses tasks such as "wk-1/0#5.1 running", separated by commas.
func (driver *traceDriver) parseTasks(text string) []wire.ReportedTask {
	var out []wire.ReportedTask
	for _, item := range strings.Split(text, ",") {
		words := strings.Fields(item)
		if len(words) < 2 {
			continue
		}
		name, attempt, _ := strings.Cut(words[0], "#")
		tokenText, numberText, _ := strings.Cut(attempt, ".")
		token, _ := strconv.ParseUint(tokenText, 10, 64)
		number, _ := strconv.ParseUint(numberText, 10, 64)
		id, err := wire.ParseTaskID(name)
		if err != nil {
			driver.t.Fatal(err)
		}
		task := wire.ReportedTask{Task: name, ID: id, Attempt: token<<24 | number, State: wire.TaskState(words[1])}
		if len(words) > 2 {
			task.State, task.Cause = wire.TaskEnded, wire.Cause(words[2])
		}
		out = append(out, task)
	}
	return out
}

// traceStep is a step of a trace: its words, its settings (key=value) and, after a colon, tasks.
type traceStep struct {
	words    []string
	settings map[string]string
	tasks    string
}

// parseStep parses a line of a trace.
func parseStep(line string) (step traceStep) {
	head, tasks, _ := strings.Cut(line, ":")
	step.words, step.settings = simulator.ParseStep(head)
	step.tasks = tasks
	return step
}

// intSetting returns a setting as an integer, or a default if it is not set.
func (s traceStep) intSetting(key string, defaultValue int) int {
	if n, err := strconv.Atoi(s.settings[key]); err == nil {
		return n
	}
	return defaultValue
}

// step takes a step of a trace and returns its output.
func (driver *traceDriver) step(line string) []string {
	step := parseStep(line)
	run := driver.steps[step.words[0]]
	if run == nil {
		driver.t.Fatalf("unknown step: %s", line)
	}
	return run(step)
}

// parseRanges parses ranges such as "0-2/a" and "2-4/b,done".
func parseRanges(t *testing.T, words []string) (out []store.ShardRange) {
	for _, word := range words {
		var r store.ShardRange
		indexes, shard, _ := strings.Cut(word, "/")
		r.Shard, r.Done = strings.TrimSuffix(shard, ",done"), strings.HasSuffix(shard, ",done")
		if _, err := fmt.Sscanf(indexes, "%d-%d", &r.From, &r.To); err != nil {
			t.Fatal(err)
		}
		out = append(out, r)
	}
	return out
}

// compact moves batches whose jobs have all ended into a block of recent jobs.
func (driver *traceDriver) compact(batches []string) {
	var entries []jobblock.Entry
	var then []wire.Operation
	for _, batch := range driver.view.EndedBatches(99, func(*store.Batch) bool { return true }) {
		for _, job := range batch.Jobs {
			entries = append(entries, jobblock.Entry{ID: job.ID, Stage: job.Record.Stage, Tasks: job.Record.Tasks})
		}
		then = append(then, wire.Operation{Delete: batch.Key})
	}
	if len(then) != len(batches) {
		driver.t.Fatalf("%d batches have ended, want %v", len(then), batches)
	}
	entries, _ = jobblock.Sort(entries)
	driver.apply(append(then, wire.Operation{Put: store.RecentKey(0), Value: jobblock.Pack("", entries)})...)
}

// addToPreviousSegment writes an entry into the ledger as an earlier leader would have.
func (driver *traceDriver) addToPreviousSegment(e store.Entry) {
	if driver.previousSegment.Entries == nil {
		driver.previousSegment.Entries = map[string]wire.Raw{}
	}
	if driver.previousSegment.Entries[e.Key] = e.Value; e.Value == nil {
		driver.previousSegment.Entries[e.Key] = wire.Raw{0xf6} // null
	}
	driver.apply(wire.Operation{Put: store.SegmentKey(driver.shard, driver.segmentNumber), Value: driver.previousSegment})
}

// electLeader starts a leader with a fencing token.
func (driver *traceDriver) electLeader(token uint64) []string {
	driver.apply(wire.Operation{Put: store.LeaderKey(driver.shard), Value: store.LeaderRecord{Leader: "me", FencingToken: token}})
	types := []wire.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, Price: 4, SpotPrice: 1, BootS: 30, Zones: []string{"a", "b"}}}
	driver.leader = New(driver.cfg, leadership.Tenure{Shard: driver.shard, FencingToken: token, Version: driver.revision, Revision: driver.revision}, driver.view.Snapshot(),
		driver.view.ShardLedgers(driver.shard), types, driver.view, driver.now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return nil
}

// deliverHeartbeat delivers a heartbeat to the leader, or the answer to an inspection, and returns the commands in the
// response.
func (driver *traceDriver) deliverHeartbeat(words []string, zone string, token uint64, tasks string) []string {
	incarnationText, seqText, _ := strings.Cut(words[2], "/")
	incarnation, _ := strconv.ParseUint(incarnationText, 10, 64)
	seq, _ := strconv.ParseUint(seqText, 10, 64)
	hb := &wire.Heartbeat{Machine: words[1], Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Incarnation: incarnation, Seq: seq, FencingToken: token, Tasks: driver.parseTasks(tasks)}
	if driver.shard != "fleet" {
		hb.Zone = driver.shard
	}
	if m := driver.leader.fleet.Machine(words[1]); m != nil {
		hb.Zone = m.Zone
	}
	if zone != "" {
		hb.Zone = zone
	}
	if words[0] == "inspected" {
		driver.leader.HandleInspection(driver.now, hb)
		return nil
	}
	var out []string
	response, ok := driver.leader.HandleHeartbeat(driver.now, hb, !slices.Contains(words, "invalid"))
	if !ok {
		return []string{"no answer"}
	}
	for _, c := range response.Commands {
		out = append(out, fmt.Sprintf("%s %s%s", c.Verb, c.Task, formatAttempt(c.Attempt)))
	}
	return out
}

// directCalls makes the direct calls that are due. The first word is their outcome; the others name machines that the
// calls do not reach.
func (driver *traceDriver) directCalls(words []string) []string {
	var out []string
	for _, call := range driver.leader.dueCalls(driver.now, true, maxOpenCalls) {
		line := fmt.Sprintf("to %s, session %d:", call.machine, call.incarnation)
		for _, command := range call.commands {
			line += fmt.Sprintf(" %s %s%s", command.Verb, command.Task, formatAttempt(command.Attempt))
		}
		out = append(out, line)
		switch words[0] {
		case "open":
			driver.openLaunches = append(driver.openLaunches, call.launches...)
		case "executed":
			driver.leader.fleet.CallFinished(call.launches, fleet.Executed)
		case "refused":
			driver.leader.fleet.CallFinished(call.launches, fleet.Refused)
		}
		if words[0] == "unreached" {
			driver.leader.fleet.CallFinished(call.launches, fleet.Refused)
		}
		if call.fencing {
			driver.leader.fencing.Finished()
		}
		unreached := words[0] == "unreached" || slices.Contains(words[1:], call.machine)
		driver.leader.monitor.CallFinished(driver.now, call.machine, !unreached)
	}
	return out
}

// runRound decides one round and describes it. The round is committed unless the words say that it is refused or lost.
func (driver *traceDriver) runRound(words []string) []string {
	driver.draft = driver.leader.Decide(driver.now, driver.view.Snapshot())
	if driver.draft == nil {
		return []string{"nothing to write"}
	}
	var out []string
	for _, p := range driver.draft.launches {
		out = append(out, fmt.Sprintf("launch %v%s on %s", p.Task, formatAttempt(p.Attempt), p.Machine))
	}
	for _, c := range driver.draft.Txn.Then {
		out = append(out, driver.describeChange(c))
	}
	for _, c := range driver.draft.Txn.If {
		out = append(out, fmt.Sprintf("if %s is at %d", strings.TrimPrefix(c.Key, store.StatePrefix), c.Version))
	}
	switch {
	case slices.Contains(words, "refused"):
		driver.leader.Discard(driver.draft)
	case !slices.Contains(words, "lost"):
		driver.commit()
	}
	return out
}

// describeChange describes an operation of a round.
func (driver *traceDriver) describeChange(c wire.Operation) string {
	if c.Delete != "" {
		return "drop " + strings.TrimPrefix(c.Delete, store.StatePrefix)
	}
	line := "put " + strings.TrimPrefix(c.Put, store.StatePrefix)
	switch rec := c.Value.(type) {
	case store.JobRecord:
		line += " " + string(rec.Stage)
	case store.BatchRecord:
		for _, id := range sortedKeys(rec.Jobs) {
			line += " " + id + "=" + describeJob(rec.Jobs[id])
		}
	case store.SegmentRecord:
		line += fmt.Sprintf(" round %d, teams %v, holds %s", rec.Round, resourcePairs(driver.leader.teamUsage()), strings.Join(rec.Describe(), " "))
		if rec.Migrated > 0 {
			line += ", all taken over"
		}
	case store.ShardingRecord:
		line += fmt.Sprintf(" %q, number %d, before %v", rec.Text, rec.Generation, rec.PreviousLedgers)
	}
	return line
}

// describeJob describes a job's record.
func describeJob(rec store.JobRecord) string {
	text := string(rec.Stage)
	switch order := rec.CoAllocation; {
	case order == store.CoAllocationRelease:
		text += " called off"
	case order == store.CoAllocationReserve:
		text += " held"
	case order > 0:
		text += " start " + formatAttempt(order)
	}
	if len(rec.FinishedIn) > 0 {
		text += " done in " + strings.Join(rec.FinishedIn, ",")
	}
	for _, r := range rec.Ranges {
		text += fmt.Sprintf(" %d-%d/%s", r.From, r.To, r.Shard)
		if r.Done {
			text += ",done"
		}
	}
	return text
}

// commit commits the current round.
func (driver *traceDriver) commit() {
	driver.apply(driver.draft.Txn.Then...)
	driver.leader.Committed(driver.draft, driver.revision)
}

// describePlacements describes the machines with their placements, and the pending scale-out requests.
func (driver *traceDriver) describePlacements() []string {
	leader := driver.leader
	leader.mu.Lock()
	defer leader.mu.Unlock()
	var out []string
	for _, m := range leader.fleet.Machines() {
		line := m.ID
		if slices.Contains(leader.fleet.UnprovenMachines(), m) {
			line += " unproven"
		}
		if m.Releasing {
			line += " releasing"
		}
		for _, p := range m.Placements() {
			line += fmt.Sprintf(" %v%s=%s", p.Task, formatAttempt(p.Attempt),
				[]string{"planned", "sent", "fetching", "waiting", "running", "saving", "ended"}[p.State])
			if p.CallPending() {
				line += "(loose)"
			}
			if p.Stop != nil {
				line += fmt.Sprintf("(stop, grace %v)", p.Stop.Grace)
			}
		}
		out = append(out, line)
	}
	for _, request := range leader.scaler.Pending() {
		out = append(out, fmt.Sprintf("ask %s for %d in %s", request.Name, request.Count, request.Zone))
	}
	return out
}

// TestTraces replays the leader's traces in testdata and compares their output.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string { return newTraceDriver(t).step })
}

// TestTimeoutsFollowHeartbeatInterval checks that the timeouts after which a machine counts as unusable or unreachable
// scale with the workers' heartbeat interval. When they were fixed to suit an interval of 3 s, a third of a fleet with
// an interval of 8 s was unusable, and the rest was released.
func TestTimeoutsFollowHeartbeatInterval(t *testing.T) {
	for _, interval := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		cfg := traceConfig()
		cfg.Workers.HeartbeatInterval = interval
		got, latest := newTimeouts(cfg), interval*5/4
		if got.directLaunchWithin <= latest || got.launchWithin <= got.directLaunchWithin || got.suspectAfter <= latest || got.unreachableAfter <= got.suspectAfter && interval < 20*time.Second {
			t.Errorf("heartbeats every %v: %+v", interval, got)
		}
		driver := newTraceDriver(t)
		driver.cfg.Workers.HeartbeatInterval = interval
		driver.step("claim term=2")
		driver.step("report n-1 1/1 term=2")
		driver.now = driver.now.Add(latest)
		driver.leader.Decide(driver.now, driver.view.Snapshot())
		if snapshot := driver.leader.clusterSnapshot(driver.now); !snapshot.Machines[0].Usable || driver.leader.fleet.Machine("n-1").Releasing {
			t.Errorf("heartbeats every %v: a machine is not usable between two of them", interval)
		}
		for end := driver.now.Add(got.unreachableAfter); driver.now.Before(end); { // in small steps, or the leader would count as paused
			driver.now = driver.now.Add(min(2*time.Second, end.Sub(driver.now)))
			driver.leader.Decide(driver.now, driver.view.Snapshot())
		}
		for _, other := range []string{"n-2", "n-3", "n-4"} {
			driver.step("report " + other + " 1/1 term=2")
		}
		driver.leader.monitor.CallFinished(driver.now, "n-2", true)
		driver.leader.monitor.Calls.Start(driver.now, "n-1", "")
		driver.leader.monitor.CallFinished(driver.now, "n-1", false)
		if driver.leader.Decide(driver.now, driver.view.Snapshot()); !driver.leader.fleet.Machine("n-1").Releasing {
			t.Errorf("heartbeats every %v: a machine that is unreachable for %v is kept", interval, latest+got.unreachableAfter)
		}
	}
}

// TestSmallLimits stores the progress of a job of 100,000 tasks under very small limits on values and transactions. No
// round may exceed the limits, and all progress must be stored in the end.
func TestSmallLimits(t *testing.T) {
	driver := newTraceDriver(t)
	driver.step("job wk-1 sweep team=blue tasks=100000")
	driver.step("claim term=2")
	leader := driver.leader
	leader.cfg.Store = config.Store{TxnOps: 4, ValueBytes: 1024}
	leader.ledger, _ = store.NewLedger("fleet", 1024, nil)
	j := leader.jobState("wk-1")
	for i := range 50_000 {
		leader.markFinished(wire.TaskID{Job: "wk-1", Index: 2 * i}, j)
	}
	for range 200 {
		driver.now = driver.now.Add(time.Second)
		d := leader.Decide(driver.now, driver.view.Snapshot())
		if d == nil {
			break
		}
		if len(d.Txn.Then) > 4 || len(d.Txn.If) > 16 {
			t.Fatalf("a round with %d changes and %d conditions", len(d.Txn.Then), len(d.Txn.If))
		}
		for _, c := range d.Txn.Then {
			if size := len(wire.Encode(c.Value)); size > 1024 {
				t.Fatalf("a value of %d bytes", size)
			}
		}
		driver.draft = d
		driver.commit()
	}
	if n := j.storedFinished.Count(); n != 50_000 {
		t.Errorf("%d of 50,000 finished tasks are stored", n)
	}
}

// TestSnapshotCountsCancelled checks that a task of a cancelled job counts against its team's quota until it is gone.
func TestSnapshotCountsCancelled(t *testing.T) {
	driver := newTraceDriver(t)
	for _, s := range []string{"job wk-1 sweep team=red tasks=1 gpus=4", "claim term=2", "report n-1 1/1 term=2: wk-1/0#1.1 running", "cancel wk-1"} {
		driver.step(s)
	}
	driver.leader.Decide(driver.now, driver.view.Snapshot())
	if snapshot := driver.leader.clusterSnapshot(driver.now); snapshot.Teams["red"].UsedGPUs != 4 {
		t.Errorf("the cancelled task counts %v of 4 GPUs", snapshot.Teams["red"].UsedGPUs)
	}
}

// TestNoLaunchWithoutMachineRecord checks that no launch is sent whose machine's record is not in the round's
// transaction, since the next leader would not know of it. Records that do not pack well into the segments of a round
// may leave one over; smaller rounds are then decided until all records fit.
func TestNoLaunchWithoutMachineRecord(t *testing.T) {
	halvings := 0
	for tasks := 8; tasks <= 22; tasks++ {
		halvings += runCrowdedRounds(t, tasks)
	}
	if halvings == 0 {
		t.Error("no round was too large, so the check has tested nothing")
	}
}

// runCrowdedRounds launches one more task on each of many machines that run a number of tasks already, and returns how
// often a round was halved.
func runCrowdedRounds(t *testing.T, tasks int) (halvings int) {
	driver := newTraceDriver(t)
	const machines = 120
	driver.step(fmt.Sprintf("job wk-1 sweep team=blue tasks=%d", machines*tasks))
	driver.step(fmt.Sprintf("job wk-2 sweep team=blue tasks=%d", machines))
	driver.step("claim term=2")
	leader := driver.leader
	leader.cfg.Store = config.Store{TxnOps: 24, ValueBytes: 4096}
	leader.ledger, _ = store.NewLedger("fleet", 4096, nil)
	n := float64(tasks + 1)
	leader.types = []wire.MachineType{{Name: "g4", CPUs: n, GPUs: n, MemoryGB: n, Price: 4, BootS: 30, Zones: []string{"a"}}}
	for m := range machines {
		report := ""
		for i := range tasks {
			report += fmt.Sprintf("wk-1/%d#1.%d running,", tasks*m+i, tasks*m+i+1)
		}
		driver.step(fmt.Sprintf("report n-%03d 1/1 term=2: %s", m, report))
	}
	launched := 0
	for range 60 {
		d := leader.Decide(driver.now, driver.view.Snapshot())
		driver.now = driver.now.Add(10 * time.Millisecond)
		if d == nil {
			halvings += leader.sizeBackoff.Halvings()
			continue
		}
		written := map[string]bool{}
		for _, c := range d.Txn.Then {
			if segment, ok := c.Value.(store.SegmentRecord); ok {
				for key := range segment.Entries {
					written[key] = true
				}
			}
		}
		for _, p := range d.launches {
			if launched++; !written["m/"+p.Machine] {
				t.Errorf("%d tasks: %v is launched on %s, whose record is not written", tasks, p.Task, p.Machine)
			}
		}
		driver.draft = d
		driver.commit()
	}
	if launched != machines {
		t.Errorf("%d tasks: %d of %d launched", tasks, launched, machines)
	}
	return halvings
}
