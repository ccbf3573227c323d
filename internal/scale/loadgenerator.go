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

// emulatedMachineType is the machine type of the emulated workers.
const emulatedMachineType = "hollow"

const (
	maxTasksPerJob     = 32              // tasks of an ordinary job
	urgentTaskDuration = 2 * time.Second // run time of the task of an urgent job
	answerTimeout      = 5 * time.Second // timeout of one submission request
	submitTimeout      = time.Minute     // a submission that is not accepted within this time is no longer retried
	maxHistogramMillis = 10 * 60 * 1000  // largest duration that a histogram records; longer ones count as this
	histogramDigits    = 3               // significant decimal digits of a histogram's values
	maxInFlight        = 256             // concurrent submissions
	submitPollInterval = 20 * time.Millisecond
)

// loadGenerator submits jobs as users do, and records how long they take to be accepted and to start.
type loadGenerator struct {
	step    Point
	addrs   []string
	cluster *emulator.Cluster
	caller  *transport.Client
	rng     *rand.Rand // used only by the goroutine that submits ordinary jobs

	lastJobNumber, waitingTasks                   atomic.Int64 // waitingTasks: submitted and not started
	acceptedJobs, failedSubmissions, startedTasks atomic.Int64
	inFlight                                      chan struct{}
	group                                         sync.WaitGroup

	mu                                                            sync.Mutex
	submittedAt                                                   map[string]time.Time // by the id of a job that has not started yet
	urgent                                                        map[string]bool      // the urgent ones of these jobs
	acceptTimes, startTimes, urgentStartTimes, failoverStartTimes *hdrhistogram.Histogram
	leaderKilledAt                                                time.Time // urgent jobs submitted later count in failoverStartTimes
}

func newLoadGenerator(step Point, seed uint64, caller *transport.Client) *loadGenerator {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramMillis, histogramDigits) }
	return &loadGenerator{step: step, caller: caller, rng: rand.New(rand.NewPCG(seed, 1)), inFlight: make(chan struct{}, maxInFlight),
		submittedAt: map[string]time.Time{}, urgent: map[string]bool{}, acceptTimes: histogram(), startTimes: histogram(), urgentStartTimes: histogram(), failoverStartTimes: histogram()}
}

// recordDuration adds a duration to a histogram. The caller holds the lock.
func recordDuration(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(maxHistogramMillis, max(1, took.Milliseconds())))
}

// taskStarted records the start of a task, and the start of its job if it is the first one.
func (g *loadGenerator) taskStarted(t wire.TaskID) {
	g.startedTasks.Add(1)
	g.waitingTasks.Add(-1)
	g.mu.Lock()
	defer g.mu.Unlock()
	submitted, first := g.submittedAt[t.Job]
	if !first {
		return
	}
	g.recordStart(t.Job, submitted, time.Now())
	delete(g.submittedAt, t.Job)
	delete(g.urgent, t.Job)
}

// recordStart records how long a job took to start. The caller holds the lock.
func (g *loadGenerator) recordStart(job string, submitted, now time.Time) {
	switch {
	case !g.urgent[job]:
		recordDuration(g.startTimes, now.Sub(submitted))
	case !g.leaderKilledAt.IsZero() && !submitted.Before(g.leaderKilledAt):
		recordDuration(g.failoverStartTimes, now.Sub(submitted))
	default:
		recordDuration(g.urgentStartTimes, now.Sub(submitted))
	}
}

// markLeaderKilled records that the leader was killed.
func (g *loadGenerator) markLeaderKilled(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderKilledAt = now
}

// close records urgent jobs that have not started as if they started now.
func (g *loadGenerator) close(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for job := range g.urgent {
		g.recordStart(job, g.submittedAt[job], now)
	}
}

// newJob returns the next job. Successive jobs belong to the teams in turn.
func (g *loadGenerator) newJob(tasks int, duration time.Duration) *wire.Job {
	n := g.lastJobNumber.Add(1)
	return &wire.Job{ID: fmt.Sprintf("wk-%06d", n), Class: "ordinary", Team: teamName(int(n) % int(g.step[Teams])), Shape: wire.Array, Priority: wire.Normal, Tasks: tasks,
		CPUs: 1, GPUs: 1, MemoryGB: 4, Types: []string{emulatedMachineType}, Image: "img", ImageGB: 0.01, EstimateS: duration.Seconds(), Spot: true}
}

func teamName(i int) string { return fmt.Sprintf("team-%04d", i) }

// taskCapacity returns the number of tasks that the fleet can run at once.
func (g *loadGenerator) taskCapacity() int { return int(g.step[Workers] * g.step[Tasks]) }

// taskDuration returns the run time of a task with which a full fleet starts tasks at the target rate.
func (g *loadGenerator) taskDuration() time.Duration {
	return time.Duration(g.step[Workers] * g.step[Tasks] / g.step[Starts] * float64(time.Second))
}

// fillCapacity submits as many tasks as the fleet can run. Their run times are spread uniformly from 5 to 100 % of
// taskDuration, so that tasks end at about the target rate of starts.
func (g *loadGenerator) fillCapacity(ctx context.Context) {
	for left := g.taskCapacity(); left > 0 && ctx.Err() == nil; left -= maxTasksPerJob {
		duration := time.Duration((0.05 + 0.95*g.rng.Float64()) * float64(g.taskDuration()))
		g.submit(ctx, g.newJob(min(left, maxTasksPerJob), duration), false)
	}
}

// submitAtTargetRate submits ordinary jobs at the step's rate of task starts. It pauses while more tasks wait than
// the fleet can run.
func (g *loadGenerator) submitAtTargetRate(ctx context.Context) {
	begun, submitted := time.Now(), 0.0
	for ctx.Err() == nil {
		due := g.step[Starts] * time.Since(begun).Seconds()
		if due-submitted < maxTasksPerJob || g.waitingTasks.Load() > int64(g.taskCapacity()) {
			submitted = max(submitted, due-2*maxTasksPerJob) // limits the backlog, so that no burst follows the pause
			pause(ctx, submitPollInterval)
			continue
		}
		submitted += maxTasksPerJob
		g.submit(ctx, g.newJob(maxTasksPerJob, g.taskDuration()), false)
	}
}

// submitUrgentJobs submits urgent jobs of one task at a rate in jobs per second.
func (g *loadGenerator) submitUrgentJobs(ctx context.Context, rate float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		j := g.newJob(1, urgentTaskDuration)
		j.Class, j.Priority = "urgent", wire.Production
		g.submit(ctx, j, true)
	}
}

// submit submits a job in the background. It blocks while maxInFlight submissions are in flight.
func (g *loadGenerator) submit(ctx context.Context, j *wire.Job, urgent bool) {
	select {
	case g.inFlight <- struct{}{}:
	case <-ctx.Done():
		return
	}
	g.mu.Lock()
	g.submittedAt[j.ID] = time.Now()
	if urgent {
		g.urgent[j.ID] = true
	}
	g.mu.Unlock()
	g.waitingTasks.Add(int64(j.Tasks))
	g.cluster.Observe([]emulator.Observation{{Submitted: j}})
	g.group.Go(func() {
		defer func() { <-g.inFlight }()
		g.submitUntilAccepted(ctx, j)
	})
}

// submitUntilAccepted retries the submission of a job until it is accepted, submitTimeout has passed or the context
// ends. Attempts go to different controllers.
func (g *loadGenerator) submitUntilAccepted(ctx context.Context, j *wire.Job) {
	begun, body := time.Now(), wire.Encode(j)
	for attempt := 0; ctx.Err() == nil && time.Since(begun) < submitTimeout; attempt++ {
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		resp, err := g.caller.Call(call, g.addrs[(len(g.addrs)+int(j.ID[len(j.ID)-1])+attempt+int(sent.UnixNano()/1000))%len(g.addrs)], "POST", wire.PathJobs, body)
		cancel()
		if err == nil && (resp.Status == 200 || resp.Status == 201) {
			g.recordAccepted(j, resp.Status, resp.Body, begun, sent)
			return
		}
		g.failedSubmissions.Add(1)
		pause(ctx, time.Second)
	}
}

// recordAccepted records that a job was accepted, and reports the answer to the emulated cluster, which checks it.
func (g *loadGenerator) recordAccepted(j *wire.Job, status int, body []byte, begun, sent time.Time) {
	var s wire.JobStatus
	_ = wire.Decode(body, &s)
	g.cluster.Observe([]emulator.Observation{{Job: j.ID, Status: status, Stage: s.Stage, SentNS: sent.UnixNano(), AnsweredNS: time.Now().UnixNano()}})
	g.acceptedJobs.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	recordDuration(g.acceptTimes, time.Since(begun))
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
