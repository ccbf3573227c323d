package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// slot is room for one task on a machine, with what there is to wait for: the seconds until
// it is free, less where a part of it is free already.
type slot struct {
	*Machine
	wait float64
}

// slotList collects slots, of which only so many are asked for in the end.
type slotList struct {
	list   []slot
	wanted int
	cutoff float64 // as far as there are enough better ones
}

func (s *slotList) add(next slot, all bool) {
	if next.wait >= s.cutoff {
		return
	}
	if s.list = append(s.list, next); all || len(s.list) < 4*s.wanted+64 {
		return
	}
	s.sort()
	s.list = s.list[:s.wanted]
	s.cutoff = s.list[s.wanted-1].wait
}

func (s *slotList) sort() {
	slices.SortStableFunc(s.list, func(a, b slot) int { return cmp.Compare(a.wait, b.wait) })
}

// futureSlots lists room for so many tasks on a machine as its tasks end, as far as their estimates can
// tell. What is free already of a slot counts more than when the rest will be: else it would
// be given up again for one that seems a little sooner.
func (pl *planner) futureSlots(need Resources, most int, m *Machine, add func(*Machine, float64)) {
	room := m.Free
	n := min(max(0, room.Slots(need)), most)
	for range n {
		add(m, 0)
	}
	missing := room.AddScaled(need, -float64(n)).shortfall(need)
	for _, e := range pl.taskEndsOf(m) {
		room = room.AddScaled(e.frees, 1)
		for ; n < min(room.Slots(need), most); n++ {
			add(m, e.after.Seconds()*missing*missing)
			missing = 1
		}
	}
}

// taskEnd is a task that will leave its room.
type taskEnd struct {
	frees Resources
	after time.Duration
}

// taskEndsOf lists the tasks of a machine that should end, the next first.
func (pl *planner) taskEndsOf(m *Machine) []taskEnd {
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
// boot where one can be had.
func pickLeastWait(j *Job, from *slotList, boot float64) (picks []slot, sum float64) {
	from.sort()
	in := maps.Clone(j.InZone)
	for _, s := range from.list {
		if len(picks) == len(j.Waiting) || boot > 0 && s.wait > boot {
			break
		}
		if zoneAllowed(j, in, s.Zone) {
			in[s.Zone]++
			picks = append(picks, s)
			sum += s.wait
		}
	}
	return picks, sum
}
