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

// emulatedType is the type of the hollow workers' machines.
const emulatedType = "hollow"

const (
	maxTasks      = 32              // of an ordinary job
	urgentRun     = 2 * time.Second // of an urgent one
	answerTimeout = 5 * time.Second // for the answer to a submission
	submitTimeout = time.Minute     // after which a job is not submitted any more
	maxMillis     = 10 * 60 * 1000  // that a histogram holds
	significant   = 3               // digits of it
	maxOpen       = 256             // submissions that are on their way
	idleGap       = 20 * time.Millisecond
)

// users submit jobs and note when they start.
type users struct {
	step    Point
	addrs   []string
	cluster *emulator.Cluster
	caller  *transport.Caller
	rng     *rand.Rand // of the one goroutine that makes jobs

	next, waiting             atomic.Int64 // jobs so far; tasks that were submitted and have not started
	submitted, refused, begun atomic.Int64
	open                      chan struct{}
	group                     sync.WaitGroup

	mu                         sync.Mutex
	sent                       map[string]time.Time // of jobs that have not started yet
	urgent                     map[string]bool      // of these
	accept, start, early, late *hdrhistogram.Histogram
	killed                     time.Time // urgent work that comes later is counted apart
}

func newUsers(step Point, seed uint64, caller *transport.Caller) *users {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMillis, significant) }
	return &users{step: step, caller: caller, rng: rand.New(rand.NewPCG(seed, 1)), open: make(chan struct{}, maxOpen),
		sent: map[string]time.Time{}, urgent: map[string]bool{}, accept: histogram(), start: histogram(), early: histogram(), late: histogram()}
}

// record notes how long something has taken; the lock is held.
func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(maxMillis, max(1, took.Milliseconds())))
}

// started takes in that a task starts.
func (u *users) started(t wire.TaskID) {
	u.begun.Add(1)
	u.waiting.Add(-1)
	u.mu.Lock()
	defer u.mu.Unlock()
	at, first := u.sent[t.Job]
	if !first {
		return
	}
	u.noteStart(t.Job, at, time.Now())
	delete(u.sent, t.Job)
	delete(u.urgent, t.Job)
}

// noteStart notes how long a job took to start; the lock is held.
func (u *users) noteStart(job string, sent, now time.Time) {
	switch {
	case !u.urgent[job]:
		record(u.start, now.Sub(sent))
	case !u.killed.IsZero() && !sent.Before(u.killed):
		record(u.late, now.Sub(sent))
	default:
		record(u.early, now.Sub(sent))
	}
}

// markLeaderKilled is called when the leader is killed.
func (u *users) markLeaderKilled(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.killed = now
}

// close counts urgent work that has not started as if it did now.
func (u *users) close(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for job := range u.urgent {
		u.noteStart(job, u.sent[job], now)
	}
}

// job makes the next job of a team, in turn.
func (u *users) job(tasks int, run time.Duration) *wire.Job {
	n := u.next.Add(1)
	return &wire.Job{ID: fmt.Sprintf("wk-%06d", n), Class: "ordinary", Team: teamName(int(n) % int(u.step[Teams])), Shape: wire.Array, Priority: wire.Normal, Tasks: tasks,
		CPUs: 1, GPUs: 1, MemoryGB: 4, Types: []string{emulatedType}, Image: "img", ImageGB: 0.01, EstimateS: run.Seconds(), Spot: true}
}

func teamName(i int) string { return fmt.Sprintf("team-%04d", i) }

// full is how many tasks the fleet has capacity for.
func (u *users) full() int { return int(u.step[Workers] * u.step[Tasks]) }

// run is how long a task takes, so that as many start a second as are asked for.
func (u *users) run() time.Duration {
	return time.Duration(u.step[Workers] * u.step[Tasks] / u.step[Starts] * float64(time.Second))
}

// fill submits as much as the fleet has room for, of which as much ends each second as is to start.
func (u *users) fill(ctx context.Context) {
	for left := u.full(); left > 0 && ctx.Err() == nil; left -= maxTasks {
		run := time.Duration((0.05 + 0.95*u.rng.Float64()) * float64(u.run()))
		u.submit(ctx, u.job(min(left, maxTasks), run), false)
	}
}

// keepComing has ordinary work come at the rate that is asked for, while no more waits than the
// fleet has room for.
func (u *users) keepComing(ctx context.Context) {
	begun, came := time.Now(), 0.0
	for ctx.Err() == nil {
		due := u.step[Starts] * time.Since(begun).Seconds()
		if due-came < maxTasks || u.waiting.Load() > int64(u.full()) {
			came = max(came, due-2*maxTasks) // what the service has no room for does not pile up here
			pause(ctx, idleGap)
			continue
		}
		came += maxTasks
		u.submit(ctx, u.job(maxTasks, u.run()), false)
	}
}

// keepUrgent has urgent work come, so many jobs a second.
func (u *users) keepUrgent(ctx context.Context, rate float64) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		j := u.job(1, urgentRun)
		j.Class, j.Priority = "urgent", wire.Production
		u.submit(ctx, j, true)
	}
}

// submit submits a job as a user does, beside others.
func (u *users) submit(ctx context.Context, j *wire.Job, urgent bool) {
	select {
	case u.open <- struct{}{}:
	case <-ctx.Done():
		return
	}
	u.mu.Lock()
	u.sent[j.ID] = time.Now()
	if urgent {
		u.urgent[j.ID] = true
	}
	u.mu.Unlock()
	u.waiting.Add(int64(j.Tasks))
	u.cluster.Observe([]emulator.Observation{{Submitted: j}})
	u.group.Go(func() {
		defer func() { <-u.open }()
		u.submitUntilAccepted(ctx, j)
	})
}

// submitUntilAccepted submits a job until it is accepted.
func (u *users) submitUntilAccepted(ctx context.Context, j *wire.Job) {
	begun, body := time.Now(), wire.Encode(j)
	for try := 0; ctx.Err() == nil && time.Since(begun) < submitTimeout; try++ {
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		resp, err := u.caller.Call(call, u.addrs[(len(u.addrs)+int(j.ID[len(j.ID)-1])+try+int(sent.UnixNano()/1000))%len(u.addrs)], "POST", wire.PathJobs, body)
		cancel()
		if err == nil && (resp.Status == 200 || resp.Status == 201) {
			u.accepted(j, resp.Status, resp.Body, begun, sent)
			return
		}
		u.refused.Add(1)
		pause(ctx, time.Second)
	}
}

// accepted notes that a job was accepted.
func (u *users) accepted(j *wire.Job, status int, body []byte, begun, sent time.Time) {
	var s wire.JobStatus
	_ = wire.Decode(body, &s)
	u.cluster.Observe([]emulator.Observation{{Job: j.ID, Status: status, Stage: s.Stage, SentNS: sent.UnixNano(), AnsweredNS: time.Now().UnixNano()}})
	u.submitted.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	record(u.accept, time.Since(begun))
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
