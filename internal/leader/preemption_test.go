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

// configureTier configures a tier; their order is that in which they are named.
func (driver *traceDriver) configureTier(name string, kv map[string]string) {
	t := tier.Tier{Name: name, Order: len(driver.cfg.Tuning.Tiers), ReclaimWithin: tier.DefaultReclaimWithin}
	t.Share.Cards, _ = strconv.ParseFloat(kv["cards"], 64)
	if kv["priority"] != "" {
		t.Priorities = strings.Split(kv["priority"], ",")
	}
	if kv["within"] != "" {
		t.ReclaimWithin, _ = time.ParseDuration(kv["within"])
	}
	if kv["lend"] != "" {
		t.LendsTo = strings.Split(kv["lend"], ",")
	}
	driver.cfg.Tuning.Tiers = append(driver.cfg.Tuning.Tiers, t)
}

// describePreemptions describes what the leader preempts for tiers.
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

// workerModel plays the workers of a few machines, second by second.
type workerModel struct {
	*traceDriver
	token       uint64
	seq         uint64
	tasksOn     map[string]map[string]wire.ReportedTask // by machine and task
	ignoresStop map[string]bool                         // tasks that don't stop
	stopsSent   map[string]bool                         // attempts that were told to
	lateStops   []func()                                // copies of stops that come again
	events      []string
	checkpointS int // seconds that a task takes to stop
	pendingEnds []func()
}

func newWorkerModel(driver *traceDriver, machines ...string) *workerModel {
	w := &workerModel{traceDriver: driver, tasksOn: map[string]map[string]wire.ReportedTask{}, ignoresStop: map[string]bool{}, stopsSent: map[string]bool{}}
	for _, m := range machines {
		w.tasksOn[m] = map[string]wire.ReportedTask{}
	}
	return w
}

// failover elects a new leader, and late copies of all earlier stops arrive.
func (w *workerModel) failover() {
	w.token++
	w.traceDriver.electLeader(w.token)
	for _, again := range w.lateStops {
		again()
	}
	w.sendHeartbeats()
}

// sendHeartbeats has all machines send a heartbeat and carries out the answers.
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

// execute carries out a command on a machine.
func (w *workerModel) execute(m string, c wire.Command) {
	t, there := w.tasksOn[m][c.Task]
	there = there && t.Attempt == c.Attempt
	switch {
	case c.Verb == wire.Launch && !there:
		id, _ := wire.ParseTaskID(c.Task)
		w.tasksOn[m][c.Task] = wire.ReportedTask{Task: c.Task, ID: id, Attempt: c.Attempt, State: wire.TaskRunning}
		w.events = append(w.events, fmt.Sprintf("%s runs on %s", c.Task, m))
	case c.Verb == wire.Stop && there:
		name := fmt.Sprintf("%s%s", c.Task, formatAttempt(c.Attempt))
		if !w.stopsSent[name] {
			w.stopsSent[name] = true
			w.events = append(w.events, fmt.Sprintf("%s on %s is told to stop", c.Task, m))
		}
		w.lateStops = append(w.lateStops, func() { w.execute(m, c) })
		if t.State == wire.TaskRunning && !w.ignoresStop[c.Task] {
			if w.checkpointS == 0 {
				w.endTask(m, c.Task, wire.CauseStopped)
				break
			}
			t.State = wire.TaskSaving
			w.tasksOn[m][c.Task] = t
			w.pendingEnds = append(w.pendingEnds, func() { w.endTask(m, c.Task, wire.CauseStopped) })
		}
	case c.Verb == wire.Clear && there:
		delete(w.tasksOn[m], c.Task)
	}
}

// endTask has a task end.
func (w *workerModel) endTask(m, task string, cause wire.Cause) {
	t := w.tasksOn[m][task]
	t.State, t.Cause = wire.TaskEnded, cause
	w.tasksOn[m][task] = t
}

// advanceSecond plays one second, in which the leader may crash at a point of its decision. How many stops
// have been said by then is up to the point.
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
		for i, c := range calls {
			for k, cmd := range c.commands {
				if crash != "half" || i < len(calls)/2 || k < len(c.commands)/2 {
					w.execute(c.machine, cmd)
				}
			}
			w.leader.fleet.CallFinished(c.launches, fleet.Executed)
			if c.fencing {
				w.leader.fencing.Finished()
			}
			w.leader.monitor.CallFinished(w.now, c.machine, true)
		}
	}
	if crash != "" {
		w.failover()
	}
}

// runningTasks counts the tasks of a job that run.
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

// workerStep takes the steps of a trace that play the workers.
func (driver *traceDriver) workerStep(w []string) []string {
	v := driver.workers
	switch w[0] {
	case "workers":
		driver.workers = newWorkerModel(driver, w[1:]...)
		driver.workers.token = 1
		driver.workers.failover()
		return nil
	case "stubborn":
		v.ignoresStop[w[1]] = true
		return nil
	case "finish":
		for m := range v.tasksOn {
			if _, ok := v.tasksOn[m][w[1]]; ok {
				v.endTask(m, w[1], wire.CauseDone)
			}
		}
		return nil
	case "lose":
		delete(v.tasksOn, w[1])
		driver.step("released " + w[1])
	case "crash":
		v.advanceSecond(w[1])
	case "play":
		n, _ := strconv.Atoi(w[1])
		for range n {
			v.advanceSecond("")
		}
	}
	out := v.events
	v.events = nil
	return out
}

// TestCrashInPreemption has the leader crash, while a tier gets all its lent cards back, at every step of its
// decisions in turn, and the next one at every step after that: what is stopped is what the
// first record names, and the tier has its cards within its bound.
func TestCrashInPreemption(t *testing.T) {
	points := []string{"before", "unknown", "after", "half", "all"}
	calm := newFullyLentFleet(t)
	for range 16 {
		calm.advanceSecond("")
	}
	for first := range 4 {
		for _, p := range points {
			for second := range 4 {
				for _, q := range points {
					w := newFullyLentFleet(t)
					for s := range 16 {
						crash := ""
						if s == first {
							crash = p
						} else if s == first+1+second {
							crash = q
						}
						w.advanceSecond(crash)
					}
					if n, left := w.runningTasks("wk-2"), w.runningTasks("wk-1"); n != 6 || len(w.stopsSent) != 6 || left != 6 || (first > 0 || p != "before") && !maps.Equal(w.stopsSent, calm.stopsSent) {
						t.Errorf("crash %s at %d and %s %d later: %d of 6 run, %d of 6 are left, stopped: %v", p, first, q, second+1, n, left, slices.Sorted(maps.Keys(w.stopsSent)))
					}
				}
			}
		}
	}
}

// newFullyLentFleet returns a fleet of twelve cards, of which a tier is guaranteed half and has lent all.
func newFullyLentFleet(t *testing.T) *workerModel {
	driver := newTraceDriver(t)
	driver.configureTier("live", map[string]string{"priority": "high", "cards": "6", "within": "20s"})
	driver.configureTier("batch", map[string]string{"priority": "normal"})
	driver.step("job wk-1 sweep team=blue tasks=12")
	driver.workerStep([]string{"workers", "n-1", "n-2", "n-3"})
	for s := range 12 {
		if s == 6 { // young tasks lose least and are preempted first, until a new leader no longer knows their age
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

// TestTierWaitUnaffectedByLowPriorityFlood: however much lesser work comes, the first tier's tasks run as soon
// as if there were little. Machines and calls are full in both cases.
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
		since := map[string]int{}
		for s := range 60 {
			for i := range flood {
				driver.step(fmt.Sprintf("job wk-%d sweep team=blue tasks=100", 1000+s*flood+i))
			}
			if s > 10 && s%5 == 0 {
				id := fmt.Sprintf("wk-9%05d", s)
				driver.step("job " + id + " service team=blue tasks=2 priority=production")
				since[id] = s
			}
			driver.workers.advanceSecond("")
			for _, id := range sortedKeys(since) {
				if driver.workers.runningTasks(id) == 2 {
					out = append(out, s-since[id])
					delete(since, id)
				}
			}
		}
		return out
	}
	calm, flooded := waits(0), waits(9) // 54,000 tasks in a minute
	if len(calm) < 8 || !slices.Equal(calm, flooded) {
		t.Errorf("seconds that the first tier waits: %v, under the flood %v", calm, flooded)
	}
}
