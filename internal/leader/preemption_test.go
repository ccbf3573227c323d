package leader

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// configureTier appends a tier to the configuration. Tiers are ordered as they are configured.
func (driver *traceDriver) configureTier(name string, settings map[string]string) {
	t := tier.Tier{Name: name, Order: len(driver.cfg.Tuning.Tiers), ReclaimWithin: tier.DefaultReclaimWithin}
	t.Share.Cards, _ = strconv.ParseFloat(settings["cards"], 64)
	if settings["priority"] != "" {
		t.Priorities = strings.Split(settings["priority"], ",")
	}
	if settings["within"] != "" {
		t.ReclaimWithin, _ = time.ParseDuration(settings["within"])
	}
	if settings["lend"] != "" {
		t.LendsTo = strings.Split(settings["lend"], ",")
	}
	driver.cfg.Tuning.Tiers = append(driver.cfg.Tuning.Tiers, t)
}

// describePreemptions describes the leader's preemptions for tiers, and the use of the tiers' shares.
func (driver *traceDriver) describePreemptions() []string {
	out := []string{}
	for _, job := range driver.leader.preemptions.Jobs() {
		for _, r := range driver.leader.preemptions.For(job).Reservations {
			out = append(out, fmt.Sprintf("for %d of %s (%s) on %s in %v: stops %v, awaits %v", r.Tasks, job, r.Tier, r.Machine,
				time.UnixMilli(r.Deadline).Sub(driver.now), sortedKeys(r.Stops), sortedKeys(r.Awaits)))
		}
	}
	for _, s := range driver.leader.preemptions.Statuses() {
		if s.Share > 0 {
			out = append(out, fmt.Sprintf("%v of %v cards in use, %v lent, %d tasks wait", s.Cards, s.Share, s.Lent, s.Waiting))
		}
	}
	return slices.Clip(out)
}

// workerModel simulates the workers of a few machines in steps of one second.
type workerModel struct {
	*traceDriver
	token       uint64
	seq         uint64
	tasksOn     map[string]map[string]wire.ReportedTask // by machine and task
	ignoresStop map[string]bool                         // tasks that do not stop when told to
	stopsSent   map[string]bool                         // attempts that were told to stop
	lateStops   []func()                                // deliver late copies of stops
	events      []string
	checkpointS int      // seconds between checkpoints, at which stopped tasks end; 0: they end at once
	pendingEnds []func() // end tasks that are saving
}

// newWorkerModel returns the workers of machines without tasks.
func newWorkerModel(driver *traceDriver, machines ...string) *workerModel {
	w := &workerModel{traceDriver: driver, tasksOn: map[string]map[string]wire.ReportedTask{}, ignoresStop: map[string]bool{}, stopsSent: map[string]bool{}}
	for _, m := range machines {
		w.tasksOn[m] = map[string]wire.ReportedTask{}
	}
	return w
}

// failover elects a new leader and delivers late copies of all earlier stops.
func (w *workerModel) failover() {
	w.token++
	w.traceDriver.electLeader(w.token)
	for _, deliver := range w.lateStops {
		deliver()
	}
	w.sendHeartbeats()
}

// sendHeartbeats sends a heartbeat of each machine and executes the commands in the responses.
func (w *workerModel) sendHeartbeats() {
	for _, m := range sortedKeys(w.tasksOn) {
		w.seq++
		hb := &wire.Heartbeat{Machine: m, Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Incarnation: 1, Seq: w.seq, FencingToken: w.token}
		for _, task := range sortedKeys(w.tasksOn[m]) {
			hb.Tasks = append(hb.Tasks, w.tasksOn[m][task])
		}
		response, _ := w.leader.HandleHeartbeat(w.now, hb, true)
		for _, c := range response.Commands {
			w.execute(m, c)
		}
	}
}

// execute executes a command on a machine.
func (w *workerModel) execute(machine string, c wire.Command) {
	t, found := w.tasksOn[machine][c.Task]
	found = found && t.Attempt == c.Attempt
	switch {
	case c.Verb == wire.Launch && !found:
		id, _ := wire.ParseTaskID(c.Task)
		w.tasksOn[machine][c.Task] = wire.ReportedTask{Task: c.Task, ID: id, Attempt: c.Attempt, State: wire.TaskRunning}
		w.events = append(w.events, fmt.Sprintf("%s runs on %s", c.Task, machine))
	case c.Verb == wire.Stop && found:
		name := fmt.Sprintf("%s%s", c.Task, formatAttempt(c.Attempt))
		if !w.stopsSent[name] {
			w.stopsSent[name] = true
			w.events = append(w.events, fmt.Sprintf("%s on %s is told to stop", c.Task, machine))
		}
		w.lateStops = append(w.lateStops, func() { w.execute(machine, c) })
		if t.State == wire.TaskRunning && !w.ignoresStop[c.Task] {
			if w.checkpointS == 0 {
				w.endTask(machine, c.Task, wire.CauseStopped)
				break
			}
			t.State = wire.TaskSaving
			w.tasksOn[machine][c.Task] = t
			w.pendingEnds = append(w.pendingEnds, func() { w.endTask(machine, c.Task, wire.CauseStopped) })
		}
	case c.Verb == wire.Clear && found:
		delete(w.tasksOn[machine], c.Task)
	}
}

// endTask ends a task on a machine.
func (w *workerModel) endTask(machine, task string, cause wire.Cause) {
	t := w.tasksOn[machine][task]
	t.State, t.Cause = wire.TaskEnded, cause
	w.tasksOn[machine][task] = t
}

// advanceSecond simulates one second. The leader may crash in it: before its round is stored ("before"), when the store
// has applied the round without an answer ("unknown"), after the answer ("after"), or when half or all of the direct
// calls have been executed ("half", "all"). The point decides how many stops have been sent by then.
func (w *workerModel) advanceSecond(crash string) {
	w.now = w.now.Add(time.Second)
	if w.checkpointS > 0 && w.now.Unix()%int64(w.checkpointS) == 0 {
		for _, end := range w.pendingEnds {
			end()
		}
		w.pendingEnds = nil
	}
	w.sendHeartbeats()
	d := w.leader.Decide(w.now, w.view.Snapshot())
	w.draft = d
	if d != nil && crash != "before" {
		w.apply(d.Txn.Then...)
		if crash != "unknown" {
			w.leader.Committed(d, w.revision)
		}
	}
	if calls := w.leader.dueCalls(w.now, true, maxOpenCalls); crash == "" || crash == "half" || crash == "all" {
		for i, call := range calls {
			for k, command := range call.commands {
				if crash != "half" || i < len(calls)/2 || k < len(call.commands)/2 {
					w.execute(call.machine, command)
				}
			}
			w.leader.fleet.CallFinished(call.launches, fleet.Executed)
			if call.fencing {
				w.leader.fencing.Finished()
			}
			w.leader.monitor.CallFinished(w.now, call.machine, true)
		}
	}
	if crash != "" {
		w.failover()
	}
}

// runningTasks counts the running tasks of a job.
func (w *workerModel) runningTasks(job string) (n int) {
	for _, m := range w.tasksOn {
		for task, t := range m {
			if strings.HasPrefix(task, job+"/") && t.State == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

// workerStep takes a step of a trace that simulates workers, and returns what they have done since the last such step.
func (driver *traceDriver) workerStep(words []string) []string {
	workers := driver.workers
	switch words[0] {
	case "workers":
		driver.workers = newWorkerModel(driver, words[1:]...)
		driver.workers.token = 1
		driver.workers.failover()
		return nil
	case "stubborn":
		workers.ignoresStop[words[1]] = true
		return nil
	case "finish":
		for machine := range workers.tasksOn {
			if _, ok := workers.tasksOn[machine][words[1]]; ok {
				workers.endTask(machine, words[1], wire.CauseDone)
			}
		}
		return nil
	case "lose":
		delete(workers.tasksOn, words[1])
		driver.step("released " + words[1])
	case "crash":
		workers.advanceSecond(words[1])
	case "play":
		seconds, _ := strconv.Atoi(words[1])
		for range seconds {
			workers.advanceSecond("")
		}
	}
	out := workers.events
	workers.events = nil
	return out
}

// TestCrashDuringPreemption crashes the leader at each point of its decisions while a tier reclaims all cards that it has
// lent, and then crashes the next leader at each point of later decisions. Only the attempts that the first record of
// the preemption names may be stopped, and the tier must have its cards within its bound.
func TestCrashDuringPreemption(t *testing.T) {
	points := []string{"before", "unknown", "after", "half", "all"}
	undisturbed := newFullyLentFleet(t)
	for range 16 {
		undisturbed.advanceSecond("")
	}
	for first := range 4 {
		for _, firstPoint := range points {
			for second := range 4 {
				for _, secondPoint := range points {
					w := newFullyLentFleet(t)
					for s := range 16 {
						crash := ""
						if s == first {
							crash = firstPoint
						} else if s == first+1+second {
							crash = secondPoint
						}
						w.advanceSecond(crash)
					}
					if started, left := w.runningTasks("wk-2"), w.runningTasks("wk-1"); started != 6 || len(w.stopsSent) != 6 || left != 6 || (first > 0 || firstPoint != "before") && !maps.Equal(w.stopsSent, undisturbed.stopsSent) {
						t.Errorf("crash %s at %d and %s %d later: %d of 6 run, %d of 6 are left, stopped: %v", firstPoint, first, secondPoint, second+1, started, left, slices.Sorted(maps.Keys(w.stopsSent)))
					}
				}
			}
		}
	}
}

// newFullyLentFleet returns a fleet of twelve cards. A tier is guaranteed half of them and has lent all of these.
func newFullyLentFleet(t *testing.T) *workerModel {
	driver := newTraceDriver(t)
	driver.configureTier("live", map[string]string{"priority": "high", "cards": "6", "within": "20s"})
	driver.configureTier("batch", map[string]string{"priority": "normal"})
	driver.step("job wk-1 sweep team=blue tasks=12")
	driver.workerStep([]string{"workers", "n-1", "n-2", "n-3"})
	for s := range 12 {
		if s == 6 { // new tasks lose least and are preempted first, until a new leader no longer knows their age
			for _, task := range sortedKeys(driver.workers.tasksOn["n-3"]) {
				driver.workers.endTask("n-3", task, wire.CauseStopped)
			}
		}
		driver.workers.advanceSecond("")
	}
	if driver.workers.runningTasks("wk-1") != 12 {
		t.Fatal("not all cards are lent")
	}
	driver.step("job wk-2 service team=blue tasks=6 priority=high")
	driver.workers.checkpointS = 4
	return driver.workers
}

// TestTierWaitUnaffectedByLowPriorityFlood checks that the first tier's tasks start equally soon with and without a
// flood of work of lower priority. Machines and direct calls are used to capacity in both cases.
func TestTierWaitUnaffectedByLowPriorityFlood(t *testing.T) {
	waits := func(flood int) (out []int) {
		driver := newTraceDriver(t)
		driver.configureTier("live", map[string]string{"priority": "production", "cards": "60", "within": "20s"})
		driver.configureTier("batch", map[string]string{})
		var machines []string
		for i := range 100 {
			machines = append(machines, fmt.Sprintf("n-%03d", i))
		}
		driver.step("job wk-0 sweep team=blue tasks=500")
		driver.workerStep(append([]string{"workers"}, machines...))
		submittedAt := map[string]int{}
		for s := range 60 {
			for i := range flood {
				driver.step(fmt.Sprintf("job wk-%d sweep team=blue tasks=100", 1000+s*flood+i))
			}
			if s > 10 && s%5 == 0 {
				id := fmt.Sprintf("wk-9%05d", s)
				driver.step("job " + id + " service team=blue tasks=2 priority=production")
				submittedAt[id] = s
			}
			driver.workers.advanceSecond("")
			for _, id := range sortedKeys(submittedAt) {
				if driver.workers.runningTasks(id) == 2 {
					out = append(out, s-submittedAt[id])
					delete(submittedAt, id)
				}
			}
		}
		return out
	}
	baseline, flooded := waits(0), waits(9) // 54,000 tasks in a minute
	if len(baseline) < 8 || !slices.Equal(baseline, flooded) {
		t.Errorf("the first tier waits %v seconds without the flood, %v with it", baseline, flooded)
	}
}
