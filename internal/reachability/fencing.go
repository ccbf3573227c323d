package reachability

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
)

const (
	// MinFencingInterval is the minimum time between two fencing calls to a machine. The interval doubles
	// with each failed call, up to MaxFencingInterval, so that machines that are gone do not use up the
	// calls that others need.
	MinFencingInterval = time.Second
	// MaxFencingInterval limits the interval to which failed fencing calls to a machine back off.
	MaxFencingInterval = 8 * time.Second
	// scanInterval is the minimum time between two scans of the fleet for machines that peers may call.
	// Peers ask several times a second, and scanning thousands of machines is expensive.
	scanInterval = 250 * time.Millisecond
	// callsPerSuspectedZone is how many machines of a suspected zone each peer calls: two, so that one
	// failed machine alone does not decide the result.
	callsPerSuspectedZone = 2
	// probeInterval is the minimum time between two probes, which is shorter than answeredMaxAge.
	probeInterval = 2 * time.Second
	// maxProbes is how many machines are probed at once, so that one lost call does not decide the result.
	maxProbes = 3
)

// FencingCall is a call to a machine that carries no commands: it delivers the leader's fencing token
// and fetches a heartbeat. Any controller can make it on behalf of the leader. Controllers send
// FencingCalls to each other, so the names of the fields are part of the protocol.
type FencingCall struct {
	Machine, Addr string
	Zone          string
	Term, Session uint64 // the leader's fencing token and the incarnation of the machine's worker
}

// FencingScheduler schedules the fencing calls to machines.
type FencingScheduler struct {
	monitor   *Monitor
	openCalls int              // calls from this controller without a result
	pending   []*fleet.Machine // machines that peers may call
	scannedAt time.Time        // when these were selected
}

// NewFencingScheduler returns a scheduler of fencing calls to the machines of a monitor.
func NewFencingScheduler(m *Monitor) *FencingScheduler { return &FencingScheduler{monitor: m} }

// OpenCalls returns how many calls from this controller have no result yet.
func (f *FencingScheduler) OpenCalls() int { return f.openCalls }

// Started records that n calls from this controller have started.
func (f *FencingScheduler) Started(n int) { f.openCalls += n }

// Finished records that a call from this controller has a result.
func (f *FencingScheduler) Finished() { f.openCalls-- }

// Due reports whether a machine should be called now: it has not been seen at the leader's token, its
// heartbeat is overdue, or it seems to receive no commands.
func (f *FencingScheduler) Due(now time.Time, machine *fleet.Machine) bool {
	last := f.monitor.Calls.Last(machine.ID)
	if machine.Addr == "" || !shouldSendHeartbeats(machine) || last.InFlight(now) {
		return false
	}
	if machine.SeenAtToken && f.monitor.HeartbeatAge(now, machine) < f.monitor.timeouts.Suspect && f.monitor.fleet.ReceivesCommands(now, machine) {
		return false
	}
	return now.Sub(last.StartedAt) >= min(MaxFencingInterval, MinFencingInterval<<min(last.Failures, 4))
}

// SortByLoad sorts machines by their number of placements, fewest first, since tasks can be placed there
// soonest.
func SortByLoad(machines []*fleet.Machine) {
	slices.SortStableFunc(machines, func(a, b *fleet.Machine) int {
		return cmp.Compare(len(a.Placements()), len(b.Placements()))
	})
}

// Probes selects machines that are certainly connected, to find out whether calls from this controller
// are answered while other machines are missing. Heartbeats also arrive by way of peers: if the
// network from this controller to the machines is cut, or if a peer that received a quarter of the
// heartbeats has failed, healthy machines look lost.
func (f *FencingScheduler) Probes(now time.Time, someMissing bool) []*fleet.Machine {
	if !someMissing || now.Sub(f.monitor.Calls.lastAnswered) < probeInterval {
		return nil
	}
	var out []*fleet.Machine
	for _, machine := range f.monitor.fleet.Machines() {
		if !f.mayProbe(now, machine) {
			continue
		}
		if out = append(out, machine); len(out) == maxProbes {
			break
		}
	}
	return out
}

func (f *FencingScheduler) mayProbe(now time.Time, machine *fleet.Machine) bool {
	if !machine.SeenAtToken || machine.Addr == "" || machine.Releasing {
		return false
	}
	last := f.monitor.Calls.Last(machine.ID)
	return !last.InFlight(now) && now.Sub(last.StartedAt) >= probeInterval && f.monitor.HeartbeatAge(now, machine) < probeInterval
}

// RebuildCalls returns at most limit calls that a peer can make while the leader rebuilds the state of its
// fleet: a failover with thousands of machines takes as long as the calls to them. Zones for which skip
// returns true are left out.
func (f *FencingScheduler) RebuildCalls(now time.Time, limit int, skip func(zone string) bool) []FencingCall {
	if now.Sub(f.scannedAt) > scanInterval {
		f.scannedAt, f.pending = now, nil
		for _, machine := range f.monitor.fleet.Machines() {
			// The leader itself calls a machine that a peer could not reach: the cause may be the
			// link between the two rather than the machine.
			if !machine.SeenAtToken && !f.monitor.Calls.Last(machine.ID).peerFailed && !skip(machine.Zone) && f.Due(now, machine) {
				f.pending = append(f.pending, machine)
			}
		}
		SortByLoad(f.pending)
	}
	return f.startPendingCalls(now, limit, func(machine *fleet.Machine) bool { return !machine.SeenAtToken && f.Due(now, machine) })
}

// SuspectedZoneCalls returns calls that a peer can make to machines of suspected zones. Their results show
// whether the zones are reachable.
func (f *FencingScheduler) SuspectedZoneCalls(now time.Time, limit int, zones []string) []FencingCall {
	f.pending = f.pickInSuspectedZones(now, zones)
	return f.startPendingCalls(now, limit, func(*fleet.Machine) bool { return true })
}

// pickInSuspectedZones selects missing machines of suspected zones and one connected machine of another
// zone: a peer's failure to reach a zone counts only if it can reach others.
func (f *FencingScheduler) pickInSuspectedZones(now time.Time, zones []string) (out []*fleet.Machine) {
	if now.Sub(f.scannedAt) < scanInterval || len(zones) == 0 {
		return nil
	}
	f.scannedAt = now
	remainingCalls := make(map[string]int, len(zones))
	for _, zone := range zones {
		remainingCalls[zone] = callsPerSuspectedZone
	}
	var connected *fleet.Machine
	for _, machine := range f.monitor.fleet.Machines() {
		last := f.monitor.Calls.Last(machine.ID)
		if machine.Addr == "" || machine.Releasing || last.InFlight(now) || now.Sub(last.StartedAt) < MinFencingInterval {
			continue
		}
		if _, suspected := remainingCalls[machine.Zone]; !suspected && connected == nil && f.monitor.Fresh(now, machine) {
			connected = machine
		} else if remainingCalls[machine.Zone] > 0 && f.monitor.Suspected(now, machine) {
			remainingCalls[machine.Zone]--
			out = append(out, machine)
		}
	}
	if connected != nil && len(out) > 0 {
		out = append(out, connected)
	}
	return out
}

// startPendingCalls starts up to limit calls to pending machines that are still wanted.
func (f *FencingScheduler) startPendingCalls(now time.Time, limit int, wanted func(*fleet.Machine) bool) []FencingCall {
	var out []FencingCall
	for len(f.pending) > 0 && len(out) < limit {
		machine := f.pending[0]
		f.pending = f.pending[1:]
		if !wanted(machine) {
			continue
		}
		f.monitor.Calls.Start(now, machine.ID, f.monitor.Calls.Last(machine.ID).Digest)
		out = append(out, FencingCall{machine.ID, machine.Addr, machine.Zone, f.monitor.fleet.FencingToken, cmp.Or(machine.Incarnation, machine.RecordedIncarnation)})
	}
	return out
}

// PeerFinished records the result of a call that a peer made. It returns false if the machine is gone
// since.
func (f *FencingScheduler) PeerFinished(machineID string, answered bool) bool {
	return f.monitor.Calls.finishPeer(machineID, answered)
}
