package reachability

import (
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
)

const (
	// partitionShare is the denominator of the fraction of machines that may be missing before the leader
	// is assumed to be partitioned. Machines rarely fail together, but network failures often affect many
	// of them at once.
	partitionShare = 3
	// MinMachinesToJudge is how many machines a zone or shard must have before it is judged as a whole:
	// fewer may fail by coincidence.
	MinMachinesToJudge = 4
)

// Detector decides whether missing heartbeats mean failed machines or a failed network. A leader that
// misses heartbeats from more than a third of its machines outside the worst zone is assumed to be
// partitioned itself and must not evict anything.
type Detector struct {
	monitor         *Monitor
	evicted         []eviction // machines that were recently evicted as unreachable
	peers           map[string]ZoneHealth
	zoneUnreachable func(zone string) bool // according to the stored states of the zones
}

// eviction is a machine that was evicted because its heartbeats were missing.
type eviction struct {
	at   time.Time
	zone string
}

// NewDetector returns a detector. zoneUnreachable reports whether a zone is known to be unreachable.
func NewDetector(m *Monitor, zoneUnreachable func(zone string) bool) *Detector {
	return &Detector{monitor: m, zoneUnreachable: zoneUnreachable}
}

// SetPeers records the health of zones as seen by the leaders of other shards. The leader of a single
// zone cannot distinguish a failed zone from its own partition, but all leaders together can.
func (d *Detector) SetPeers(zones map[string]ZoneHealth) { d.peers = zones }

// RecordEviction records that a machine was evicted because its heartbeats were missing.
func (d *Detector) RecordEviction(now time.Time, zone string) {
	d.evicted = slices.DeleteFunc(d.evicted, func(e eviction) bool { return !d.mayHoldLease(now, e) })
	d.evicted = append(d.evicted, eviction{now, zone})
}

// mayHoldLease reports whether an evicted machine may still hold its lease and run its tasks.
func (d *Detector) mayHoldLease(now time.Time, e eviction) bool {
	return now.Sub(e.at) <= d.monitor.timeouts.Lease
}

// RecentEvictions counts by zone the machines that were evicted for missing heartbeats and may still
// hold their leases.
func (d *Detector) RecentEvictions(now time.Time) map[string]int {
	out := make(map[string]int)
	for _, e := range d.evicted {
		if d.mayHoldLease(now, e) {
			out[e.zone]++
		}
	}
	return out
}

// Partitioned reports whether the leader itself, rather than its machines, is likely to be cut off.
func (d *Detector) Partitioned(now time.Time) bool {
	expected, missing := d.healthSummary(now)
	return missing*partitionShare > expected
}

// PartitionedAlone is like Partitioned, but ignores what peers report about other shards.
func (d *Detector) PartitionedAlone(now time.Time) bool {
	alone := *d
	alone.peers = nil
	return alone.Partitioned(now)
}

// UnreachableMachines counts the machines that are unreachable because of the network rather than their
// own failure. It is 0 unless the leader seems to be partitioned.
func (d *Detector) UnreachableMachines(now time.Time) int {
	if !d.PartitionedAlone(now) {
		return 0
	}
	n := 0
	for _, machine := range d.monitor.fleet.Machines() {
		if (machine.Up || machine.Recorded) && d.monitor.Unreachable(now, machine) {
			n++
		}
	}
	return n
}

// healthSummary counts the machines in all zones except the worst one and those known to be
// unreachable. One zone that is entirely cut off says nothing about the leader's own links, and its
// tasks are lost anyway. The last remaining zone is always included.
func (d *Detector) healthSummary(now time.Time) (expected, missing int) {
	zones := d.zoneTotals(now)
	names := slices.Sorted(maps.Keys(zones))
	worst := worstZone(zones, names)
	for _, name := range names {
		if (name == worst || d.zoneUnreachable(name)) && len(zones) > 1 {
			delete(zones, name)
			continue
		}
		expected += zones[name].Up
		missing += zones[name].Quiet
	}
	return expected, missing
}

// zoneTotals adds up the machines of this leader, those of its peers and those that were recently
// evicted. Evicted machines count as missing until their leases expire: when many disappear, a network
// failure is more likely than the failure of each of them, and their tasks continue to run meanwhile.
func (d *Detector) zoneTotals(now time.Time) map[string]ZoneHealth {
	totals := make(map[string]ZoneHealth)
	add := func(zone string, up, quiet int) {
		t := totals[zone]
		totals[zone] = ZoneHealth{t.Up + up, t.Quiet + quiet}
	}
	for zone, n := range d.RecentEvictions(now) {
		add(zone, n, n)
	}
	for zone, h := range d.monitor.ZoneHealth(now) {
		add(zone, h.Up, h.Quiet)
	}
	for zone, h := range d.peers {
		add(zone, h.Up, h.Quiet)
	}
	return totals
}

// worstZone returns the zone with the most missing machines. Ties are broken by the order of names.
func worstZone(zones map[string]ZoneHealth, names []string) string {
	worst := ""
	for _, name := range names {
		if worst == "" || zones[name].Quiet > zones[worst].Quiet {
			worst = name
		}
	}
	return worst
}

// ShardAloneUnreachable reports whether hardly any heartbeats of this shard's machines arrive while most
// of those of other shards do: the zones of this shard are cut off, not this controller.
func (d *Detector) ShardAloneUnreachable(now time.Time) bool {
	own, others := sumHealth(d.monitor.ZoneHealth(now)), sumHealth(d.peers)
	ownMissing := own.Up >= MinMachinesToJudge && own.Quiet*10 >= own.Up*9
	othersHealthy := others.Up >= MinMachinesToJudge && others.Quiet*partitionShare <= others.Up
	return ownMissing && othersHealthy
}

// sumHealth adds up the health of all zones.
func sumHealth(zones map[string]ZoneHealth) (t ZoneHealth) {
	for _, h := range zones {
		t.Up += h.Up
		t.Quiet += h.Quiet
	}
	return t
}

// OneWayMachines returns the machines that send heartbeats but receive no commands, and on which an earlier
// leader may have launched tasks. Although the leases that the earlier leader granted have expired,
// these tasks are not proven gone as long as heartbeats are answered. If more than a third of the
// machines outside the worst zone are affected, the cause is a network failure that will be repaired,
// and none is returned.
func (d *Detector) OneWayMachines(now time.Time) map[*fleet.Machine]bool {
	if now.Sub(d.monitor.fleet.ElectedAt) < d.monitor.timeouts.Unreachable+d.monitor.timeouts.Lease {
		return nil
	}
	machines, byZone, worst := make(map[*fleet.Machine]bool), make(map[string]int), ""
	for _, machine := range d.monitor.fleet.UnprovenMachines() {
		if !d.isOneWay(now, machine) {
			continue
		}
		machines[machine] = true
		if byZone[machine.Zone]++; worst == "" || byZone[machine.Zone] > byZone[worst] {
			worst = machine.Zone
		}
	}
	if len(machines) == 0 || d.isOneWayNetworkFault(byZone, worst) {
		return nil
	}
	return machines
}

// isOneWayNetworkFault reports whether so many machines outside the worst zone are one-way that the network
// must have failed. byZone counts the one-way machines.
func (d *Detector) isOneWayNetworkFault(byZone map[string]int, worst string) bool {
	up := make(map[string]int)
	for _, machine := range d.monitor.fleet.Machines() {
		if machine.Up {
			up[machine.Zone]++
		}
	}
	expected, oneWay := 0, 0
	for zone, n := range up {
		if zone != worst || len(up) == 1 {
			expected, oneWay = expected+n, oneWay+byZone[zone]
		}
	}
	return oneWay*partitionShare > expected
}

// isOneWay reports whether a machine sends heartbeats, but receives no commands and answers no calls.
func (d *Detector) isOneWay(now time.Time, machine *fleet.Machine) bool {
	return !d.monitor.fleet.ReceivesCommands(now, machine) && d.monitor.Calls.Last(machine.ID).Failures >= minConsecutiveFailures &&
		d.monitor.HeartbeatAge(now, machine) < d.monitor.timeouts.Unreachable
}
