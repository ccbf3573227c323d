package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// slot is capacity for one task on a machine, now or later.
type slot struct {
	*Machine
	wait float64 // seconds until it is free, less where a part of it is free already
}

// slotList collects slots, of which only so many are needed in the end.
type slotList struct {
	list   []slot
	wanted int
	cutoff float64 // the longest wait of interest, as far as there are enough better slots
}

// slotSlack and slotFactor bound how long a list may become, beside how many slots are wanted, before it is
// cut: sorting it at each slot would cost more than it saves.
const (
	slotFactor = 4
	slotSlack  = 64
)

// add adds a slot, unless there are enough better ones. With all none is left out.
func (l *slotList) add(s slot, all bool) {
	if s.wait >= l.cutoff {
		return
	}
	l.list = append(l.list, s)
	if all || len(l.list) < slotFactor*l.wanted+slotSlack {
		return
	}
	l.sort()
	l.list = l.list[:l.wanted]
	l.cutoff = l.list[l.wanted-1].wait
}

func (l *slotList) sort() {
	slices.SortStableFunc(l.list, func(a, b slot) int { return cmp.Compare(a.wait, b.wait) })
}

// gangSlots is the slots for a gang, by zone where it must be in one, else all under the job's zone.
type gangSlots map[string]*slotList

func (g gangSlots) add(j *Job, m *Machine, wait float64) {
	zone := j.Zone
	if j.OneZone {
		zone = m.Zone
	}
	if g[zone] == nil {
		g[zone] = &slotList{wanted: len(j.Waiting), cutoff: math.Inf(1)}
	}
	g[zone].add(slot{m, wait}, j.Spread)
}

// slotsByZone finds slots for a gang on machines that boot or are up.
func (pl *planner) slotsByZone(j *Job) gangSlots {
	slots, need := make(gangSlots), ResourcesOf(j.Job)
	allowed := make([]bool, len(pl.pool.offers))
	for i, offer := range pl.pool.offers {
		allowed[i] = allowsOffer(j, offer)
		if machineType := pl.pool.types[offer.Type]; machineType != nil && allowed[i] {
			slots.addBooting(j, need, pl.pool.booting[i], machineType.BootS, pl.Doubtful[offer])
		}
	}
	for _, m := range pl.pool.usable {
		if allowed[m.offerIndex] && !j.AvoidMachines[m.ID] {
			slots.addFuture(j, need, m)
		}
	}
	return slots
}

// addBooting adds the slots on the booting machines of one offer. Of a doubtful offer, machines that were only
// requested are left out: they will hardly come.
func (g gangSlots) addBooting(j *Job, need Resources, machines []*Machine, bootSeconds float64, doubtful bool) {
	for _, m := range machines {
		if m.ID == "" && doubtful {
			continue
		}
		for range min(m.Free.Slots(need), len(j.Waiting)) {
			g.add(j, m, bootSeconds)
		}
	}
}

// addFuture adds the slots on a machine as its tasks end, according to their estimates. What
// is free already of a slot counts more than when the rest will be: else the slot would be given
// up again for one that seems a little sooner.
func (g gangSlots) addFuture(j *Job, need Resources, m *Machine) {
	free, wanted := m.Free, len(j.Waiting)
	n := min(max(0, free.Slots(need)), wanted)
	for range n {
		g.add(j, m, 0)
	}
	missing := free.AddScaled(need, -float64(n)).shortfall(need)
	for _, e := range m.endsOfTasks() {
		free = free.AddScaled(e.frees, 1)
		for ; n < min(free.Slots(need), wanted); n++ {
			g.add(j, m, e.after.Seconds()*missing*missing)
			missing = 1
		}
	}
}

// taskEnd is when a task should end, and what it frees then.
type taskEnd struct {
	frees Resources
	after time.Duration
}

// endsOfTasks lists when the machine's tasks should end, the next first. Services do not end.
func (m *Machine) endsOfTasks() []taskEnd {
	if m.taskEnds == nil {
		m.taskEnds = make([]taskEnd, 0, len(m.Tasks))
		for _, t := range m.Tasks {
			if t.Stopping || t.Job.Shape != wire.Service {
				m.taskEnds = append(m.taskEnds, taskEnd{ResourcesOf(t.Job.Job), t.remaining()})
			}
		}
		slices.SortStableFunc(m.taskEnds, func(a, b taskEnd) int { return cmp.Compare(a.after, b.after) })
	}
	return m.taskEnds
}

// pickLeastWait picks slots for a gang, the soonest first, but for those that take longer than a
// boot where a machine can be rented. wait sums what there is to wait for.
func pickLeastWait(j *Job, from *slotList, boot float64) (picks []slot, wait float64) {
	from.sort()
	tasksByZone := maps.Clone(j.InZone)
	for _, s := range from.list {
		if len(picks) == len(j.Waiting) || boot > 0 && s.wait > boot {
			break
		}
		if zoneAllowed(j, tasksByZone, s.Zone) {
			tasksByZone[s.Zone]++
			picks = append(picks, s)
			wait += s.wait
		}
	}
	return picks, wait
}
