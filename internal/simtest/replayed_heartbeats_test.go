package simtest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// The tests in this file simulate days on which old heartbeats reach every controller around a change of the
// leader.

// heartbeatRecorder records heartbeats of machines to replay them later.
type heartbeatRecorder struct {
	*simulation
	heartbeats       []wire.Heartbeat
	previousToken    uint64         // the fencing token before that of the leader to which they are replayed
	beforeLaunchOnly bool           // only heartbeats from before a launch are kept
	answeredKinds    map[string]int // how often the leader answered a heartbeat of each kind
}

// recordHeartbeats records a current heartbeat of each machine, without sending it to a controller.
func (d *heartbeatRecorder) recordHeartbeats() {
	caller := &transport.Client{MaxBody: 8 << 20, Dial: d.net.Host("10.3.0.5").Dial}
	for _, m := range d.runningMachines() {
		ctx, cancel := context.WithTimeout(d.ctx, sec)
		resp, err := caller.Call(ctx, simulator.Address(m.host, 9000), "GET", wire.PathStatus, nil)
		cancel()
		var r wire.Heartbeat
		if err == nil && wire.Decode(resp.Body, &r) == nil {
			d.heartbeats = append(d.heartbeats, r)
		}
	}
}

// machinesInZoneA returns the machines of zone a, which is a shard of its own if shards are by zone.
func (d *heartbeatRecorder) machinesInZoneA() (out []runningMachine) {
	inZoneA := map[string]bool{}
	d.cloud.EachRunning(func(l wire.ListedMachine, _ simulator.Machine) { inZoneA[l.ID] = l.Zone == "a" })
	for _, m := range d.runningMachines() {
		if inZoneA[m.id] {
			out = append(out, m)
		}
	}
	return out
}

// kindsOf returns in which ways a recorded heartbeat is outdated. running holds the machines that are up.
func (d *heartbeatRecorder) kindsOf(r *wire.Heartbeat, running map[string]bool) (kinds []string) {
	add := func(is bool, kind string) {
		if is {
			kinds = append(kinds, kind)
		}
	}
	add(!running[r.Machine], "of a machine that is gone")
	add(slices.ContainsFunc(d.heartbeats, func(o wire.Heartbeat) bool { return o.Machine == r.Machine && o.Incarnation > r.Incarnation }), "of an earlier session")
	add(r.FencingToken < d.previousToken, "of an earlier term")
	add(d.beforeLaunchOnly || len(r.Tasks) == 0, "from before a launch")
	for _, t := range r.Tasks {
		add(strings.HasPrefix(t.Task, "wk-4/"), "from before an end")
	}
	return kinds
}

// keepIncomplete keeps only recorded heartbeats that lack a running task of the machine's last
// heartbeat: a leader that took such a heartbeat as current would start that task again.
func (d *heartbeatRecorder) keepIncomplete() {
	d.beforeLaunchOnly = true
	last := map[string]wire.Heartbeat{}
	for _, r := range d.heartbeats {
		last[r.Machine] = r
	}
	d.heartbeats = slices.DeleteFunc(d.heartbeats, func(r wire.Heartbeat) bool {
		return !slices.ContainsFunc(last[r.Machine].Tasks, func(t wire.ReportedTask) bool {
			return t.State == wire.TaskRunning && !slices.ContainsFunc(r.Tasks, func(o wire.ReportedTask) bool { return o.Task == t.Task && o.Attempt == t.Attempt })
		})
	})
}

// replayAll replays all recorded heartbeats to every controller, from the oldest or from the newest on.
func (d *heartbeatRecorder) replayAll(newestFirst bool) {
	running := map[string]bool{}
	for _, m := range d.runningMachines() {
		running[m.id] = true
	}
	caller := &transport.Client{MaxBody: 8 << 20, Dial: d.net.Host("10.4.0.1").Dial}
	for k := range d.heartbeats {
		r := &d.heartbeats[k]
		if newestFirst {
			r = &d.heartbeats[len(d.heartbeats)-1-k]
		}
		for i := range d.count {
			ctx, cancel := context.WithTimeout(d.ctx, sec)
			resp, err := caller.Call(ctx, simulator.Address(d.ip(i), 8080), "POST", wire.PathHeartbeat, wire.Encode(r))
			cancel()
			var a wire.HeartbeatResponse
			if err != nil || resp.Status != 200 || wire.Decode(resp.Body, &a) != nil || a.FencingToken <= d.previousToken {
				continue
			}
			for _, kind := range d.kindsOf(r, running) {
				d.answeredKinds[kind]++
			}
		}
	}
}

// replayKinds are the kinds of outdated heartbeats that must reach a leader.
var replayKinds = []string{"of a machine that is gone", "of an earlier session", "of an earlier term", "from before a launch", "from before an end"}

// replayOffsets are the times after an election at which old heartbeats arrive: with its write,
// until the state of the fleet is rebuilt, with the first rounds, when the leader stops waiting for
// suspected machines or gives them up, and when leases have expired. A negative offset means from the
// crash of the leader until the election.
var replayOffsets = []time.Duration{-1, 0, 15 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond,
	2 * sec, 4100 * time.Millisecond, 6 * sec, 12 * sec, 19 * sec, 27 * sec}

// TestReplayedHeartbeatsAtNextLeader replays heartbeats to every controller as a new leader starts,
// which has seen none of them: of earlier incarnations and terms, from before the launch or the end of
// a task, and of a machine that is gone. Half of the machines are partitioned at that time, so that
// hardly any current heartbeat of them arrives. No task may start twice or in the wrong place because
// of what these heartbeats show or lack, and nothing may be delayed for long.
func TestReplayedHeartbeatsAtNextLeader(t *testing.T) {
	for n, at := range replayOffsets {
		for k := range 4 {
			if !allCasesRequested("AMBERDEAL_OLDREPORTS") && (k != n%4 || n%3 != 1) {
				continue
			}
			beforeLaunches := (n+k)%2 == 0
			by, count, partition, slowRestart := []string{"off", "zone"}[k%2], []int{3, 5}[k/2], []time.Duration{8 * sec, 17 * sec, 40 * sec}[(n+k)%3], (n+k/2)%2 == 0
			t.Run(fmt.Sprint("after ", at, ", parts ", by, ", ", count, ", cut for ", partition, ", the lease runs out: ", slowRestart, ", only what shows too little: ", beforeLaunches), func(t *testing.T) {
				runReplayScenario(t, uint64(100+4*n+k), at, by, count, partition, slowRestart, beforeLaunches)
			})
		}
	}
}

// runReplayScenario simulates a day on which heartbeats are replayed at an offset from an election.
func runReplayScenario(t *testing.T, seed uint64, at time.Duration, by string, count int, partition time.Duration, slowRestart, beforeLaunches bool) {
	d := &replayScenario{seed: seed, replayOffset: at, sharding: by, partitionDuration: partition, slowRestart: slowRestart, beforeLaunches: beforeLaunches, requiredKinds: replayKinds}
	if beforeLaunches {
		d.requiredKinds = []string{"of an earlier term", "from before a launch"}
	}
	script{seed: seed, count: count, settings: func(c *config.Config) { c.Tuning.Shards.By = by }, setUp: d.setUp, steps: []step{
		{22 * sec, "a machine is deaf, until its lease is over", func(*simulation) {
			d.expiredMachine = d.machinesInZoneA()[0].id
			dropInbound(24*sec, d.machinesInZoneA()[0])
		}},
		{34 * sec, "a machine dies", func(w *simulation) { w.cloud.Crash(d.machinesInZoneA()[1].id) }},
		{50 * sec, "the leader ends", func(w *simulation) { w.crash(d.leaderOfA(), 300*time.Millisecond, 0) }},
		{58 * sec, "some more reports are made", func(*simulation) { d.recordHeartbeats() }},
		{60 * sec, "the next leader ends, machines are cut off, old reports come", d.replayAtElection},
	}, verify: func(w *simulation) {
		for _, kind := range d.requiredKinds {
			if d.answeredKinds[kind] == 0 {
				w.t.Errorf("the leader answered no heartbeat %s", kind)
			}
		}
	}, quietTime: 60 * sec}.run(t)
}

// replayScenario is a simulated day on which recorded heartbeats are replayed to the next leader.
type replayScenario struct {
	*heartbeatRecorder
	seed              uint64
	replayOffset      time.Duration // of the replay, from the election; negative for before it
	sharding          string
	partitionDuration time.Duration // how long machines are partitioned
	slowRestart       bool          // the leader restarts only after 12 s
	beforeLaunches    bool          // only heartbeats from before a launch are replayed
	requiredKinds     []string      // kinds of heartbeats that must reach the leader
	expiredMachine    string        // the machine whose lease expires, which ends its incarnation
	elected           chan struct{} // receives a value for each election
}

func (d *replayScenario) setUp(w *simulation) {
	d.heartbeatRecorder = &heartbeatRecorder{simulation: w, answeredKinds: map[string]int{}}
	d.elected = make(chan struct{}, 100)
	w.store.Configure(func(s *simulator.StateService) {
		s.OnCommit = func(puts []string) {
			for _, key := range puts {
				if key == store.FencingTokenKey {
					d.elected <- struct{}{}
				}
			}
		}
	})
	w.startClient(d.seed, jobOf("wk-1", wire.Array, 9, 70*sec, teamRed), 6*sec, 0, 70*sec) // up to its team's quota
	w.startClient(d.seed, jobOf("wk-2", wire.Gang, 3, 80*sec, inOneZone, withCheckpoints), 6*sec, 0, 80*sec)
	w.startClient(d.seed, jobOf("wk-3", wire.Service, 4, 0, spreadOverZones), 6*sec, 4*time.Minute, serviceRunTime)
	w.startClient(d.seed, jobOf("wk-4", wire.Array, 3, 14*sec), 6*sec, 0, 14*sec)
	w.startClient(d.seed, jobOf("wk-5", wire.Array, 4, 60*sec, inOneZone), 25*sec, 0, 60*sec)
	w.group.Go(func() {
		for range 10 {
			time.Sleep(4700 * time.Millisecond)
			d.recordHeartbeats()
		}
	})
}

// leaderOfA returns the leader of the shard that contains zone a.
func (d *replayScenario) leaderOfA() int { return d.leaderOfZone("a") }

// leaderOfZone returns the leader of the shard that contains a zone.
func (d *replayScenario) leaderOfZone(zone string) int {
	return d.leaderOf(map[string]string{"off": "fleet", "zone": zone}[d.sharding])
}

// leaderToCrash returns the leader whose successor receives the recorded heartbeats: that of zone a,
// or that of zone b if all recorded heartbeats are of machines there, because no task was started in
// zone a after the first of them.
func (d *replayScenario) leaderToCrash() int {
	machines := d.machinesInZoneA()
	if slices.ContainsFunc(d.heartbeats, func(r wire.Heartbeat) bool {
		return slices.ContainsFunc(machines, func(m runningMachine) bool { return m.id == r.Machine })
	}) {
		return d.leaderOfA()
	}
	return d.leaderOfZone("b")
}

// replayAtElection partitions half of the machines, stops the leader, and replays the recorded heartbeats
// around the next election.
func (d *replayScenario) replayAtElection(w *simulation) {
	for i, m := range w.runningMachines() {
		if i%2 == 0 || m.id == d.expiredMachine {
			during(d.partitionDuration, func(on bool) { w.net.SetDown(m.host, on) })
		}
	}
	if d.beforeLaunches {
		d.keepIncomplete()
	}
	for len(d.elected) > 0 {
		<-d.elected
	}
	d.previousToken = w.lastFencingToken()
	if i := d.leaderToCrash(); d.slowRestart {
		w.kill(i, 12*sec)
	} else {
		w.crash(i, 300*time.Millisecond, 0)
	}
	for d.replayOffset < 0 && len(d.elected) == 0 {
		d.replayAll(d.seed%2 == 0)
		time.Sleep(100 * time.Millisecond)
	}
	<-d.elected
	time.Sleep(d.replayOffset)
	for k := range 8 { // the first replays may get no answer
		if d.replayAll((d.seed+uint64(k))%2 == 0); k > 0 && len(d.answeredKinds) >= len(d.requiredKinds) {
			break
		}
	}
	for range 20 { // the replays above take no time with few heartbeats, and may all get no answer
		if len(d.answeredKinds) >= len(d.requiredKinds) {
			break
		}
		time.Sleep(50 * time.Millisecond)
		d.replayAll(d.seed%2 == 0)
	}
	time.Sleep(d.partitionDuration + 40*sec)
	if n := w.checker.RunningTasks("wk-3"); n != 4 {
		w.t.Errorf("%d of 4 replicas run", n)
	}
}
