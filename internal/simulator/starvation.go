package simulator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// starvationLimit is how long a job may wait by the users' rules, once no fault is active, "while
// a machine that fits has room and its team is under its limit".
const starvationLimit = 90 * time.Second

// MachineState is a machine's free capacity and its tasks.
type MachineState struct {
	Machine, Type, Zone              string
	Spot                             bool
	FreeCPUs, FreeGPUs, FreeMemoryGB float64 // that are free
	CacheGB                          float64 // 0 for any
	Tasks                            []wire.TaskID
}

// StarvationChecker checks that no job waits while capacity for it is free. It does no I/O:
// samples of jobs and machines are passed in every few seconds.
//
// A job waits while none of its tasks is on any machine; a fetching task counts as being there. A
// machine has capacity for a task if its type, zone and kind are allowed and its free resources
// suffice; a machine that is paused, partitioned or under notice has none. Capacity that is
// reserved for another job is no exception, whatever its priority: a job that waits for its
// machines to boot keeps nobody from work that would be done by then, and capacity that is free
// for 90 s is not about to be taken.
//
// To avoid false alarms, capacity counts only where the same machines had it in all samples of the
// last 12 s, and such capacity has to exist throughout the 90 s: for one more task of an array or
// a service, for all tasks of a gang, in the zones that the job allows and within its team's limit
// in each sample.
type StarvationChecker struct {
	Limits map[string]TeamLimit // of teams

	mu               sync.Mutex
	faultFreeSince   time.Time
	waitingJobs      map[string]*waitingJob
	violations       []string
	partiallyStarved []string
}

// waitingJob is a job with tasks that are on no machine although there has been capacity for them.
type waitingJob struct {
	since       time.Time
	nothingRuns bool             // none of its tasks is on a machine
	recentSlots []map[string]int // for how many tasks each machine had capacity, by sample
	reported    bool
}

// stableSampleCount is in how many samples capacity has to be free to count.
const stableSampleCount = 5

// stableSlots returns the capacity that was free in all recent samples.
func (w *waitingJob) stableSlots() map[string]int {
	out := maps.Clone(w.recentSlots[0])
	for _, slots := range w.recentSlots[1:] {
		for m, n := range out {
			out[m] = min(n, slots[m])
		}
	}
	return out
}

// PendingJob is a job as its users know it.
type PendingJob struct {
	Job      *wire.Job
	Finished func(index int) bool
	Placed   map[int]string // zones of its tasks that are on a machine, by index
}

// SetQuietSince sets since when no fault is active; a zero time means that there are faults.
func (r *StarvationChecker) SetQuietSince(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultFreeSince, r.waitingJobs = since, nil
}

// IsQuiet reports whether no fault is active.
func (r *StarvationChecker) IsQuiet(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.faultFreeSince.IsZero() && !now.Before(r.faultFreeSince)
}

// Sample processes the state of all machines, the jobs that are accepted and not over, and the
// teams' use.
func (r *StarvationChecker) Sample(now time.Time, machines []MachineState, jobs []PendingJob, used map[string]TeamLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faultFreeSince.IsZero() || now.Before(r.faultFreeSince) {
		return
	}
	before := r.waitingJobs
	r.waitingJobs = make(map[string]*waitingJob)
	for _, p := range jobs {
		need, missing := p.tasksNeeded(), p.unplacedTasks()
		if missing < need || r.Limits[p.Job.Team].remainingTasks(used[p.Job.Team], p.Job) < need {
			continue
		}
		w := p.trackWaiting(now, machines, missing, need, before[p.Job.ID])
		if w == nil {
			continue
		}
		r.waitingJobs[p.Job.ID] = w
		if waits := now.Sub(w.since); waits >= starvationLimit && !w.reported {
			w.reported = true
			r.reportStarvation(p, w, waits)
		}
	}
}

// unplacedTasks returns how many unfinished tasks of the job are on no machine.
func (p *PendingJob) unplacedTasks() (n int) {
	for i := range p.Job.Tasks {
		if _, on := p.Placed[i]; !on && !p.Finished(i) {
			n++
		}
	}
	return n
}

// tasksNeeded returns how many tasks have to start together: all of a gang, else one.
func (p *PendingJob) tasksNeeded() int {
	if p.Job.Shape == wire.Gang {
		return p.Job.Tasks
	}
	return 1
}

// trackWaiting returns the job's state if machines have stable capacity for it, or nil. It continues
// the state of the previous sample, if there is one and the job still waits for the same reason.
func (p *PendingJob) trackWaiting(now time.Time, machines []MachineState, missing, need int, previous *waitingJob) *waitingJob {
	slots, zones := map[string]int{}, map[string]string{}
	for _, m := range machines {
		if n := min(missing, m.taskSlots(p.Job)); n > 0 {
			slots[m.Machine], zones[m.Machine] = n, m.Zone
		}
	}
	w := &waitingJob{since: now, nothingRuns: len(p.Placed) == 0, recentSlots: []map[string]int{slots}}
	if previous != nil && previous.nothingRuns == w.nothingRuns {
		previous.recentSlots = append(previous.recentSlots, slots)
		previous.recentSlots = previous.recentSlots[max(0, len(previous.recentSlots)-stableSampleCount):]
		if fits(p.Job, need, previous.stableSlots(), zones, p.Placed) {
			return previous
		}
	}
	if !fits(p.Job, need, w.stableSlots(), zones, p.Placed) {
		return nil
	}
	return w
}

// reportStarvation records that a job has waited for too long.
func (r *StarvationChecker) reportStarvation(p PendingJob, w *waitingJob, waits time.Duration) {
	j := p.Job
	text := fmt.Sprintf("left_waiting: %s (%s of %d, %s, %s, on %v) waits for %v while %v have room", j.ID, j.Shape, j.Tasks, j.Team, j.Priority, p.Placed, waits, w.stableSlots())
	if w.nothingRuns {
		r.violations = append(r.violations, text)
	} else {
		r.partiallyStarved = append(r.partiallyStarved, text)
	}
}

// epsilon is the rounding error that sums of resources may have.
const epsilon = 1e-6

// taskSlots returns for how many tasks of a job a machine has capacity.
func (p *MachineState) taskSlots(j *wire.Job) int {
	if p.Spot && !j.Spot || len(j.Types) > 0 && !slices.Contains(j.Types, p.Type) || j.Zone != "" && j.Zone != p.Zone || p.CacheGB > 0 && j.ImageGB > p.CacheGB {
		return 0
	}
	n := math.Inf(1)
	for _, x := range [][2]float64{{p.FreeCPUs, j.CPUs}, {p.FreeGPUs, j.GPUs}, {p.FreeMemoryGB, j.MemoryGB}} {
		if x[1] > 0 {
			n = min(n, math.Floor((x[0]+epsilon)/x[1]))
		}
	}
	return int(min(max(n, 0), wire.MaxTasks))
}

// fits reports whether that many tasks of a job can run at once beside those that already do.
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

// Violations lists the jobs that waited while capacity was free.
func (r *StarvationChecker) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// PartiallyStarved lists the jobs of which some tasks waited while others ran. No rule covers
// these.
func (r *StarvationChecker) PartiallyStarved() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.partiallyStarved)
}
