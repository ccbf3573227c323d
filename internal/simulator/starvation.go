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

// starvationLimit is the time for which the users' rules allow a job to wait, while no fault is active,
// "while a machine that fits has room and its team is under its limit".
const starvationLimit = 90 * time.Second

// MachineState describes the free capacity of a machine and its tasks.
type MachineState struct {
	Machine, Type, Zone              string
	Spot                             bool
	FreeCPUs, FreeGPUs, FreeMemoryGB float64
	CacheGB                          float64 // size of the image cache; 0 for no limit
	Tasks                            []wire.TaskID
}

// StarvationChecker checks that no job waits while capacity for it is free. It does no I/O:
// samples of jobs and machines are passed in every few seconds.
//
// A job waits while none of its tasks is on any machine; a task that fetches its image counts as being
// on its machine. A machine has capacity for a task if the job allows its type, zone and pricing and
// its free resources suffice; a machine that is paused, partitioned or under notice has none. Capacity
// that is reserved for another job still counts as free, whatever that job's priority: a job that waits
// for its machines to boot must not keep others from work that would be finished by then, and capacity
// that has been free for 90 s is not about to be used.
//
// To avoid false positives, capacity counts only on machines that had it in all samples of the last
// 12 s, and such capacity has to exist throughout the 90 s: for one more task of an array or a service,
// for all tasks of a gang, in the zones that the job allows and within its team's limit in each sample.
type StarvationChecker struct {
	Limits map[string]TeamLimit // by team

	mu               sync.Mutex
	faultFreeSince   time.Time
	waitingJobs      map[string]*waitingJob
	violations       []string
	partiallyStarved []string
}

// waitingJob is the state of a job with tasks that are on no machine although there is capacity for them.
type waitingJob struct {
	since       time.Time
	nothingRuns bool             // none of its tasks is on a machine
	recentSlots []map[string]int // for each sample, for how many tasks each machine had capacity
	reported    bool
}

// stableSampleCount is the number of consecutive samples in which capacity has to be free to count.
const stableSampleCount = 5

// stableSlots returns for how many tasks each machine had capacity in all recent samples.
func (w *waitingJob) stableSlots() map[string]int {
	stable := maps.Clone(w.recentSlots[0])
	for _, slots := range w.recentSlots[1:] {
		for machine, n := range stable {
			stable[machine] = min(n, slots[machine])
		}
	}
	return stable
}

// PendingJob is a job that was accepted and has no final stage yet, with the state of its tasks.
type PendingJob struct {
	Job      *wire.Job
	Finished func(index int) bool // reports whether a task has completed
	Placed   map[int]string       // zone of each task that is on a machine, by index
}

// SetFaultFreeSince sets since when no fault has been active. The zero time means that a fault is active. It
// discards the state of waiting jobs.
func (c *StarvationChecker) SetFaultFreeSince(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultFreeSince, c.waitingJobs = since, nil
}

// IsFaultFree reports whether no fault is active at the given time.
func (c *StarvationChecker) IsFaultFree(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.faultFreeSince.IsZero() && !now.Before(c.faultFreeSince)
}

// Sample processes a sample of all machines with their free capacity, of the pending jobs, and of the
// resources that each team uses.
func (c *StarvationChecker) Sample(now time.Time, machines []MachineState, jobs []PendingJob, used map[string]TeamLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultFreeSince.IsZero() || now.Before(c.faultFreeSince) {
		return
	}
	previous := c.waitingJobs
	c.waitingJobs = make(map[string]*waitingJob)
	for _, pending := range jobs {
		needed, unplaced := pending.tasksNeeded(), pending.unplacedTasks()
		if unplaced < needed || c.Limits[pending.Job.Team].remainingTasks(used[pending.Job.Team], pending.Job) < needed {
			continue
		}
		waiting := pending.trackWaiting(now, machines, unplaced, needed, previous[pending.Job.ID])
		if waiting == nil {
			continue
		}
		c.waitingJobs[pending.Job.ID] = waiting
		if waited := now.Sub(waiting.since); waited >= starvationLimit && !waiting.reported {
			waiting.reported = true
			c.reportStarvation(pending, waiting, waited)
		}
	}
}

// unplacedTasks returns how many unfinished tasks of the job are not on a machine.
func (p *PendingJob) unplacedTasks() (n int) {
	for i := range p.Job.Tasks {
		if _, placed := p.Placed[i]; !placed && !p.Finished(i) {
			n++
		}
	}
	return n
}

// tasksNeeded returns how many tasks have to start together: all tasks of a gang, otherwise one.
func (p *PendingJob) tasksNeeded() int {
	if p.Job.Shape == wire.Gang {
		return p.Job.Tasks
	}
	return 1
}

// trackWaiting returns the state of a job for which machines have stable capacity, or nil if they have
// none. It continues the previous sample's state if there is one, the job waits in the same way (wholly
// or in part), and the capacity has been stable since.
func (p *PendingJob) trackWaiting(now time.Time, machines []MachineState, unplaced, needed int, previous *waitingJob) *waitingJob {
	slots, zones := map[string]int{}, map[string]string{}
	for _, m := range machines {
		if n := min(unplaced, m.taskSlots(p.Job)); n > 0 {
			slots[m.Machine], zones[m.Machine] = n, m.Zone
		}
	}
	waiting := &waitingJob{since: now, nothingRuns: len(p.Placed) == 0, recentSlots: []map[string]int{slots}}
	if previous != nil && previous.nothingRuns == waiting.nothingRuns {
		previous.recentSlots = append(previous.recentSlots, slots)
		previous.recentSlots = previous.recentSlots[max(0, len(previous.recentSlots)-stableSampleCount):]
		if fits(p.Job, needed, previous.stableSlots(), zones, p.Placed) {
			return previous
		}
	}
	if !fits(p.Job, needed, waiting.stableSlots(), zones, p.Placed) {
		return nil
	}
	return waiting
}

// reportStarvation records a job that has waited for too long: as a violation if none of its tasks is on
// a machine.
func (c *StarvationChecker) reportStarvation(p PendingJob, w *waitingJob, waited time.Duration) {
	job := p.Job
	text := fmt.Sprintf("left_waiting: %s (%s of %d, %s, %s, on %v) waits for %v while %v have room", job.ID, job.Shape, job.Tasks, job.Team, job.Priority, p.Placed, waited, w.stableSlots())
	if w.nothingRuns {
		c.violations = append(c.violations, text)
	} else {
		c.partiallyStarved = append(c.partiallyStarved, text)
	}
}

// epsilon is the tolerance for rounding errors in sums of resources.
const epsilon = 1e-6

// taskSlots returns the number of tasks of a job for which the machine has capacity.
func (m *MachineState) taskSlots(job *wire.Job) int {
	if m.Spot && !job.Spot || len(job.Types) > 0 && !slices.Contains(job.Types, m.Type) || job.Zone != "" && job.Zone != m.Zone || m.CacheGB > 0 && job.ImageGB > m.CacheGB {
		return 0
	}
	n := math.Inf(1)
	for _, resource := range [][2]float64{{m.FreeCPUs, job.CPUs}, {m.FreeGPUs, job.GPUs}, {m.FreeMemoryGB, job.MemoryGB}} {
		if resource[1] > 0 {
			n = min(n, math.Floor((resource[0]+epsilon)/resource[1]))
		}
	}
	return int(min(max(n, 0), wire.MaxTasks))
}

// fits reports whether the needed number of additional tasks of a job can start in the given slots, in
// accordance with the job's zone rules. placed holds the zones of the tasks that are on machines already.
func fits(job *wire.Job, needed int, slots map[string]int, zones map[string]string, placed map[int]string) bool {
	placedIn, freeIn := map[string]int{}, map[string]int{}
	for _, zone := range placed {
		placedIn[zone]++
	}
	for m, n := range slots {
		freeIn[zones[m]] += n
	}
	total, largest := 0, 0
	for zone, n := range freeIn {
		if job.Spread {
			n = min(n, max(0, (job.Tasks+1)/2-placedIn[zone]))
		}
		if job.OneZone && len(placedIn) > 0 && placedIn[zone] == 0 {
			n = 0
		}
		total, largest = total+n, max(largest, n)
	}
	if job.OneZone {
		return largest >= needed
	}
	return total >= needed
}

// Violations lists the jobs that waited too long while capacity was free.
func (c *StarvationChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// PartiallyStarved lists the jobs of which some tasks waited too long while others were on machines. No
// rule forbids that.
func (c *StarvationChecker) PartiallyStarved() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.partiallyStarved)
}
