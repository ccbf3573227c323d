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

// clusterSnapshot builds the snapshot of the cluster that the scheduler plans on.
func (l *Leader) clusterSnapshot(now time.Time) *scheduler.Snapshot {
	snapshot := &scheduler.Snapshot{
		Types:              l.shardMachineTypes(),
		Teams:              l.snapshotTeams(now),
		Unavailable:        map[scheduler.Offer]bool{},
		Doubtful:           map[scheduler.Offer]bool{},
		RequestLimit:       map[scheduler.Offer]int{},
		IdleTimeout:        l.cfg.Tuning.IdleTimeout,
		MaxTasksPerMachine: l.maxTasksPerMachine(),
		MaxGangWait:        l.cfg.Tuning.MaxGangWait,
		Sharded:            !l.sharding.IsSingle(),
	}
	if snapshot.Sharded {
		snapshot.RemoteCapacity = l.freeElsewhere(now)
	}
	for _, o := range l.cfg.Objectives {
		snapshot.Objectives = append(snapshot.Objectives, scheduler.Objective{Kind: o.Kind, Class: o.Class, Within: wire.Seconds(o.WithinS)})
	}
	l.scaler.Annotate(now, snapshot)
	l.markClosedZonesUnavailable(now, snapshot)
	rebuilding := l.updateRecoveryState(now)
	l.reviewPreemptions(now, rebuilding)
	snapshot.MaxMoves = l.allowedReplicaMoves()
	jobs := l.snapshotJobs(now, rebuilding)
	for _, m := range l.fleet.Machines() {
		snapshot.Machines = append(snapshot.Machines, l.snapshotMachine(now, m, jobs, snapshot.Teams))
	}
	l.updateStarvation(now, snapshot, jobs)
	l.addRequestedMachines(now, snapshot)
	if !l.rebuiltReachable || l.recovery.Refilling() {
		snapshot.IdleTimeout = time.Hour // long enough that no idle machine is returned meanwhile
	}
	for _, id := range sortedKeys(jobs) {
		snapshot.Jobs = append(snapshot.Jobs, jobs[id])
	}
	return snapshot
}

// snapshotTeams returns the teams with their guarantees and limits. In a sharded fleet, the limits are the share that
// is granted to this shard.
func (l *Leader) snapshotTeams(now time.Time) map[string]*scheduler.Team {
	teams := make(map[string]*scheduler.Team)
	var used map[string]scheduler.Resources
	if !l.sharding.IsSingle() {
		used = l.teamUsage()
	}
	for _, t := range quota.Teams(l.cfg.Teams, l.liveJobs) {
		team := &scheduler.Team{GuaranteedCPUs: t.CPUs, GuaranteedGPUs: t.GPUs, LimitCPUs: t.CPUsMax, LimitGPUs: t.GPUsMax}
		if !l.sharding.IsSingle() {
			l.quota.Apply(now, t.Name, team, used[t.Name])
		}
		teams[t.Name] = team
	}
	return teams
}

// updateRecoveryState records how much of the fleet is accounted for. It reports whether the leader is still waiting
// for heartbeats before it places tasks that may already be running.
func (l *Leader) updateRecoveryState(now time.Time) (rebuilding bool) {
	unproven := l.fleet.UnprovenMachines()
	if len(unproven) == 0 && !l.rebuilt {
		l.rebuilt = true
		l.log.Info("rebuilt", "after", now.Sub(l.fleet.ElectedAt), "machines", len(l.fleet.Machines()))
	}
	l.updateRebuiltReachable(now, unproven)
	return len(unproven) > 0 && now.Sub(l.fleet.ElectedAt) < maxRebuildWait
}

// addRequestedMachines adds the machines of pending scale-out requests as booting machines.
func (l *Leader) addRequestedMachines(now time.Time, snapshot *scheduler.Snapshot) {
	for _, request := range l.scaler.Pending() {
		if !l.zones.Record(request.Zone).AcceptsScaleOut(now) {
			continue // it is not known when the zone will be reachable
		}
		for range request.Count {
			snapshot.Machines = append(snapshot.Machines, &scheduler.Machine{Type: request.Type, Zone: request.Zone, Spot: request.Spot,
				Booting: true, Free: l.capacityOf(l.machineType(request.Type))})
		}
	}
}

// updateStarvation records since when each job has had tasks to place but none placed, and which capacity has been
// idle. A job without placeable tasks is not starved: it waits for something other than capacity.
func (l *Leader) updateStarvation(now time.Time, snapshot *scheduler.Snapshot, jobs map[string]*scheduler.Job) {
	for id, j := range jobs {
		state := l.jobStates[id]
		switch starved := len(j.Waiting) > 0 && j.ActiveTasks == 0; {
		case !starved && state != nil:
			state.starvedSince = time.Time{}
		case starved && (state == nil || state.starvedSince.IsZero()):
			l.jobState(id).starvedSince = now
		case starved:
			j.StarvedFor = now.Sub(state.starvedSince)
		}
	}
	l.idle.update(now, snapshot.Machines)
}

// idleTracker keeps a history of the free capacity of each machine. With it, the scheduler finds jobs that starve
// beside idle capacity because never enough of it becomes free at the same time.
type idleTracker struct {
	machines map[string]*scheduler.IdleCapacity // by machine
}

// update records the capacity that is free on the machines now, and sets the capacity of each that has stayed idle.
func (t *idleTracker) update(now time.Time, machines []*scheduler.Machine) {
	if len(t.machines) > 2*len(machines) {
		t.machines = nil // most entries belong to machines that are gone
	}
	if t.machines == nil {
		t.machines = make(map[string]*scheduler.IdleCapacity, len(machines))
	}
	for _, m := range machines {
		idle := t.machines[m.ID]
		if idle == nil {
			idle = new(scheduler.IdleCapacity)
			t.machines[m.ID] = idle
		}
		m.IdleCapacity = idle.Record(now, m.Free)
	}
}

// shardMachineTypes returns the machine types, restricted to the zones in which they belong to this shard.
func (l *Leader) shardMachineTypes() []wire.MachineType {
	if l.sharding.IsSingle() {
		return l.types
	}
	out := slices.Clone(l.types)
	for i := range out {
		t := &out[i]
		t.Zones = slices.DeleteFunc(slices.Clone(t.Zones), func(zone string) bool { return l.sharding.ShardOf(zone, t.Name) != l.lease.Shard })
	}
	return out
}

// capacityOf returns the total resources of a machine of a type.
func (l *Leader) capacityOf(t wire.MachineType) scheduler.Resources {
	return scheduler.CapacityOf(&t, l.maxTasksPerMachine())
}

// maxRebuildWait bounds how long a new leader waits for a heartbeat of every machine before it places tasks that may
// already be running. After that, a task is still held back while the record of an unreachable machine names it.
const maxRebuildWait = 4 * time.Second

// snapshotJobs returns the live jobs with those of their tasks that may be placed.
func (l *Leader) snapshotJobs(now time.Time, rebuilding bool) map[string]*scheduler.Job {
	jobs := make(map[string]*scheduler.Job, len(l.liveJobs))
	for id, live := range l.liveJobs {
		jobs[id] = l.snapshotJob(now, id, live, rebuilding)
	}
	return jobs
}

// snapshotJob returns a live job with those of its tasks that may be placed. While the fleet is being rebuilt, only
// tasks of jobs that were submitted after the leader was elected are known not to be running.
func (l *Leader) snapshotJob(now time.Time, id string, live *store.LiveJob, rebuilding bool) *scheduler.Job {
	since := time.UnixMilli(live.Record.Created)
	j := &scheduler.Job{Job: live.Record.Job, SubmissionOrder: live.SinceRevision, TasksByZone: map[string]int{}, SubmittedAt: since, Age: now.Sub(since)}
	if j.Shape == wire.Service {
		j.SpreadRule = l.cfg.Tuning.Spread[j.Class]
	}
	state := l.jobStates[id]
	ranges, remoteTasks := l.unfinishedOwnRanges(live)
	j.RemoteTasks, j.LocalTasks = remoteTasks, handover.CountTasks(ranges)
	if state != nil {
		j.AvoidMachines = state.avoidances(now)
	}
	if rebuilding && live.SinceRevision <= l.lease.Revision {
		// Capacity that a gang had reserved must not be used by jobs that are submitted now.
		if j.MaybeRunning = j.Shape == wire.Gang && remoteTasks == 0; !j.MaybeRunning {
			return j
		}
	}
	if state != nil && now.Before(state.notBefore) {
		return j
	}
	if remoteTasks > 0 && live.Record.Job.Shape == wire.Gang && !l.mayPlaceSplitGang(now, j, state, live.Record.CoAllocation) {
		return j // the gang runs in several shards, or is being returned to one shard
	}
	l.addWaitingTasks(j, state, ranges)
	if len(j.Waiting) > 0 && !l.sharding.IsSingle() && (remoteTasks == 0 || j.Shape != wire.Gang) {
		j.RemoteCapacity = l.movableTasks(live)
	}
	return j
}

// addWaitingTasks adds the tasks in ranges that have neither finished nor been placed, at most as many as a round may
// launch.
func (l *Leader) addWaitingTasks(j *scheduler.Job, state *jobState, ranges []store.ShardRange) {
	for _, r := range ranges {
		for i := r.From; i < r.To && len(j.Waiting) < l.cfg.Tuning.MaxRoundLaunches; i++ {
			if state != nil && state.finished.Contains(i) || l.fleet.ActivePlacement(wire.TaskID{Job: j.ID, Index: i}) != nil {
				continue
			}
			j.Waiting = append(j.Waiting, i)
		}
	}
}

// snapshotMachine returns a machine with its free resources and the tasks that may be on it, and adds the resources of
// these tasks to the usage of their teams.
func (l *Leader) snapshotMachine(now time.Time, m *fleet.Machine, jobs map[string]*scheduler.Job, teams map[string]*scheduler.Team) *scheduler.Machine {
	t := l.machineType(m.Type)
	s := &scheduler.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: l.capacityOf(t)}
	acceptsTasks := !m.Cordoned && !m.Releasing && m.TerminationTime.IsZero()
	fresh := m.Up && now.Sub(m.LastHeartbeat) < l.timeouts.launchWithin
	acceptsTasks = acceptsTasks && l.fleet.ReceivesCommands(now, m) && !m.HeartbeatsLost(now, l.timeouts.missingHeartbeatAfter)
	s.Usable = acceptsTasks && fresh && m.SeenAtToken
	// A machine that has just come up becomes usable once it has sent a heartbeat under the leader's token. Until then
	// it counts as booting, or another machine would be requested in its place.
	s.Booting = acceptsTasks && !s.Usable && (fresh || !m.Up && !m.Recorded && l.zones.Record(m.Zone).AcceptsScaleOut(now))
	busy := false
	for _, p := range m.Placements() {
		if !p.Active() {
			continue
		}
		busy = true
		demand, known := l.taskDemand(p.Task.Job)
		if !known { // the resources of the task are unknown, so nothing may be placed beside it
			s.Usable = false
			continue
		}
		// A task of a job that has ended counts until it is gone.
		s.Free = s.Free.AddScaled(scheduler.TaskResources(demand.CPUs, demand.GPUs, demand.MemoryGB), -1)
		if team := teams[demand.Team]; team != nil {
			team.UsedCPUs += demand.CPUs
			team.UsedGPUs += demand.GPUs
		}
		if j := jobs[p.Task.Job]; j != nil {
			l.addTask(now, s, m, t.CacheGB, p, j)
		}
	}
	s.Free = l.limitTrial(now, m, s.Free)
	s.Images = m
	if busy {
		m.IdleSince = now
	}
	s.IdleFor = now.Sub(m.IdleSince)
	return s
}

// addTask adds a task of a live job to the machine that it is placed on.
func (l *Leader) addTask(now time.Time, s *scheduler.Machine, m *fleet.Machine, cacheGB float64, p *fleet.Placement, j *scheduler.Job) {
	m.UseImage(now, j.Image, j.ImageGB, cacheGB, p.HasImage())
	if p.Stop == nil && m.LacksImage(j.Image) {
		s.AddFetch(j.Image, j.Priority == wire.Production)
	}
	j.ActiveTasks++
	j.TasksByZone[m.Zone]++
	// The next attempt of a gang can start only once all tasks of this attempt are gone. A task of any other job does
	// not hold up the other tasks of its job: they would have to wait for a lease to expire if its machine is
	// unreachable.
	j.Terminating = j.Terminating || p.Stop != nil && j.Shape == wire.Gang
	t := scheduler.Task{Job: j, Index: p.Task.Index, Stopping: p.Stop != nil}
	if !p.StartedAt.IsZero() {
		t.RunTime = now.Sub(p.StartedAt)
	}
	if state := l.jobStates[p.Task.Job]; state != nil {
		t.FailedAttempts = state.failedAttempts[p.Task.Index]
	}
	s.Tasks = append(s.Tasks, t)
}
