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
	wait float64 // seconds until the capacity is free, reduced if part of it is free already
}

// slotList collects slots and keeps at least the wanted number with the shortest waits.
type slotList struct {
	list   []slot
	wanted int     // number of slots needed
	cutoff float64 // slots with this wait or a longer one are not needed
}

// slotListFactor and slotListMargin determine how long a list may become, given the number of slots wanted, before it
// is sorted and truncated. Sorting it for each new slot would cost more than it saves.
const (
	slotListFactor = 4
	slotListMargin = 64
)

// add adds a slot unless there are enough better ones. If all is set, the list is never truncated.
func (l *slotList) add(s slot, all bool) {
	if s.wait >= l.cutoff {
		return
	}
	l.list = append(l.list, s)
	if all || len(l.list) < slotListFactor*l.wanted+slotListMargin {
		return
	}
	l.sort()
	l.list = l.list[:l.wanted]
	l.cutoff = l.list[l.wanted-1].wait
}

func (l *slotList) sort() {
	slices.SortStableFunc(l.list, func(a, b slot) int { return cmp.Compare(a.wait, b.wait) })
}

// gangSlots holds the slots for a gang: by zone if it must be in a single zone, else all under the job's zone.
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

// slotsByZone finds slots for a gang on booting and running machines.
func (pl *planner) slotsByZone(j *Job) gangSlots {
	slots, need := make(gangSlots), ResourcesOf(j.Job)
	allowed := make([]bool, len(pl.pool.offers))
	for i, offer := range pl.pool.offers {
		allowed[i] = allowsOffer(j, offer)
		if machineType := pl.pool.types[offer.Type]; machineType != nil && allowed[i] {
			slots.addBootingSlots(j, need, pl.pool.booting[i], machineType.BootS, pl.Doubtful[offer])
		}
	}
	for _, m := range pl.pool.usable {
		if allowed[m.offerIndex] && !j.avoids(m.ID) {
			slots.addFutureSlots(j, need, m)
		}
	}
	return slots
}

// addBootingSlots adds the slots on the booting machines of one offer. If the offer is doubtful, it skips machines that
// are only requested, since the cloud is unlikely to supply them.
func (g gangSlots) addBootingSlots(j *Job, need Resources, machines []*Machine, bootSeconds float64, doubtful bool) {
	for _, m := range machines {
		if m.ID == "" && doubtful {
			continue
		}
		for range min(m.Free.Slots(need), len(j.Waiting)) {
			g.add(j, m, bootSeconds)
		}
	}
}

// addFutureSlots adds the slots that a running machine has now and as its tasks end, according to their estimates.
// The wait for a slot of which a part is free already is multiplied by the square of the missing part: otherwise the
// reservation would move to another slot that seems to be free a little sooner.
func (g gangSlots) addFutureSlots(j *Job, need Resources, m *Machine) {
	free, wanted := m.Free, len(j.Waiting)
	n := min(max(0, free.Slots(need)), wanted)
	for range n {
		g.add(j, m, 0)
	}
	missing := free.AddScaled(need, -float64(n)).shortfall(need)
	for _, e := range m.expectedTaskEnds() {
		free = free.AddScaled(e.frees, 1)
		for ; n < min(free.Slots(need), wanted); n++ {
			g.add(j, m, e.after.Seconds()*missing*missing)
			missing = 1
		}
	}
}

// taskEnd is the time until a task should end, with the resources that it frees then.
type taskEnd struct {
	frees Resources
	after time.Duration
}

// expectedTaskEnds lists the expected ends of the machine's tasks, the earliest first. Services are included only
// if they are being stopped, since they do not end by themselves.
func (m *Machine) expectedTaskEnds() []taskEnd {
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

// pickLeastWait picks slots for a gang, the shortest wait first. Slots that take longer than bootSeconds, the boot time
// of a machine that can be rented, are left out; 0 means that none can be rented. wait is the sum of the waits of the
// picked slots.
func pickLeastWait(j *Job, slots *slotList, bootSeconds float64) (picks []slot, wait float64) {
	slots.sort()
	tasksByZone := maps.Clone(j.TasksByZone)
	for _, s := range slots.list {
		if len(picks) == len(j.Waiting) || bootSeconds > 0 && s.wait > bootSeconds {
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
