package reachability

import (
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

var testTimeouts = Timeouts{Fresh: 3 * time.Second, Suspect: 4 * time.Second, Unreachable: 8 * time.Second, Lease: 20 * time.Second, RebuildWait: 4 * time.Second}

const testToken = 3

// monitorFixture is a fleet under a new leader, whose machines send heartbeats as the test requests.
type monitorFixture struct {
	t       *testing.T
	now     time.Time
	fleet   *fleet.Fleet
	monitor *Monitor
	seq     uint64
}

func newMonitorFixture(t *testing.T) *monitorFixture {
	at := time.Unix(1e9, 0)
	f := fleet.New(testToken, at, testTimeouts.Lease, 0, time.Minute)
	return &monitorFixture{t: t, now: at, fleet: f, monitor: NewMonitor(f, testTimeouts)}
}

func machineID(zone string, i int) string { return fmt.Sprintf("%s-%02d", zone, i) }

// heartbeat applies one heartbeat of each machine of a zone from index from up to, but not including, to.
func (s *monitorFixture) heartbeat(zone string, from, to int) {
	for i := from; i < to; i++ {
		s.seq++
		s.fleet.ApplyHeartbeat(s.now, &wire.Heartbeat{Machine: machineID(zone, i), Addr: "10.0.0.1:9000", Type: "g4", Zone: zone, Incarnation: 1, Seq: s.seq, FencingToken: testToken}, true)
	}
}

func (s *monitorFixture) wait(d time.Duration) { s.now = s.now.Add(d) }

// detector returns a detector for which the given zones are known to be unreachable.
func (s *monitorFixture) detector(unreachable ...string) *Detector {
	return NewDetector(s.monitor, func(zone string) bool {
		for _, u := range unreachable {
			if u == zone {
				return true
			}
		}
		return false
	})
}

// TestPartitioned checks that the worst zone and the zones known to be unreachable are ignored, and that
// the machines of peers and recently evicted machines count.
func TestPartitioned(t *testing.T) {
	for _, c := range []struct {
		name        string
		missing     map[string]int // machines that miss heartbeats, of twelve in each of the zones a, b and c
		evicted     int            // number of evicted machines of zone c
		peers       map[string]ZoneHealth
		unreachable []string
		want        bool
		alone       bool
	}{
		{name: "all are connected"},
		{name: "one zone is missing", missing: map[string]int{"a": 12}},
		{name: "two zones are", missing: map[string]int{"a": 12, "b": 12}, want: true, alone: true},
		{name: "two, one of which is known to be unreachable", missing: map[string]int{"a": 12, "b": 12}, unreachable: []string{"b"}},
		{name: "a third of the rest", missing: map[string]int{"a": 12, "b": 8}},
		{name: "and one more", missing: map[string]int{"a": 12, "b": 9}, want: true, alone: true},
		{name: "one more was evicted", missing: map[string]int{"a": 12, "b": 8}, evicted: 1, want: true, alone: true},
		{name: "peers receive theirs", missing: map[string]int{"a": 12, "b": 12}, peers: map[string]ZoneHealth{"d": {Up: 24}}, alone: true},
		{name: "peers don't either", missing: map[string]int{"a": 12}, peers: map[string]ZoneHealth{"b": {Up: 12, Quiet: 11}, "c": {Up: 12, Quiet: 11}}, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newMonitorFixture(t)
			for _, zone := range []string{"a", "b", "c"} {
				s.heartbeat(zone, 0, 12)
			}
			s.wait(testTimeouts.Unreachable + time.Second)
			for _, zone := range []string{"a", "b", "c"} {
				s.heartbeat(zone, c.missing[zone], 12)
			}
			d := s.detector(c.unreachable...)
			for range c.evicted {
				d.RecordEviction(s.now, "c")
			}
			d.SetPeers(c.peers)
			if got := d.Partitioned(s.now); got != c.want {
				t.Errorf("with peers: %v", got)
			}
			if got := d.PartitionedAlone(s.now); got != c.alone {
				t.Errorf("alone: %v", got)
			}
			want := 0
			if c.alone {
				want = c.missing["a"] + c.missing["b"]
			}
			if got := d.UnreachableMachines(s.now); got != want {
				t.Errorf("%d machines are unreachable because of the network, want %d", got, want)
			}
		})
	}
}

// TestEvictionsExpire checks that an evicted machine counts until its lease has expired.
func TestEvictionsExpire(t *testing.T) {
	s := newMonitorFixture(t)
	d := s.detector()
	d.RecordEviction(s.now, "a")
	s.wait(testTimeouts.Lease)
	d.RecordEviction(s.now, "a")
	if n := d.RecentEvictions(s.now)["a"]; n != 2 {
		t.Errorf("%d evictions count at the end of the lease, want 2", n)
	}
	s.wait(time.Nanosecond)
	if n := d.RecentEvictions(s.now)["a"]; n != 1 {
		t.Errorf("%d evictions count after the lease, want 1", n)
	}
}

// TestUnreachable checks that a machine is unreachable after a timeout without heartbeats, but not just
// after the leader paused. A machine that never sent a heartbeat is unreachable only once calls to it
// have failed or all leases have expired.
func TestUnreachable(t *testing.T) {
	s := newMonitorFixture(t)
	s.heartbeat("a", 0, 1)
	s.fleet.RestoreMachine(s.now, "b-00", "10.0.0.2:9000", "g4", "b", false, 1, nil)
	seen, neverSeen := s.fleet.Machine("a-00"), s.fleet.Machine("b-00")
	s.wait(testTimeouts.Unreachable)
	if s.monitor.Unreachable(s.now, seen) || s.monitor.Unreachable(s.now, neverSeen) {
		t.Error("unreachable at the timeout")
	}
	s.wait(time.Millisecond)
	if !s.monitor.Unreachable(s.now, seen) || s.monitor.Unreachable(s.now, neverSeen) {
		t.Error("wrong result after the timeout")
	}
	for range minConsecutiveFailures {
		s.monitor.Calls.Start(s.now, neverSeen.ID, "")
		s.monitor.CallFinished(s.now, neverSeen.ID, false)
	}
	if !s.monitor.Unreachable(s.now, neverSeen) {
		t.Error("reachable after failed calls")
	}
	s.monitor.RecordPause(s.now)
	if s.monitor.Unreachable(s.now, seen) || s.monitor.Unreachable(s.now, neverSeen) {
		t.Error("unreachable just after a pause")
	}
	s.wait(pauseGrace)
	if !s.monitor.Unreachable(s.now, seen) {
		t.Error("still reachable after the grace period of the pause")
	}
	s.monitor.Calls.Forget(neverSeen.ID)
	s.wait(testTimeouts.Lease)
	if !s.monitor.Unreachable(s.now, neverSeen) {
		t.Error("still reachable after every lease has expired")
	}
}

// TestPresumedLost checks that a failed call shows that a machine is lost only if a call to another
// machine has been answered since.
func TestPresumedLost(t *testing.T) {
	s := newMonitorFixture(t)
	s.heartbeat("a", 0, 2)
	s.wait(testTimeouts.Unreachable + time.Second)
	lost := s.fleet.Machine("a-00")
	s.monitor.Calls.Start(s.now, "a-01", "")
	s.monitor.CallFinished(s.now, "a-01", true)
	s.wait(time.Second)
	s.monitor.Calls.Start(s.now, lost.ID, "")
	s.monitor.CallFinished(s.now, lost.ID, false)
	if s.monitor.PresumedLost(s.now, lost) {
		t.Error("presumed lost because of an answer from before the failed call")
	}
	s.wait(time.Second)
	s.monitor.CallFinished(s.now, "a-01", true)
	if !s.monitor.PresumedLost(s.now, lost) {
		t.Error("not presumed lost")
	}
	s.wait(answeredMaxAge)
	if s.monitor.PresumedLost(s.now, lost) {
		t.Error("presumed lost because of an outdated answer")
	}
	s.wait(testTimeouts.Lease)
	if !s.monitor.PresumedLost(s.now, lost) {
		t.Error("not presumed lost although its tasks have stopped by now")
	}
}

// TestFencingBackoff checks that failed calls are repeated with delays that double up to MaxFencingInterval.
func TestFencingBackoff(t *testing.T) {
	s := newMonitorFixture(t)
	f := NewFencingScheduler(s.monitor)
	s.fleet.RestoreMachine(s.now, "a-00", "10.0.0.2:9000", "g4", "a", false, 1, nil)
	machine := s.fleet.Machine("a-00")
	var delays []time.Duration
	for range 6 {
		start := s.now
		for !f.Due(s.now, machine) {
			s.wait(time.Second)
		}
		delays = append(delays, s.now.Sub(start))
		s.monitor.Calls.Start(s.now, machine.ID, "")
		if f.Due(s.now.Add(callTimeout-1), machine) {
			t.Error("called while a call is open")
		}
		s.monitor.CallFinished(s.now, machine.ID, false)
	}
	if got := fmt.Sprint(delays); got != "[0s 2s 4s 8s 8s 8s]" {
		t.Error(got)
	}
}

// TestRebuildCalls checks that peers are given the machines that were not seen at the leader's token,
// those with the fewest tasks first, but no machine that a peer failed to reach.
func TestRebuildCalls(t *testing.T) {
	s := newMonitorFixture(t)
	f := NewFencingScheduler(s.monitor)
	s.fleet.RestoreMachine(s.now, "a-00", "10.0.0.1:9000", "g4", "a", false, 1, map[string]uint64{"wk-1/0": 1 << 24})
	for i := 1; i < 4; i++ {
		s.fleet.RestoreMachine(s.now, machineID("a", i), "10.0.0.1:9000", "g4", "a", false, 1, nil)
	}
	s.fleet.RestoreMachine(s.now, "b-00", "10.0.0.1:9000", "g4", "b", false, 1, nil)
	s.heartbeat("a", 1, 2)
	skip := func(zone string) bool { return zone == "b" }
	names := func(calls []FencingCall) (out []string) {
		for _, c := range calls {
			out = append(out, c.Machine)
		}
		return out
	}
	if got := fmt.Sprint(names(f.RebuildCalls(s.now, 2, skip))); got != "[a-02 a-03]" {
		t.Error(got)
	}
	if got := fmt.Sprint(names(f.RebuildCalls(s.now, 2, skip))); got != "[a-00]" {
		t.Error(got)
	}
	f.PeerFinished("a-02", false)
	f.PeerFinished("a-03", true)
	s.wait(MinFencingInterval)
	if got := fmt.Sprint(names(f.RebuildCalls(s.now, 9, skip))); got != "[a-03]" {
		t.Error(got)
	}
}

// TestSuspectedZoneCalls checks that two missing machines of a suspected zone and a connected machine of
// another zone are called.
func TestSuspectedZoneCalls(t *testing.T) {
	s := newMonitorFixture(t)
	f := NewFencingScheduler(s.monitor)
	s.heartbeat("a", 0, 5)
	s.heartbeat("b", 0, 5)
	s.wait(testTimeouts.Suspect + time.Second)
	s.heartbeat("b", 0, 5)
	if got := f.SuspectedZoneCalls(s.now, 9, nil); got != nil {
		t.Error(got)
	}
	got := f.SuspectedZoneCalls(s.now, 9, []string{"a"})
	if len(got) != 3 || got[0].Machine != "a-00" || got[1].Machine != "a-01" || got[2].Machine != "b-00" {
		t.Error(got)
	}
	if got := f.SuspectedZoneCalls(s.now, 9, []string{"a"}); got != nil {
		t.Error("called again immediately:", got)
	}
}

// TestCallsFailing checks that calls count as failing if at least three of four recent calls failed, of
// at least sixteen.
func TestCallsFailing(t *testing.T) {
	s := newMonitorFixture(t)
	s.heartbeat("a", 0, 1)
	recordCalls := func(n int, answered bool) {
		for range n {
			s.monitor.RecordCallResult(s.now, "a-00", answered)
		}
	}
	recordCalls(minCallResults-1, false)
	if s.monitor.Calls.Failing(s.now) {
		t.Error("failing after too few calls")
	}
	recordCalls(1, false)
	if !s.monitor.Calls.Failing(s.now) {
		t.Error("not failing after sixteen failed calls")
	}
	recordCalls(6, true)
	if s.monitor.Calls.Failing(s.now) {
		t.Error("failing although six of 22 calls were answered")
	}
	s.wait(callResultMaxAge)
	s.heartbeat("a", 0, 1)
	recordCalls(1, false)
	if s.monitor.Calls.Failing(s.now) {
		t.Error("failing because of outdated results")
	}
	s.wait(testTimeouts.Unreachable)
	recordCalls(minCallResults, false)
	if s.monitor.Calls.Failing(s.now) {
		t.Error("failing because of calls to a machine that sends no heartbeats")
	}
}

// TestProbes checks that connected machines are probed while others are missing and no call has been
// answered recently.
func TestProbes(t *testing.T) {
	s := newMonitorFixture(t)
	f := NewFencingScheduler(s.monitor)
	s.heartbeat("a", 0, 5)
	if got := f.Probes(s.now, false); got != nil {
		t.Error(got)
	}
	if got := f.Probes(s.now, true); len(got) != maxProbes || got[0].ID != "a-00" {
		t.Error(got)
	}
	s.monitor.CallFinished(s.now, "a-04", true)
	if got := f.Probes(s.now, true); got != nil {
		t.Error("probed although calls are answered:", got)
	}
}

// TestOneWay checks that no machine is returned before all leases of an earlier leader have expired, or
// if the machines receive commands.
func TestOneWay(t *testing.T) {
	s := newMonitorFixture(t)
	if got := s.detector().OneWayMachines(s.now); got != nil {
		t.Error(got)
	}
	s.wait(testTimeouts.Unreachable + testTimeouts.Lease)
	s.heartbeat("a", 0, 3)
	if got := s.detector().OneWayMachines(s.now); got != nil {
		t.Error("returned machines that receive commands:", got)
	}
}
