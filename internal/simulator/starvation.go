package simulator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// waitsInQuiet is for how long a job may wait by the users' rules, once all troubles are over,
// "while a machine that fits has room and its team is under its limit".
const waitsInQuiet = 90 * time.Second

// Place is a machine as it stands: what it is, what of it is free, and which tasks take the rest.
type Place struct {
	Machine, Type, Zone string
	Spot                bool
	CPUs, GPUs, Memory  float64 // that are free
	Cache               float64 // GB of images, 0 for any
	Tasks               []wire.TaskID
}

// Room judges whether jobs wait while there is room for them. It is pure: what it knows of jobs,
// machines and times comes in, every few seconds.
//
// A job waits while no task of it is on any machine, fetching ones counted. A machine has room for
// a task if its type, zone and kind are allowed and what its tasks leave free is enough; a machine
// that hangs, hears nothing or has a notice is none. The rule knows no exception for room that is
// kept for another job, whatever its priority: a job that waits for its machines to boot keeps
// nobody from work that would go by then, and what has room for 90 s is not about to be
// taken. To be never wrong, room counts only where the same machines have had it in all samples of the
// last 12 s (what becomes free is taken by another job sooner), and all 90 s through there must be
// such room: for one task more of an array or a service, for all tasks of a gang, in the zones
// that the job allows, and within what its team's limit leaves in each sample.
type Room struct {
	Limits map[string]Limit // of teams

	mu     sync.Mutex
	over   time.Time
	waits  map[string]*waiting
	broken []string
	partly []string
}

// waiting is a job with tasks that are nowhere while there has been room for them.
type waiting struct {
	since  time.Time
	idle   bool             // no task of it is anywhere
	recent []map[string]int // for how many tasks each machine had room in the last samples
	judged bool
}

// steadySamples is for how many samples room must be there to count.
const steadySamples = 5

// steady is what room there was in all of the last samples.
func (w *waiting) steady() map[string]int {
	out := maps.Clone(w.recent[0])
	for _, slots := range w.recent[1:] {
		for m, n := range out {
			out[m] = min(n, slots[m])
		}
	}
	return out
}

// Wants is a job as its users know it.
type Wants struct {
	Job      *wire.Job
	Finished func(index int) bool
	On       map[int]string // zones of its tasks that are somewhere, by index
}

// Over tells since when all troubles are over; a zero time means that there are some.
func (r *Room) Over(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over, r.waits = since, nil
}

// Quiet reports whether all troubles are over.
func (r *Room) Quiet(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.over.IsZero() && !now.Before(r.over)
}

// Sample takes in how machines stand, which jobs are accepted and not over, and what teams use.
func (r *Room) Sample(now time.Time, places []Place, jobs []Wants, used map[string]Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over.IsZero() || now.Before(r.over) {
		return
	}
	before := r.waits
	r.waits = make(map[string]*waiting)
	for _, w := range jobs {
		j := w.Job
		missing := 0
		for i := range j.Tasks {
			if _, on := w.On[i]; !on && !w.Finished(i) {
				missing++
			}
		}
		idle, need := len(w.On) == 0, 1
		if j.Shape == wire.Gang {
			need = j.Tasks
		}
		if missing < need || r.Limits[j.Team].left(used[j.Team], j) < need {
			continue
		}
		slots, zones := map[string]int{}, map[string]string{}
		for _, p := range places {
			if n := min(missing, p.slots(j)); n > 0 {
				slots[p.Machine], zones[p.Machine] = n, p.Zone
			}
		}
		k := &waiting{since: now, idle: idle, recent: []map[string]int{slots}}
		if b := before[j.ID]; b != nil && b.idle == idle {
			b.recent = append(b.recent, slots)
			if b.recent = b.recent[max(0, len(b.recent)-steadySamples):]; fits(j, need, b.steady(), zones, w.On) {
				k = b
			}
		}
		if !fits(j, need, k.steady(), zones, w.On) {
			continue
		}
		r.waits[j.ID] = k
		if waits := now.Sub(k.since); waits >= waitsInQuiet && !k.judged {
			k.judged = true
			text := fmt.Sprintf("left_waiting: %s (%s of %d, %s, %s, on %v) waits for %v while %v have room", j.ID, j.Shape, j.Tasks, j.Team, j.Priority, w.On, waits, k.steady())
			if idle {
				r.broken = append(r.broken, text)
			} else {
				r.partly = append(r.partly, text)
			}
		}
	}
}

// dust is what sums of amounts are wrong by.
const dust = 1e-6

// slots tells how many tasks of a job there is room for.
func (p *Place) slots(j *wire.Job) int {
	if p.Spot && !j.Spot || len(j.Types) > 0 && !slices.Contains(j.Types, p.Type) || j.Zone != "" && j.Zone != p.Zone || p.Cache > 0 && j.ImageGB > p.Cache {
		return 0
	}
	n := math.Inf(1)
	for _, x := range [][2]float64{{p.CPUs, j.CPUs}, {p.GPUs, j.GPUs}, {p.Memory, j.MemoryGB}} {
		if x[1] > 0 {
			n = min(n, math.Floor((x[0]+dust)/x[1]))
		}
	}
	return int(min(max(n, 0), wire.MaxTasks))
}

// fits reports whether so many tasks of a job have room at once beside those that it has.
func fits(j *wire.Job, need int, slots map[string]int, zones map[string]string, on map[int]string) bool {
	in, free := map[string]int{}, map[string]int{}
	for _, zone := range on {
		in[zone]++
	}
	for m, n := range slots {
		free[zones[m]] += n
	}
	sum, most := 0, 0
	for zone, n := range free {
		if j.Spread {
			n = min(n, max(0, (j.Tasks+1)/2-in[zone]))
		}
		if j.OneZone && len(in) > 0 && in[zone] == 0 {
			n = 0
		}
		sum, most = sum+n, max(most, n)
	}
	if j.OneZone {
		return most >= need
	}
	return sum >= need
}

// Broken lists the jobs that waited while there was room.
func (r *Room) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

// Partly lists the jobs of which some tasks did, while others ran. No rule speaks of these.
func (r *Room) Partly() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.partly)
}

// Place tells how the machine stands; ok is false while nothing can be started there.
func (w *Worker) Place() (p Place, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.spec
	p = Place{Machine: w.id, Type: w.typ, Zone: w.zone, Spot: w.spot, CPUs: s.CPUs, GPUs: s.GPUs, Memory: s.MemoryGB, Cache: s.CacheGB}
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[key]; t.State != wire.TaskEnded {
			p.Tasks = append(p.Tasks, t.ID)
			if t.job != nil {
				p.CPUs, p.GPUs, p.Memory = p.CPUs-t.job.CPUs, p.GPUs-t.job.GPUs, p.Memory-t.job.MemoryGB
			}
		}
	}
	return p, w.ctx.Err() == nil && w.notice.IsZero() && w.deaf == 0 && w.mute == 0 && time.Until(w.hangs) <= 0 && time.Since(w.answered) < w.lease
}

// samples is how often the machines are looked at.
const samples = 3 * time.Second

// Watch looks at a cloud's machines until the context ends.
func (c *Checker) Watch(ctx context.Context, cloud *Cloud) {
	for ctx.Err() == nil {
		wait(ctx, samples)
		if now := time.Now(); ctx.Err() == nil && c.Room.Quiet(now) {
			c.look(now, cloud)
		}
	}
}

func (c *Checker) look(now time.Time, cloud *Cloud) {
	var places []Place
	on := map[string]map[int]string{}
	put := func(t wire.TaskID, zone string) {
		if on[t.Job] == nil {
			on[t.Job] = map[int]string{}
		}
		on[t.Job][t.Index] = zone
	}
	cloud.Each(func(_ wire.ListedMachine, m Machine) {
		if w, is := m.(interface{ Place() (Place, bool) }); is {
			p, ok := w.Place()
			for _, t := range p.Tasks {
				put(t, p.Zone)
			}
			if ok {
				places = append(places, p)
			}
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, where := range c.places {
		for _, zone := range where {
			put(t, zone)
		}
	}
	used := map[string]Limit{}
	for id, tasks := range on {
		if j := c.submitted[id]; j != nil {
			u, n := used[j.Team], float64(len(tasks))
			used[j.Team] = Limit{u.CPUs + n*j.CPUs, u.GPUs + n*j.GPUs}
		}
	}
	var jobs []Wants
	for _, id := range slices.Sorted(maps.Keys(c.submitted)) {
		if c.told[id] == "" || c.told[id].Final() || c.asked[id] {
			continue
		}
		jobs = append(jobs, Wants{Job: c.submitted[id], On: on[id], Finished: func(i int) bool { return c.finished[wire.TaskID{Job: id, Index: i}] }})
	}
	c.Room.Sample(now, places, jobs, used)
}

// Over tells all measures since when all troubles are over; a zero time means that there are some.
func (c *Checker) Over(since time.Time) {
	c.Known.Over(since)
	c.Late.Over(since)
	c.Room.Over(since)
}

// Limit is what a team's tasks may use at once; 0 stands for any amount.
type Limit struct{ CPUs, GPUs float64 }

// left tells for how many tasks more of a job a limit leaves room.
func (l Limit) left(used Limit, j *wire.Job) int {
	n := math.Inf(1)
	for _, x := range [][3]float64{{l.CPUs, used.CPUs, j.CPUs}, {l.GPUs, used.GPUs, j.GPUs}} {
		if x[0] > 0 && x[2] > 0 {
			n = min(n, math.Floor((x[0]-x[1]+dust)/x[2]))
		}
	}
	return int(cmp.Or(min(max(n, 0), wire.MaxTasks), 0))
}
