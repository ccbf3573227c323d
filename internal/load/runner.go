package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Runner generates load on a set of controllers.
type Runner struct {
	Mix          *Mix
	Addrs        []string // of the controllers
	JudgeAddr    string   // control address of the emulated cluster that judges the run; empty for none
	Prefix       string   // of job ids, to distinguish two runs
	Caller       *transport.Caller
	DrainTimeout time.Duration // for jobs that are not over when the last one was submitted

	history              answerHistory
	liveness             simulator.LivenessChecker // used without a judging cluster; it is never told that faults are over
	mu                   sync.Mutex
	classes              map[string]*ClassResult
	observations         []emulator.Observation
	jobs                 map[string]*trackedJob
	instructions         emulator.UserInstructions
	malformedSubmissions int // submissions so far that have to be refused
	instructionCounts    InstructionCounts
	openUsers            atomic.Int64
	sentJobs             atomic.Int64
}

// ClassResult is what happened to the jobs of a class. Times are in milliseconds, from when a job
// was due to be sent.
type ClassResult struct {
	Jobs      int            `json:"jobs"`
	Accepted  int            `json:"accepted"`
	Refused   int            `json:"refused"` // 400 or 422
	GivenUp   int            `json:"given_up"`
	Done      int            `json:"done"`
	Cancelled int            `json:"cancelled"`
	Accept    Times          `json:"accept_ms"`
	Start     Times          `json:"start_ms"`
	Finish    Times          `json:"finish_ms"`
	Statuses  map[string]int `json:"answers"` // by status, 0 for none

	accept, start, finish *hdrhistogram.Histogram
}

// Times summarises a histogram of milliseconds.
type Times struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// TimesOf summarises a histogram of milliseconds.
func TimesOf(h *hdrhistogram.Histogram) Times {
	return Times{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
}

// Result is the result of a run.
type Result struct {
	Classes      map[string]*ClassResult `json:"classes"`
	Open         []string                `json:"open"` // jobs that are not over
	Violations   []string                `json:"rules_broken"`
	SentLate     int                     `json:"sent_late"` // jobs that this program sent over 100 ms late
	Instructions InstructionCounts       `json:"ordered"`
}

// maxMillis is the largest value of a histogram, a day.
const maxMillis = 24 * 3600 * 1000 // ms

func (r *Runner) class(name string) *ClassResult {
	c := r.classes[name]
	if c == nil {
		c = &ClassResult{Statuses: map[string]int{}, accept: hdrhistogram.New(1, maxMillis, 3), start: hdrhistogram.New(1, maxMillis, 3), finish: hdrhistogram.New(1, maxMillis, 3)}
		r.classes[name] = c
	}
	return c
}

// updateClass changes the counts of a class.
func (r *Runner) updateClass(name string, change func(*ClassResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.class(name))
}

func record(h *hdrhistogram.Histogram, since time.Time) {
	_ = h.RecordValue(min(maxMillis, max(1, time.Since(since).Milliseconds())))
}

// reset forgets the jobs and results of an earlier run.
func (r *Runner) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes, r.jobs = make(map[string]*ClassResult), make(map[string]*trackedJob)
}

// Run submits the jobs of the mix, each at its time, and follows them until they are over.
// progress is called with how many were sent, how many there are, and how many are open.
func (r *Runner) Run(ctx context.Context, progress func(sent, all, open int)) (*Result, error) {
	r.reset()
	arrivals := r.Mix.Arrivals(r.Prefix)
	r.history.reset()
	stopJudging := r.startJudging(ctx)
	jobs, cancel := context.WithCancel(ctx)
	defer cancel()
	over, late := r.submitAll(jobs, arrivals, progress)
	r.awaitUsers(ctx, over, len(arrivals), progress)
	cancel()
	<-over
	stopJudging()
	return r.result(ctx, late)
}

// startJudging sends observations to the judging cluster, and follows its instructions, until
// the function that it returns is called. That waits until the last ones are sent.
func (r *Runner) startJudging(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { r.sendObservations(ctx) })
	group.Go(func() { r.followInstructions(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// maxSendDelay is how much later than due a job may be sent without being counted as late.
const maxSendDelay = 100 * time.Millisecond

// submitAll starts a user for each job at its time, until the context ends. It returns a
// channel that is closed when all users are done, and how many jobs were sent late.
func (r *Runner) submitAll(ctx context.Context, arrivals []Arrival, progress func(sent, all, open int)) (over <-chan struct{}, late int) {
	var users sync.WaitGroup
	begun := time.Now()
	for i, a := range arrivals {
		at := begun.Add(a.At)
		pause(ctx, time.Until(at))
		if ctx.Err() != nil {
			break
		}
		if time.Since(at) > maxSendDelay {
			late++
		}
		r.openUsers.Add(1)
		users.Go(func() {
			defer r.openUsers.Add(-1)
			r.runUser(ctx, i, &a, at)
		})
		progress(int(r.sentJobs.Add(1)), len(arrivals), int(r.openUsers.Load()))
	}
	done := make(chan struct{})
	go func() { users.Wait(); close(done) }()
	return done, late
}

// result returns the result of a run whose jobs are over or given up. The error is that of the
// judging cluster or of the context.
func (r *Runner) result(ctx context.Context, late int) (*Result, error) {
	res := &Result{Classes: r.classes, SentLate: late, Instructions: r.instructionCounts, Open: r.history.openJobs(), Violations: r.history.violations()}
	for _, c := range r.classes {
		c.Accept, c.Start, c.Finish = TimesOf(c.accept), TimesOf(c.start), TimesOf(c.finish)
	}
	if r.JudgeAddr == "" {
		res.Violations = append(res.Violations, r.liveness.Violations()...)
		return res, ctx.Err()
	}
	s, err := ClusterStatus(context.WithoutCancel(ctx), r.Caller, r.JudgeAddr)
	if err != nil {
		return res, err
	}
	res.Violations = append(res.Violations, s.Violations...)
	return res, ctx.Err()
}

func (r *Runner) awaitUsers(ctx context.Context, over <-chan struct{}, all int, progress func(sent, all, open int)) {
	until := time.After(r.DrainTimeout)
	for {
		select {
		case <-over:
			return
		case <-until:
			return
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
			progress(int(r.sentJobs.Load()), all, int(r.openUsers.Load()))
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// pollTimeout is how long users wait for the answer to a poll.
const pollTimeout = 2 * time.Second

// submitTimeout bounds how long a user tries to submit a job.
const submitTimeout = time.Minute

// runUser submits a job and follows it.
func (r *Runner) runUser(ctx context.Context, n int, arrival *Arrival, due time.Time) {
	j := arrival.Job
	r.updateClass(j.Class, func(c *ClassResult) { c.Jobs++ })
	r.recordObservation(emulator.Observation{Submitted: j})
	tracked := &trackedJob{firstController: n, job: j, body: wire.Encode(j)}
	accepted := false
	for try := 0; !accepted; try++ {
		status, _ := r.call(ctx, n+try, tracked, opSubmit)
		switch {
		case status == 200 || status == 201:
			accepted = true
			r.updateClass(j.Class, func(c *ClassResult) { c.Accepted++; record(c.accept, due) })
		case status == 400 || status == 422:
			r.updateClass(j.Class, func(c *ClassResult) { c.Refused++ })
			return
		case ctx.Err() != nil || time.Since(due) > submitTimeout:
			r.updateClass(j.Class, func(c *ClassResult) { c.GivenUp++ })
			return
		default:
			pause(ctx, time.Second)
		}
	}
	r.mu.Lock()
	r.jobs[j.ID] = tracked
	r.mu.Unlock()
	r.readConcurrently(ctx, tracked)
	r.follow(ctx, tracked, arrival, due)
	r.readConcurrently(ctx, tracked)
}

// follow polls a job until it is over, and cancels it if that is due.
func (r *Runner) follow(ctx context.Context, tracked *trackedJob, arrival *Arrival, due time.Time) {
	begun, started := time.Now(), false
	for try := 0; ctx.Err() == nil; try++ {
		pause(ctx, r.pollInterval(arrival, begun, started))
		op := opStatus
		if tracked.toldToCancel.Load() || arrival.CancelAfter > 0 && time.Since(begun) >= arrival.CancelAfter {
			op = opCancel
		}
		status, s := r.call(ctx, tracked.firstController+try, tracked, op)
		if status != 200 {
			continue
		}
		if !started && (s.Running > 0 || s.Done > 0 || s.Stage == wire.Done) {
			started = true
			r.updateClass(arrival.Job.Class, func(c *ClassResult) { record(c.start, due) })
		}
		if s.Stage.Final() {
			r.recordEnd(arrival.Job.Class, s.Stage, due)
			return
		}
	}
}

// Bounds of the time between two polls of a job.
const (
	maxPollBeforeStart  = time.Second
	minPollBeforeCancel = 50 * time.Millisecond
)

// pollInterval returns how long to wait until the next poll of a job that is followed since
// begun. It is shorter while the start or the cancellation of the job is due.
func (r *Runner) pollInterval(arrival *Arrival, begun time.Time, started bool) time.Duration {
	wait := r.Mix.PollInterval
	if !started {
		wait = min(wait, maxPollBeforeStart)
	}
	if arrival.CancelAfter > 0 {
		wait = min(wait, max(minPollBeforeCancel, arrival.CancelAfter-time.Since(begun)))
	}
	return wait
}

// recordEnd counts a job that is over.
func (r *Runner) recordEnd(class string, stage wire.Stage, due time.Time) {
	r.updateClass(class, func(c *ClassResult) {
		if stage == wire.Cancelled {
			c.Cancelled++
			return
		}
		c.Done++
		record(c.finish, due)
	})
}

// call makes a request to one of the controllers and records when it was made and answered.
func (r *Runner) call(ctx context.Context, n int, tracked *trackedJob, op opKind) (status int, s wire.JobStatus) {
	j, wait := tracked.job, 5*time.Second
	method, path, body := "POST", wire.PathJobs, tracked.body
	switch op {
	case opStatus:
		method, path, body, wait = "GET", path+"/"+j.ID, nil, pollTimeout
	case opCancel:
		path, body = path+"/"+j.ID+"/"+wire.CancelWord, []byte{}
		tracked.cancelRequested.Store(true)
	}
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	sent := r.history.now()
	resp, err := r.Caller.Call(call, r.Addrs[n%len(r.Addrs)], method, path, body)
	if err == nil {
		status = resp.Status
		_ = wire.Decode(resp.Body, &s)
	}
	back, asked := r.history.now(), tracked.cancelRequested.Load()
	r.history.add(j.ID, op, status, s.Stage, sent, back)
	r.updateClass(j.Class, func(c *ClassResult) { c.Statuses[fmt.Sprint(status)]++ })
	if ctx.Err() == nil && (status > 0 || op == opStatus) {
		r.recordObservation(emulator.Observation{Job: j.ID, Status: status, Stage: s.Stage, CancelRequested: asked, Poll: op == opStatus, SentNS: sent, AnsweredNS: back})
		r.liveness.ObserveAnswer(time.Now(), j.ID, status, s.Stage, asked, op == opStatus)
	}
	return status, s
}

func (r *Runner) recordObservation(t emulator.Observation) {
	if r.JudgeAddr == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations = append(r.observations, t)
}

// sendObservations sends what users did and were answered to the judging cluster, in order.
func (r *Runner) sendObservations(ctx context.Context) {
	for last := false; r.JudgeAddr != "" && !last; {
		pause(ctx, 50*time.Millisecond)
		last = ctx.Err() != nil
		for {
			r.mu.Lock()
			n := min(len(r.observations), 500)
			batch := slices.Clone(r.observations[:n])
			r.mu.Unlock()
			if n == 0 {
				break
			}
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
			resp, err := r.Caller.Call(call, r.JudgeAddr, "POST", emulator.PathObservations, wire.Encode(map[string]any{"told": batch}))
			cancel()
			if err != nil || resp.Status != 200 {
				break // the world is gone; the end says so
			}
			r.mu.Lock()
			r.observations = r.observations[n:]
			r.mu.Unlock()
		}
	}
}

// Names lists the classes in order.
func (res *Result) Names() (names []string) {
	for name := range res.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Print writes a result in readable form.
func (res *Result) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tjobs\taccepted\trefused\tgiven up\tdone\tcancelled\taccept p50\tp99 ms\tstart p50\tp99 ms\tfinish p50\tp99 ms\t")
	for _, name := range res.Names() {
		c := res.Classes[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, c.Jobs, c.Accepted, c.Refused, c.GivenUp, c.Done, c.Cancelled,
			c.Accept.P50, c.Accept.P99, c.Start.P50, c.Start.P99, c.Finish.P50, c.Finish.P99)
	}
	_ = t.Flush()
	for _, b := range res.Violations {
		fmt.Fprintln(out, "rule broken:", b)
	}
	for _, id := range res.Open {
		fmt.Fprintln(out, "not over:", id)
	}
	if o := res.Instructions; o != (InstructionCounts{}) {
		fmt.Fprintf(out, "by the world's faults %d jobs were cancelled, %d odd requests made and %d answers taken in close looks\n", o.Cancelled, o.MalformedRequests, o.ConcurrentReads)
	}
	if res.SentLate > 0 {
		fmt.Fprintf(out, "%d jobs were sent over 100 ms late: this machine is too slow for the load\n", res.SentLate)
	}
}
