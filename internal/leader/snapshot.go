package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// clusterSnapshot builds what sched decides on.
func (h *Leader) clusterSnapshot(now time.Time) *scheduler.Snapshot {
	snapshot := &scheduler.Snapshot{Types: h.shardMachineTypes(), Teams: map[string]*scheduler.Team{}, Unavailable: map[scheduler.Offer]bool{}, Doubtful: map[scheduler.Offer]bool{}, RequestLimit: map[scheduler.Offer]int{},
		IdleTimeout: h.cfg.Tuning.Idle, MaxGangWait: h.cfg.Tuning.BeginWithin}
	var used map[string]scheduler.Resources
	if !h.sharding.IsSingle() {
		used = h.teamUsage()
	}
	for _, t := range h.allTeams() {
		team := &scheduler.Team{GuaranteedCPUs: t.CPUs, GuaranteedGPUs: t.GPUs, LimitCPUs: t.CPUsMax, LimitGPUs: t.GPUsMax}
		if !h.sharding.IsSingle() {
			h.quota.Apply(now, t.Name, team, used[t.Name])
		}
		snapshot.Teams[t.Name] = team
	}
	if snapshot.Sharded = !h.sharding.IsSingle(); snapshot.Sharded {
		snapshot.RemoteCapacity = h.freeElsewhere(now)
	}
	for _, o := range h.cfg.Objectives {
		snapshot.Objectives = append(snapshot.Objectives, scheduler.Objective{Kind: o.Kind, Class: o.Class, Within: wire.Seconds(o.WithinS)})
	}
	h.scaleOutRequests.Annotate(now, snapshot)
	h.refuseClosedZones(now, snapshot)
	unproven := h.fleet.UnprovenMachines()
	if len(unproven) == 0 && !h.rebuilt {
		h.rebuilt = true
		h.log.Info("rebuilt", "after", now.Sub(h.fleet.ElectedAt), "machines", len(h.fleet.Machines()))
	}
	rebuilding := len(unproven) > 0 && now.Sub(h.fleet.ElectedAt) < maxRebuildWait
	h.noteResumed(now, unproven)
	h.reviewPreemptions(now, rebuilding)
	snapshot.MaxMoves = h.allowedMoves()
	jobs := h.snapshotJobs(now, rebuilding)
	for _, m := range h.fleet.Machines() {
		snapshot.Machines = append(snapshot.Machines, h.snapshotMachine(now, m, jobs, snapshot.Teams))
	}
	h.noteWaiting(now, snapshot, jobs)
	for _, a := range h.scaleOutRequests.Pending() {
		if !h.zones.Record(a.Zone).AcceptsScaleOut(now) {
			continue // nobody knows when it could be reached
		}
		for range a.Count {
			snapshot.Machines = append(snapshot.Machines, &scheduler.Machine{Type: a.Type, Zone: a.Zone, Spot: a.Spot,
				Booting: true, Free: capacityOf(h.machineType(a.Type))})
		}
	}
	if !h.rebuiltReachable || h.recovery.Refilling() {
		snapshot.IdleTimeout = time.Hour
	}
	for _, id := range sortedKeys(jobs) {
		snapshot.Jobs = append(snapshot.Jobs, jobs[id])
	}
	return snapshot
}

// noteWaiting notes which jobs have nothing anywhere, and what room there is beside them. A job that
// can't be placed now waits for something else.
func (h *Leader) noteWaiting(now time.Time, snapshot *scheduler.Snapshot, jobs map[string]*scheduler.Job) {
	for id, j := range jobs {
		hist := h.jobStates[id]
		switch stands := len(j.Waiting) > 0 && j.Active == 0; {
		case !stands && hist != nil:
			hist.starvedSince = time.Time{}
		case stands && (hist == nil || hist.starvedSince.IsZero()):
			h.jobState(id).starvedSince = now
		case stands:
			j.StarvedFor = now.Sub(hist.starvedSince)
		}
	}
	h.idle.note(now, snapshot.Machines)
}

// idleTracker keeps for how long each machine has had which capacity idle: with it the scheduler
// finds jobs that starve beside capacity that never comes free at once.
type idleTracker struct {
	machines map[string]*scheduler.IdleCapacity // by machine
}

// note records what is free on the machines now, and tells them how long it has been.
func (t *idleTracker) note(now time.Time, machines []*scheduler.Machine) {
	if len(t.machines) > 2*len(machines) {
		t.machines = nil // most of it is of machines that are gone
	}
	if t.machines == nil {
		t.machines = make(map[string]*scheduler.IdleCapacity, len(machines))
	}
	for _, m := range machines {
		s := t.machines[m.ID]
		if s == nil {
			s = new(scheduler.IdleCapacity)
			t.machines[m.ID] = s
		}
		m.IdleCapacity = s.Record(now, m.Free)
	}
}

// shardMachineTypes gives the machine types with the zones in which they are of this part.
func (h *Leader) shardMachineTypes() []wire.MachineType {
	if h.sharding.IsSingle() {
		return h.types
	}
	out := slices.Clone(h.types)
	for i := range out {
		t := &out[i]
		t.Zones = slices.DeleteFunc(slices.Clone(t.Zones), func(zone string) bool { return h.sharding.ShardOf(zone, t.Name) != h.lease.Shard })
	}
	return out
}

func capacityOf(t wire.MachineType) scheduler.Resources {
	return scheduler.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// maxRebuildWait is for how long a new holder waits for every machine's report
// before it places anything that may be running. After that, a machine that is
// silent still holds back the tasks that its record names.
const maxRebuildWait = 4 * time.Second

// snapshotJobs lists the live jobs with the tasks that may be placed. While the
// fleet is being rebuilt, only jobs from after the claim can't be anywhere yet.
func (h *Leader) snapshotJobs(now time.Time, rebuilding bool) map[string]*scheduler.Job {
	jobs := make(map[string]*scheduler.Job, len(h.liveJobs))
	for id, l := range h.liveJobs {
		since := time.UnixMilli(l.Record.Created)
		j := &scheduler.Job{Job: l.Record.Job, Order: l.SinceRevision, InZone: map[string]int{}, SubmittedAt: since, Age: now.Sub(since)}
		if j.Shape == wire.Service {
			j.SpreadRule = h.cfg.Tuning.Spread[j.Class]
		}
		hist := h.jobStates[id]
		shares, elsewhere := h.ownRanges(l)
		j.RemoteTasks, j.LocalTasks = elsewhere, handover.Count(shares)
		if hist != nil {
			j.AvoidMachines = hist.failedMachines
			if len(hist.failedMachines) >= 3 {
				j.AvoidMachines = nil // it fails everywhere: any machine will do, after the back-off
			}
		}
		jobs[id] = j
		if rebuilding && l.SinceRevision <= h.lease.Revision {
			// What a gang had gathered is not for what comes now.
			if j.MaybeRunning = j.Shape == wire.Gang && elsewhere == 0; !j.MaybeRunning {
				continue
			}
		}
		if hist != nil && now.Before(hist.notBefore) {
			continue
		}
		if elsewhere > 0 && l.Record.Job.Shape == wire.Gang && !h.mayPlaceSplit(now, j, hist, l.Record.CoAllocation) {
			continue // it runs in several shards, or is being returned to one
		}
		for _, s := range shares {
			for i := s.From; i < s.To && len(j.Waiting) < h.cfg.Tuning.RoundTasks; i++ {
				if hist != nil && hist.finished.Contains(i) || h.fleet.ActivePlacement(wire.TaskID{Job: id, Index: i}) != nil {
					continue
				}
				j.Waiting = append(j.Waiting, i)
			}
		}
		if len(j.Waiting) > 0 && !h.sharding.IsSingle() && (elsewhere == 0 || j.Shape != wire.Gang) {
			j.RemoteCapacity = h.movableTasks(l)
		}
	}
	return jobs
}

func (h *Leader) snapshotMachine(now time.Time, m *fleet.Machine, jobs map[string]*scheduler.Job, teams map[string]*scheduler.Team) *scheduler.Machine {
	t := h.machineType(m.Type)
	s := &scheduler.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: capacityOf(t)}
	serves := m.DrainReason == "" && !m.Releasing && m.TerminationTime.IsZero()
	heard := m.Up && now.Sub(m.LastHeartbeat) < h.timeouts.launchWithin
	serves = serves && h.fleet.ReceivesCommands(now, m) && !m.HeartbeatsLost(now, h.timeouts.missingHeartbeatAfter)
	s.Usable = serves && heard && m.SeenAtToken
	// One that has just come up is usable once it has reported at the term: as
	// good as booting, or another would be rented in its stead.
	s.Booting = serves && !s.Usable && (heard || !m.Up && !m.Recorded && h.zones.Record(m.Zone).AcceptsScaleOut(now))
	busy := false
	for _, p := range m.Placements() {
		if !p.Active() {
			continue
		}
		busy = true
		takes, known := h.taskDemand(p.Task.Job)
		if !known { // nobody knows what it takes: nothing else fits
			s.Usable = false
			continue
		}
		// A task of a job that is over counts until it is gone.
		s.Free = s.Free.AddScaled(scheduler.Resources{CPUs: takes.CPUs, GPUs: takes.GPUs, MemoryGB: takes.MemoryGB}, -1)
		if team := teams[takes.Team]; team != nil {
			team.UsedCPUs += takes.CPUs
			team.UsedGPUs += takes.GPUs
		}
		if j := jobs[p.Task.Job]; j != nil {
			m.UseImage(now, j.Image, j.ImageGB, t.CacheGB, p.HasImage())
			if p.Stop == nil && m.LacksImage(j.Image) {
				s.AddFetch(j.Image, j.Priority == wire.Production)
			}
			j.Active++
			j.InZone[m.Zone]++
			// A gang's next attempt needs all of this one gone. Of another job only that task has
			// to go: its others would wait for it, on a silent machine for a lease.
			j.Terminating = j.Terminating || p.Stop != nil && j.Shape == wire.Gang
			ran := time.Duration(0)
			if !p.StartedAt.IsZero() {
				ran = now.Sub(p.StartedAt)
			}
			vain := 0
			if hist := h.jobStates[p.Task.Job]; hist != nil {
				vain = hist.failedAttempts[p.Task.Index]
			}
			s.Tasks = append(s.Tasks, scheduler.Task{Job: j, Index: p.Task.Index, RunTime: ran, Stopping: p.Stop != nil, FailedAttempts: vain})
		}
	}
	s.Images = m
	if busy {
		m.IdleSince = now
	}
	s.IdleFor = now.Sub(m.IdleSince)
	return s
}
