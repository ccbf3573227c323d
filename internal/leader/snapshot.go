package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// picture builds what sched decides on.
func (h *Holder) picture(now time.Time) *scheduler.Picture {
	pic := &scheduler.Picture{Types: h.ownTypes(), Teams: map[string]*scheduler.Team{}, Refused: map[scheduler.Offer]bool{}, Doubted: map[scheduler.Offer]bool{}, Most: map[scheduler.Offer]int{},
		Idle: h.cfg.Tuning.Idle, BeginWithin: h.cfg.Tuning.BeginWithin}
	var used map[string][2]float64
	if !h.group.Whole() {
		used = h.used()
	}
	for _, t := range h.teams() {
		team := &scheduler.Team{CPUs: t.CPUs, GPUs: t.GPUs, CPUsMax: t.CPUsMax, GPUsMax: t.GPUsMax}
		if !h.group.Whole() {
			h.spend(now, team, t.Name, used[t.Name])
		}
		pic.Teams[t.Name] = team
	}
	if pic.Parts = !h.group.Whole(); pic.Parts {
		pic.Outside = h.outside(now)
	}
	for _, o := range h.cfg.Objectives {
		pic.Aims = append(pic.Aims, scheduler.Objective{Kind: o.Kind, Class: o.Class, Within: wire.Seconds(o.WithinS)})
	}
	h.rentals.Fill(now, pic)
	h.shutZones(now, pic)
	unproven := h.fleet.Unproven()
	if len(unproven) == 0 && !h.rebuilt {
		h.rebuilt = true
		h.log.Info("rebuilt", "after", now.Sub(h.fleet.Claimed), "machines", len(h.fleet.Machines()))
	}
	rebuilding := len(unproven) > 0 && now.Sub(h.fleet.Claimed) < rebuildWait
	h.resume(now, unproven)
	h.reviewClaims(now, rebuilding)
	pic.Moves = h.mayMove()
	jobs := h.pictureJobs(now, rebuilding)
	for _, m := range h.fleet.Machines() {
		pic.Machines = append(pic.Machines, h.pictureMachine(now, m, jobs, pic.Teams))
	}
	h.lookWaiting(now, pic, jobs)
	for _, a := range h.rentals.Open() {
		if !h.states.Of(a.Zone).Open(now) {
			continue // nobody knows when it could be reached
		}
		for range a.Count {
			pic.Machines = append(pic.Machines, &scheduler.Machine{Type: a.Type, Zone: a.Zone, Spot: a.Spot,
				Booting: true, Free: size(h.typeOf(a.Type))})
		}
	}
	if !h.resumed || h.homeless() {
		pic.Idle = time.Hour
	}
	for _, id := range sortedKeys(jobs) {
		pic.Jobs = append(pic.Jobs, jobs[id])
	}
	return pic
}

// lookWaiting notes which jobs have nothing anywhere, and what room there is beside them. A job that
// can't be placed now waits for something else.
func (h *Holder) lookWaiting(now time.Time, pic *scheduler.Picture, jobs map[string]*scheduler.Job) {
	for id, j := range jobs {
		hist := h.jobs[id]
		switch stands := len(j.Waiting) > 0 && j.Active == 0; {
		case !stands && hist != nil:
			hist.stands = time.Time{}
		case stands && (hist == nil || hist.stands.IsZero()):
			h.history(id).stands = now
		case stands:
			j.Stood = now.Sub(hist.stands)
		}
	}
	if len(h.spells) > 2*len(pic.Machines) {
		h.spells = nil // most of it is of machines that are gone
	}
	if h.spells == nil {
		h.spells = make(map[string]*scheduler.Stood, len(pic.Machines))
	}
	for _, m := range pic.Machines {
		s := h.spells[m.ID]
		if s == nil {
			s = new(scheduler.Stood)
			h.spells[m.ID] = s
		}
		m.Long = s.Note(now, m.Free)
	}
}

// ownTypes gives the machine types with the zones in which they are of this part.
func (h *Holder) ownTypes() []wire.MachineType {
	if h.group.Whole() {
		return h.types
	}
	out := slices.Clone(h.types)
	for i := range out {
		t := &out[i]
		t.Zones = slices.DeleteFunc(slices.Clone(t.Zones), func(zone string) bool { return h.group.PartOf(zone, t.Name) != h.held.Part })
	}
	return out
}

func size(t wire.MachineType) scheduler.Amount {
	return scheduler.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// rebuildWait is for how long a new holder waits for every machine's report
// before it places anything that may be running. After that, a machine that is
// silent still holds back the tasks that its record names.
const rebuildWait = 4 * time.Second

// pictureJobs lists the live jobs with the tasks that may be placed. While the
// fleet is being rebuilt, only jobs from after the claim can't be anywhere yet.
func (h *Holder) pictureJobs(now time.Time, rebuilding bool) map[string]*scheduler.Job {
	jobs := make(map[string]*scheduler.Job, len(h.live))
	for id, l := range h.live {
		since := time.UnixMilli(l.Record.Created)
		j := &scheduler.Job{Job: l.Record.Job, Order: l.Since, InZone: map[string]int{}, Since: since, Age: now.Sub(since)}
		if j.Shape == wire.Service {
			j.Rule = h.cfg.Tuning.Spread[j.Class]
		}
		hist := h.jobs[id]
		shares, elsewhere := h.shares(l)
		j.Elsewhere, j.Mine = elsewhere, tasksOf(shares)
		if hist != nil {
			j.Avoid = hist.failed
			if len(hist.failed) >= 3 {
				j.Avoid = nil // it fails everywhere: any machine will do, after the back-off
			}
		}
		jobs[id] = j
		if rebuilding && l.Since <= h.held.Revision {
			// What a gang had gathered is not for what comes now.
			if j.Unsure = j.Shape == wire.Gang && elsewhere == 0; !j.Unsure {
				continue
			}
		}
		if hist != nil && now.Before(hist.notBefore) {
			continue
		}
		if elsewhere > 0 && l.Record.Job.Shape == wire.Gang && !h.placed(now, j, hist, l.Record.CoAllocation) {
			continue // it runs in several parts, or is being gathered in one
		}
		for _, s := range shares {
			for i := s.From; i < s.To && len(j.Waiting) < h.cfg.Tuning.RoundTasks; i++ {
				if hist != nil && hist.finished.Has(i) || h.fleet.Active(wire.TaskID{Job: id, Index: i}) != nil {
					continue
				}
				j.Waiting = append(j.Waiting, i)
			}
		}
		if len(j.Waiting) > 0 && !h.group.Whole() && (elsewhere == 0 || j.Shape != wire.Gang) {
			j.Outside = h.movable(l)
		}
	}
	return jobs
}

func (h *Holder) pictureMachine(now time.Time, m *fleet.Machine, jobs map[string]*scheduler.Job, teams map[string]*scheduler.Team) *scheduler.Machine {
	t := h.typeOf(m.Type)
	s := &scheduler.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: size(t)}
	serves := m.Draining == "" && !m.Releasing && m.Notice.IsZero()
	heard := m.Up && now.Sub(m.Heard) < h.times.fresh
	serves = serves && h.fleet.Heeds(now, m) && !m.Mute(now, h.times.mute)
	s.Usable = serves && heard && m.AtTerm
	// One that has just come up is usable once it has reported at the term: as
	// good as booting, or another would be rented in its stead.
	s.Booting = serves && !s.Usable && (heard || !m.Up && !m.Recorded && h.states.Of(m.Zone).Open(now))
	busy := false
	for _, p := range m.Placements() {
		if !p.Active() {
			continue
		}
		busy = true
		takes, known := h.takes(p.Task.Job)
		if !known { // nobody knows what it takes: nothing else fits
			s.Usable = false
			continue
		}
		// A task of a job that is over counts until it is gone.
		s.Free = s.Free.Plus(scheduler.Amount{CPUs: takes.CPUs, GPUs: takes.GPUs, MemoryGB: takes.MemoryGB}, -1)
		if team := teams[takes.Team]; team != nil {
			team.UsedCPUs += takes.CPUs
			team.UsedGPUs += takes.GPUs
		}
		if j := jobs[p.Task.Job]; j != nil {
			m.Use(now, j.Image, j.ImageGB, t.CacheGB, p.HasImage())
			if p.Stop == nil && m.Awaits(j.Image) {
				s.Fetch(j.Image, j.Priority == wire.Production)
			}
			j.Active++
			j.InZone[m.Zone]++
			// A gang's next attempt needs all of this one gone. Of another job only that task has
			// to go: its others would wait for it, on a silent machine for a lease.
			j.Ending = j.Ending || p.Stop != nil && j.Shape == wire.Gang
			ran := time.Duration(0)
			if !p.Begun.IsZero() {
				ran = now.Sub(p.Begun)
			}
			vain := 0
			if hist := h.jobs[p.Task.Job]; hist != nil {
				vain = hist.vain[p.Task.Index]
			}
			s.Tasks = append(s.Tasks, scheduler.Task{Job: j, Index: p.Task.Index, Ran: ran, Stopping: p.Stop != nil, Vain: vain})
		}
	}
	s.Images = m
	if busy {
		m.IdleSince = now
	}
	s.Idle = now.Sub(m.IdleSince)
	return s
}
