package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// emulatedMachineType is the type of the hollow workers' machines.
const emulatedMachineType = "hollow"

const (
	maxTasksPerJob     = 32              // of an ordinary job
	urgentTaskDuration = 2 * time.Second // of an urgent one
	answerTimeout      = 5 * time.Second // for the answer to a submission
	submitTimeout      = time.Minute     // after which a job is not submitted any more
	maxHistogramMillis = 10 * 60 * 1000  // that a histogram holds
	histogramDigits    = 3               // digits of it
	maxInFlight        = 256             // submissions that are on their way
	submitPollInterval = 20 * time.Millisecond
)

// loadGenerator submit jobs and note when they start.
type loadGenerator struct {
	step    Point
	addrs   []string
	cluster *emulator.Cluster
	caller  *transport.Caller
	rng     *rand.Rand // of the one goroutine that makes jobs

	lastJobNumber, waitingTasks                   atomic.Int64 // jobs so far; tasks that were submitted and have not started
	acceptedJobs, failedSubmissions, startedTasks atomic.Int64
	inFlight                                      chan struct{}
	group                                         sync.WaitGroup

	mu                                                            sync.Mutex
	submittedAt                                                   map[string]time.Time // of jobs that have not started yet
	urgent                                                        map[string]bool      // of these
	acceptTimes, startTimes, urgentStartTimes, failoverStartTimes *hdrhistogram.Histogram
	leaderKilledAt                                                time.Time // urgent work that comes later is counted apart
}

func newLoadGenerator(step Point, seed uint64, caller *transport.Caller) *loadGenerator {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramMillis, histogramDigits) }
	return &loadGenerator{step: step, caller: caller, rng: rand.New(rand.NewPCG(seed, 1)), inFlight: make(chan struct{}, maxInFlight),
		submittedAt: map[string]time.Time{}, urgent: map[string]bool{}, acceptTimes: histogram(), startTimes: histogram(), urgentStartTimes: histogram(), failoverStartTimes: histogram()}
}

// recordDuration notes how long something has taken; the lock is held.
func recordDuration(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(maxHistogramMillis, max(1, took.Milliseconds())))
}

// taskStarted takes in that a task starts.
func (u *loadGenerator) taskStarted(t wire.TaskID) {
	u.startedTasks.Add(1)
	u.waitingTasks.Add(-1)
	u.mu.Lock()
	defer u.mu.Unlock()
	at, first := u.submittedAt[t.Job]
	if !first {
		return
	}
	u.recordStart(t.Job, at, time.Now())
	delete(u.submittedAt, t.Job)
	delete(u.urgent, t.Job)
}

// recordStart notes how long a job took to start; the lock is held.
func (u *loadGenerator) recordStart(job string, sent, now time.Time) {
	switch {
	case !u.urgent[job]:
		recordDuration(u.startTimes, now.Sub(sent))
	case !u.leaderKilledAt.IsZero() && !sent.Before(u.leaderKilledAt):
		recordDuration(u.failoverStartTimes, now.Sub(sent))
	default:
		recordDuration(u.urgentStartTimes, now.Sub(sent))
	}
}

// markLeaderKilled is called when the leader is killed.
func (u *loadGenerator) markLeaderKilled(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaderKilledAt = now
}

// recordUnstartedUrgentJobs counts urgent work that has not started as if it did now.
func (u *loadGenerator) recordUnstartedUrgentJobs(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for job := range u.urgent {
		u.recordStart(job, u.submittedAt[job], now)
	}
}

// newJob makes the next job of a team, in turn.
func (u *loadGenerator) newJob(tasks int, run time.Duration) *wire.Job {
	n := u.lastJobNumber.Add(1)
	return &wire.Job{ID: fmt.Sprintf("wk-%06d", n), Class: "ordinary", Team: teamName(int(n) % int(u.step[Teams])), Shape: wire.Array, Priority: wire.Normal, Tasks: tasks,
		CPUs: 1, GPUs: 1, MemoryGB: 4, Types: []string{emulatedMachineType}, Image: "img", ImageGB: 0.01, EstimateS: run.Seconds(), Spot: true}
}

func teamName(i int) string { return fmt.Sprintf("team-%04d", i) }

// taskCapacity is how many tasks the fleet has capacity for.
func (u *loadGenerator) taskCapacity() int { return int(u.step[Workers] * u.step[Tasks]) }

// taskDuration is how long a task takes, so that as many start a second as are asked for.
func (u *loadGenerator) taskDuration() time.Duration {
	return time.Duration(u.step[Workers] * u.step[Tasks] / u.step[Starts] * float64(time.Second))
}

// fillCapacity submits as much as the fleet has room for, of which as much ends each second as is to start.
func (u *loadGenerator) fillCapacity(ctx context.Context) {
	for left := u.taskCapacity(); left > 0 && ctx.Err() == nil; left -= maxTasksPerJob {
		run := time.Duration((0.05 + 0.95*u.rng.Float64()) * float64(u.taskDuration()))
		u.submit(ctx, u.newJob(min(left, maxTasksPerJob), run), false)
	}
}

// submitAtTargetRate has ordinary work come at the rate that is asked for, while no more waits than the
// fleet has room for.
func (u *loadGenerator) submitAtTargetRate(ctx context.Context) {
	begun, came := time.Now(), 0.0
	for ctx.Err() == nil {
		due := u.step[Starts] * time.Since(begun).Seconds()
		if due-came < maxTasksPerJob || u.waitingTasks.Load() > int64(u.taskCapacity()) {
			came = max(came, due-2*maxTasksPerJob) // what the service has no room for does not pile up here
			pause(ctx, submitPollInterval)
			continue
		}
		came += maxTasksPerJob
		u.submit(ctx, u.newJob(maxTasksPerJob, u.taskDuration()), false)
	}
}

// submitUrgentJobs has urgent work come, so many jobs a second.
func (u *loadGenerator) submitUrgentJobs(ctx context.Context, rate float64) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		j := u.newJob(1, urgentTaskDuration)
		j.Class, j.Priority = "urgent", wire.Production
		u.submit(ctx, j, true)
	}
}

// submit submits a job as a user does, beside others.
func (u *loadGenerator) submit(ctx context.Context, j *wire.Job, urgent bool) {
	select {
	case u.inFlight <- struct{}{}:
	case <-ctx.Done():
		return
	}
	u.mu.Lock()
	u.submittedAt[j.ID] = time.Now()
	if urgent {
		u.urgent[j.ID] = true
	}
	u.mu.Unlock()
	u.waitingTasks.Add(int64(j.Tasks))
	u.cluster.Observe([]emulator.Observation{{Submitted: j}})
	u.group.Go(func() {
		defer func() { <-u.inFlight }()
		u.submitUntilAccepted(ctx, j)
	})
}

// submitUntilAccepted submits a job until it is accepted.
func (u *loadGenerator) submitUntilAccepted(ctx context.Context, j *wire.Job) {
	begun, body := time.Now(), wire.Encode(j)
	for try := 0; ctx.Err() == nil && time.Since(begun) < submitTimeout; try++ {
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		resp, err := u.caller.Call(call, u.addrs[(len(u.addrs)+int(j.ID[len(j.ID)-1])+try+int(sent.UnixNano()/1000))%len(u.addrs)], "POST", wire.PathJobs, body)
		cancel()
		if err == nil && (resp.Status == 200 || resp.Status == 201) {
			u.recordAccepted(j, resp.Status, resp.Body, begun, sent)
			return
		}
		u.failedSubmissions.Add(1)
		pause(ctx, time.Second)
	}
}

// recordAccepted notes that a job was accepted.
func (u *loadGenerator) recordAccepted(j *wire.Job, status int, body []byte, begun, sent time.Time) {
	var s wire.JobStatus
	_ = wire.Decode(body, &s)
	u.cluster.Observe([]emulator.Observation{{Job: j.ID, Status: status, Stage: s.Stage, SentNS: sent.UnixNano(), AnsweredNS: time.Now().UnixNano()}})
	u.acceptedJobs.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	recordDuration(u.acceptTimes, time.Since(begun))
}

// pause waits for a while, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
