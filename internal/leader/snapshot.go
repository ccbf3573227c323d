package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// clusterSnapshot builds what the scheduler decides on.
func (h *Leader) clusterSnapshot(now time.Time) *scheduler.Snapshot {
	snapshot := &scheduler.Snapshot{
		Types:        h.shardMachineTypes(),
		Teams:        h.snapshotTeams(now),
		Unavailable:  map[scheduler.Offer]bool{},
		Doubtful:     map[scheduler.Offer]bool{},
		RequestLimit: map[scheduler.Offer]int{},
		IdleTimeout:  h.cfg.Tuning.Idle,
		MaxGangWait:  h.cfg.Tuning.BeginWithin,
		Sharded:      !h.sharding.IsSingle(),
	}
	if snapshot.Sharded {
		snapshot.RemoteCapacity = h.freeElsewhere(now)
	}
	for _, o := range h.cfg.Objectives {
		snapshot.Objectives = append(snapshot.Objectives, scheduler.Objective{Kind: o.Kind, Class: o.Class, Within: wire.Seconds(o.WithinS)})
	}
	h.scaler.Annotate(now, snapshot)
	h.refuseClosedZones(now, snapshot)
	rebuilding := h.noteRecovery(now)
	h.reviewPreemptions(now, rebuilding)
	snapshot.MaxMoves = h.allowedMoves()
	jobs := h.snapshotJobs(now, rebuilding)
	for _, m := range h.fleet.Machines() {
		snapshot.Machines = append(snapshot.Machines, h.snapshotMachine(now, m, jobs, snapshot.Teams))
	}
	h.noteWaiting(now, snapshot, jobs)
	h.addRequestedMachines(now, snapshot)
	if !h.rebuiltReachable || h.recovery.Refilling() {
		snapshot.IdleTimeout = time.Hour // in effect, nothing is returned meanwhile
	}
	for _, id := range sortedKeys(jobs) {
		snapshot.Jobs = append(snapshot.Jobs, jobs[id])
	}
	return snapshot
}

// snapshotTeams returns the teams with their guarantees and limits: in a sharded fleet, what this
// shard is granted of the limits.
func (h *Leader) snapshotTeams(now time.Time) map[string]*scheduler.Team {
	teams := make(map[string]*scheduler.Team)
	var used map[string]scheduler.Resources
	if !h.sharding.IsSingle() {
		used = h.teamUsage()
	}
	for _, t := range quota.Teams(h.cfg.Teams, h.liveJobs) {
		team := &scheduler.Team{GuaranteedCPUs: t.CPUs, GuaranteedGPUs: t.GPUs, LimitCPUs: t.CPUsMax, LimitGPUs: t.GPUsMax}
		if !h.sharding.IsSingle() {
			h.quota.Apply(now, t.Name, team, used[t.Name])
		}
		teams[t.Name] = team
	}
	return teams
}

// noteRecovery records how much of the fleet is accounted for by now. It reports whether the leader
// still waits for machines before it places what may be running on them.
func (h *Leader) noteRecovery(now time.Time) (rebuilding bool) {
	unproven := h.fleet.UnprovenMachines()
	if len(unproven) == 0 && !h.rebuilt {
		h.rebuilt = true
		h.log.Info("rebuilt", "after", now.Sub(h.fleet.ElectedAt), "machines", len(h.fleet.Machines()))
	}
	h.noteResumed(now, unproven)
	return len(unproven) > 0 && now.Sub(h.fleet.ElectedAt) < maxRebuildWait
}

// addRequestedMachines adds the machines that were requested of the cloud and are not there yet.
func (h *Leader) addRequestedMachines(now time.Time, snapshot *scheduler.Snapshot) {
	for _, a := range h.scaler.Pending() {
		if !h.zones.Record(a.Zone).AcceptsScaleOut(now) {
			continue // it is not known when it could be reached
		}
		for range a.Count {
			snapshot.Machines = append(snapshot.Machines, &scheduler.Machine{Type: a.Type, Zone: a.Zone, Spot: a.Spot,
				Booting: true, Free: capacityOf(h.machineType(a.Type))})
		}
	}
}

// noteWaiting records since when jobs have had no task placed though some could be, and what
// capacity has been idle beside them. A job that can't be placed now waits for something else.
func (h *Leader) noteWaiting(now time.Time, snapshot *scheduler.Snapshot, jobs map[string]*scheduler.Job) {
	for id, j := range jobs {
		state := h.jobStates[id]
		switch starved := len(j.Waiting) > 0 && j.Active == 0; {
		case !starved && state != nil:
			state.starvedSince = time.Time{}
		case starved && (state == nil || state.starvedSince.IsZero()):
			h.jobState(id).starvedSince = now
		case starved:
			j.StarvedFor = now.Sub(state.starvedSince)
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

// shardMachineTypes returns the machine types with the zones in which they belong to this shard.
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

// capacityOf returns what a machine of a type has to give.
func capacityOf(t wire.MachineType) scheduler.Resources {
	return scheduler.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// maxRebuildWait is for how long a new leader waits for a heartbeat of every machine before it places
// anything that may be running. After that, an unreachable machine still holds back the tasks that
// its record names.
const maxRebuildWait = 4 * time.Second

// snapshotJobs returns the live jobs with the tasks that may be placed.
func (h *Leader) snapshotJobs(now time.Time, rebuilding bool) map[string]*scheduler.Job {
	jobs := make(map[string]*scheduler.Job, len(h.liveJobs))
	for id, l := range h.liveJobs {
		jobs[id] = h.snapshotJob(now, id, l, rebuilding)
	}
	return jobs
}

// snapshotJob returns a live job with those of its tasks that may be placed. While the fleet is being
// rebuilt, only tasks of jobs that came after the leader was elected can't be running yet.
func (h *Leader) snapshotJob(now time.Time, id string, l *store.LiveJob, rebuilding bool) *scheduler.Job {
	since := time.UnixMilli(l.Record.Created)
	j := &scheduler.Job{Job: l.Record.Job, Order: l.SinceRevision, InZone: map[string]int{}, SubmittedAt: since, Age: now.Sub(since)}
	if j.Shape == wire.Service {
		j.SpreadRule = h.cfg.Tuning.Spread[j.Class]
	}
	state := h.jobStates[id]
	ranges, elsewhere := h.ownRanges(l)
	j.RemoteTasks, j.LocalTasks = elsewhere, handover.Count(ranges)
	if state != nil && len(state.failedMachines) < delayAfterMachines { // else it fails everywhere: any machine will do, after the back-off
		j.AvoidMachines = state.failedMachines
	}
	if rebuilding && l.SinceRevision <= h.lease.Revision {
		// What a gang had reserved is not for what comes now.
		if j.MaybeRunning = j.Shape == wire.Gang && elsewhere == 0; !j.MaybeRunning {
			return j
		}
	}
	if state != nil && now.Before(state.notBefore) {
		return j
	}
	if elsewhere > 0 && l.Record.Job.Shape == wire.Gang && !h.mayPlaceSplit(now, j, state, l.Record.CoAllocation) {
		return j // it runs in several shards, or is being returned to one
	}
	h.addWaiting(j, state, ranges)
	if len(j.Waiting) > 0 && !h.sharding.IsSingle() && (elsewhere == 0 || j.Shape != wire.Gang) {
		j.RemoteCapacity = h.movableTasks(l)
	}
	return j
}

// addWaiting adds the tasks within ranges that have not finished and are placed nowhere, as many as
// a round may launch.
func (h *Leader) addWaiting(j *scheduler.Job, state *jobState, ranges []store.ShardRange) {
	for _, s := range ranges {
		for i := s.From; i < s.To && len(j.Waiting) < h.cfg.Tuning.RoundTasks; i++ {
			if state != nil && state.finished.Contains(i) || h.fleet.ActivePlacement(wire.TaskID{Job: j.ID, Index: i}) != nil {
				continue
			}
			j.Waiting = append(j.Waiting, i)
		}
	}
}

// snapshotMachine returns a machine with what is free on it and the tasks that may be there. What
// these use counts for their teams.
func (h *Leader) snapshotMachine(now time.Time, m *fleet.Machine, jobs map[string]*scheduler.Job, teams map[string]*scheduler.Team) *scheduler.Machine {
	t := h.machineType(m.Type)
	s := &scheduler.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: capacityOf(t)}
	serves := m.DrainReason == "" && !m.Releasing && m.TerminationTime.IsZero()
	fresh := m.Up && now.Sub(m.LastHeartbeat) < h.timeouts.launchWithin
	serves = serves && h.fleet.ReceivesCommands(now, m) && !m.HeartbeatsLost(now, h.timeouts.missingHeartbeatAfter)
	s.Usable = serves && fresh && m.SeenAtToken
	// One that has just come up is usable once it has reported under the leader's token: it is as
	// good as booting, or another would be requested in its stead.
	s.Booting = serves && !s.Usable && (fresh || !m.Up && !m.Recorded && h.zones.Record(m.Zone).AcceptsScaleOut(now))
	busy := false
	for _, p := range m.Placements() {
		if !p.Active() {
			continue
		}
		busy = true
		demand, known := h.taskDemand(p.Task.Job)
		if !known { // what it takes is not known: nothing else may be placed beside it
			s.Usable = false
			continue
		}
		// A task of a job that is over counts until it is gone.
		s.Free = s.Free.AddScaled(scheduler.Resources{CPUs: demand.CPUs, GPUs: demand.GPUs, MemoryGB: demand.MemoryGB}, -1)
		if team := teams[demand.Team]; team != nil {
			team.UsedCPUs += demand.CPUs
			team.UsedGPUs += demand.GPUs
		}
		if j := jobs[p.Task.Job]; j != nil {
			h.addTask(now, s, m, t.CacheGB, p, j)
		}
	}
	s.Images = m
	if busy {
		m.IdleSince = now
	}
	s.IdleFor = now.Sub(m.IdleSince)
	return s
}

// addTask adds a task of a live job to the machine that it is placed on.
func (h *Leader) addTask(now time.Time, s *scheduler.Machine, m *fleet.Machine, cacheGB float64, p *fleet.Placement, j *scheduler.Job) {
	m.UseImage(now, j.Image, j.ImageGB, cacheGB, p.HasImage())
	if p.Stop == nil && m.LacksImage(j.Image) {
		s.AddFetch(j.Image, j.Priority == wire.Production)
	}
	j.Active++
	j.InZone[m.Zone]++
	// A gang's next attempt needs all of this one gone. Of another job only that task has to go: its
	// others would wait for it, for a lease if the machine is unreachable.
	j.Terminating = j.Terminating || p.Stop != nil && j.Shape == wire.Gang
	t := scheduler.Task{Job: j, Index: p.Task.Index, Stopping: p.Stop != nil}
	if !p.StartedAt.IsZero() {
		t.RunTime = now.Sub(p.StartedAt)
	}
	if state := h.jobStates[p.Task.Job]; state != nil {
		t.FailedAttempts = state.failedAttempts[p.Task.Index]
	}
	s.Tasks = append(s.Tasks, t)
}
