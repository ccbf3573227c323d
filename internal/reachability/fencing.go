package reachability

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
)

const (
	// MinFencingInterval is the time between two fencing calls to a machine. It doubles with
	// each that fails, up to MaxFencingInterval, so that machines which are gone don't take the
	// calls that others need.
	MinFencingInterval = time.Second
	// MaxFencingInterval bounds the time between two fencing calls to a machine.
	MaxFencingInterval = 8 * time.Second
	// scanInterval is the time between two scans of the fleet for machines that peers may call.
	// Peers ask several times a second, and a scan of thousands of machines is not free.
	scanInterval = 250 * time.Millisecond
	// callsPerSuspectedZone is how many machines of a suspected zone each peer calls: two, so that one
	// machine that is gone decides nothing.
	callsPerSuspectedZone = 2
	// probeInterval is the time between two probes, which is shorter than answeredMaxAge.
	probeInterval = 2 * time.Second
	// maxProbes is how many machines are probed at once: enough that one loss decides nothing.
	maxProbes = 3
)

// FencingCall is a call to a machine that carries no commands: it brings the leader's fencing token
// and fetches a heartbeat. Any controller can make it for the leader. Controllers send it to each
// other: the names of its fields are part of the protocol.
type FencingCall struct {
	Machine, Addr string
	Zone          string
	Term, Session uint64
}

// Fencing schedules the fencing calls to machines.
type Fencing struct {
	monitor   *Monitor
	openCalls int              // calls from here without a result
	pending   []*fleet.Machine // that peers may call
	scannedAt time.Time        // when they were picked
}

// NewFencing returns a schedule of calls to the machines of a monitor.
func NewFencing(m *Monitor) *Fencing { return &Fencing{monitor: m} }

// Open is how many calls from here have no result yet.
func (f *Fencing) Open() int { return f.openCalls }

// Started records calls that are made from here.
func (f *Fencing) Started(n int) { f.openCalls += n }

// Finished records that a call from here has its result.
func (f *Fencing) Finished() { f.openCalls-- }

// Due reports whether a machine is to be called: it has not been seen at the leader's token, its
// heartbeat is overdue, or it seems not to take what it is told.
func (f *Fencing) Due(now time.Time, machine *fleet.Machine) bool {
	last := f.monitor.Calls.Last(machine.ID)
	if machine.Addr == "" || !shouldSendHeartbeats(machine) || last.InFlight(now) {
		return false
	}
	if machine.SeenAtToken && f.monitor.HeartbeatAge(now, machine) < f.monitor.timeouts.Suspect && f.monitor.fleet.ReceivesCommands(now, machine) {
		return false
	}
	return now.Sub(last.StartedAt) >= min(MaxFencingInterval, MinFencingInterval<<min(last.Failures, 4))
}

// SortByLoad puts the machines with the fewest tasks first, where work can be placed soonest.
func SortByLoad(machines []*fleet.Machine) {
	slices.SortStableFunc(machines, func(a, b *fleet.Machine) int {
		return cmp.Compare(len(a.Placements()), len(b.Placements()))
	})
}

// Probes picks machines that are certainly connected, to find out whether calls from here are
// answered while other machines are missing. Heartbeats also come by way of peers: where the
// network from here to the machines is cut, or a peer that received a quarter of the heartbeats
// has failed, machines look lost which are not.
func (f *Fencing) Probes(now time.Time, someMissing bool) []*fleet.Machine {
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

func (f *Fencing) mayProbe(now time.Time, machine *fleet.Machine) bool {
	if !machine.SeenAtToken || machine.Addr == "" || machine.Releasing {
		return false
	}
	last := f.monitor.Calls.Last(machine.ID)
	return !last.InFlight(now) && now.Sub(last.StartedAt) >= probeInterval && f.monitor.HeartbeatAge(now, machine) < probeInterval
}

// Rebuild returns calls that a peer can make while the leader rebuilds the state of its fleet, at
// most limit of them: a failover with thousands of machines takes as long as the calls do. Zones
// for which skip is true are left out.
func (f *Fencing) Rebuild(now time.Time, limit int, skip func(zone string) bool) []FencingCall {
	if now.Sub(f.scannedAt) > scanInterval {
		f.scannedAt, f.pending = now, nil
		for _, machine := range f.monitor.fleet.Machines() {
			// The leader itself calls a machine that a peer could not reach: the link between
			// those two says nothing of the machine.
			if !machine.SeenAtToken && !f.monitor.Calls.Last(machine.ID).peerFailed && !skip(machine.Zone) && f.Due(now, machine) {
				f.pending = append(f.pending, machine)
			}
		}
		SortByLoad(f.pending)
	}
	return f.startPendingCalls(now, limit, func(machine *fleet.Machine) bool { return !machine.SeenAtToken && f.Due(now, machine) })
}

// Suspected returns calls that a peer can make to machines of suspected zones, for what their
// results tell of the zones.
func (f *Fencing) Suspected(now time.Time, limit int, zones []string) []FencingCall {
	f.pending = f.pickInSuspectedZones(now, zones)
	return f.startPendingCalls(now, limit, func(*fleet.Machine) bool { return true })
}

// pickInSuspectedZones picks missing machines of suspected zones, and one of another zone that is
// connected: that a peer can't reach a zone counts only if it can reach others.
func (f *Fencing) pickInSuspectedZones(now time.Time, zones []string) (out []*fleet.Machine) {
	if now.Sub(f.scannedAt) < scanInterval || len(zones) == 0 {
		return nil
	}
	f.scannedAt = now
	left := make(map[string]int, len(zones))
	for _, zone := range zones {
		left[zone] = callsPerSuspectedZone
	}
	var connected *fleet.Machine
	for _, machine := range f.monitor.fleet.Machines() {
		last := f.monitor.Calls.Last(machine.ID)
		if machine.Addr == "" || machine.Releasing || last.InFlight(now) || now.Sub(last.StartedAt) < MinFencingInterval {
			continue
		}
		if _, suspected := left[machine.Zone]; !suspected && connected == nil && f.monitor.Fresh(now, machine) {
			connected = machine
		} else if left[machine.Zone] > 0 && f.monitor.Suspected(now, machine) {
			left[machine.Zone]--
			out = append(out, machine)
		}
	}
	if connected != nil && len(out) > 0 {
		out = append(out, connected)
	}
	return out
}

// take starts pending calls, as far as they are still wanted.
func (f *Fencing) startPendingCalls(now time.Time, limit int, wanted func(*fleet.Machine) bool) []FencingCall {
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

// PeerFinished records the result of a call that a peer made. It reports false if the machine is
// gone since.
func (f *Fencing) PeerFinished(machineID string, answered bool) bool {
	return f.monitor.Calls.finishPeer(machineID, answered)
}
