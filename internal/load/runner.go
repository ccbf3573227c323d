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

// Runner generates the load of a mix on a set of controllers.
type Runner struct {
	Mix          *Mix
	Addrs        []string // of the controllers
	JudgeAddr    string   // control address of the emulated cluster that checks the run; empty for none
	Prefix       string   // prefix of job ids, which distinguishes different runs
	Caller       *transport.Client
	DrainTimeout time.Duration // how long to wait for open jobs after the last one was submitted

	history              answerHistory
	liveness             simulator.LivenessChecker // used without JudgeAddr; it is never told that all faults are lifted
	mu                   sync.Mutex
	classes              map[string]*ClassResult
	observations         []emulator.Observation // not yet sent to the emulated cluster
	jobs                 map[string]*trackedJob // accepted jobs by id
	instructions         emulator.UserInstructions
	malformedSubmissions int // submissions so far that the service has to refuse
	instructionCounts    InstructionCounts
	openUsers            atomic.Int64
	sentJobs             atomic.Int64
}

// ClassResult holds the results of the jobs of a class. Times are in milliseconds from when a job was due to be sent.
type ClassResult struct {
	Jobs      int            `json:"jobs"`
	Accepted  int            `json:"accepted"`
	Refused   int            `json:"refused"` // with status 400 or 422
	GivenUp   int            `json:"given_up"`
	Done      int            `json:"done"`
	Cancelled int            `json:"cancelled"`
	Accept    Times          `json:"accept_ms"`
	Start     Times          `json:"start_ms"`
	Finish    Times          `json:"finish_ms"`
	Statuses  map[string]int `json:"answers"` // number of responses by status; 0 stands for no response

	accept, start, finish *hdrhistogram.Histogram
}

// Times is a summary of a histogram of milliseconds.
type Times struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// TimesOf returns a summary of a histogram of milliseconds.
func TimesOf(h *hdrhistogram.Histogram) Times {
	return Times{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
}

// Result is the result of a run.
type Result struct {
	Classes      map[string]*ClassResult `json:"classes"`
	Open         []string                `json:"open"` // accepted jobs whose end was not observed
	Violations   []string                `json:"rules_broken"`
	SentLate     int                     `json:"sent_late"` // jobs that the load generator sent over 100 ms late
	Instructions InstructionCounts       `json:"ordered"`
}

// maxMillis is the largest value of a histogram: a day in milliseconds.
const maxMillis = 24 * 3600 * 1000

// class returns the result of a class, which it creates at the first call. The caller holds the lock.
func (r *Runner) class(name string) *ClassResult {
	c := r.classes[name]
	if c == nil {
		c = &ClassResult{Statuses: map[string]int{}, accept: hdrhistogram.New(1, maxMillis, 3), start: hdrhistogram.New(1, maxMillis, 3), finish: hdrhistogram.New(1, maxMillis, 3)}
		r.classes[name] = c
	}
	return c
}

// updateClass calls a function with the result of a class while it holds the lock.
func (r *Runner) updateClass(name string, change func(*ClassResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.class(name))
}

// record adds the time since a moment to a histogram.
func record(h *hdrhistogram.Histogram, since time.Time) {
	_ = h.RecordValue(min(maxMillis, max(1, time.Since(since).Milliseconds())))
}

// reset removes the jobs and results of an earlier run.
func (r *Runner) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes, r.jobs = make(map[string]*ClassResult), make(map[string]*trackedJob)
}

// Run submits each job of the mix at its time and follows the jobs until they end. It calls progress with the number of
// jobs that were sent, of all jobs, and of jobs that are open.
func (r *Runner) Run(ctx context.Context, progress func(sent, total, open int)) (*Result, error) {
	r.reset()
	arrivals := r.Mix.Arrivals(r.Prefix)
	r.history.start()
	stopJudging := r.startJudging(ctx)
	usersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done, late := r.submitAll(usersCtx, arrivals, progress)
	r.awaitUsers(ctx, done, len(arrivals), progress)
	cancel()
	<-done
	stopJudging()
	return r.result(ctx, late)
}

// startJudging starts to send observations to the emulated cluster that checks the run, and to follow its instructions.
// The returned function stops both after the remaining observations are sent.
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

// maxSendDelay is the delay after the due time above which a submission counts as late.
const maxSendDelay = 100 * time.Millisecond

// submitAll starts a user for each job at its time, until the context ends. It returns a channel that is closed when
// all users are done, and the number of jobs that were sent late.
func (r *Runner) submitAll(ctx context.Context, arrivals []Arrival, progress func(sent, total, open int)) (done <-chan struct{}, late int) {
	var users sync.WaitGroup
	startedAt := time.Now()
	for i, a := range arrivals {
		due := startedAt.Add(a.At)
		pause(ctx, time.Until(due))
		if ctx.Err() != nil {
			break
		}
		if time.Since(due) > maxSendDelay {
			late++
		}
		r.openUsers.Add(1)
		users.Go(func() {
			defer r.openUsers.Add(-1)
			r.runUser(ctx, i, &a, due)
		})
		progress(int(r.sentJobs.Add(1)), len(arrivals), int(r.openUsers.Load()))
	}
	usersDone := make(chan struct{})
	go func() { users.Wait(); close(usersDone) }()
	return usersDone, late
}

// result returns the result of a run once its users are done. The error is that of the emulated cluster that checks the
// run, or of the context.
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

// awaitUsers waits until all users are done, DrainTimeout has passed or the context ends.
func (r *Runner) awaitUsers(ctx context.Context, done <-chan struct{}, total int, progress func(sent, total, open int)) {
	timeout := time.After(r.DrainTimeout)
	for {
		select {
		case <-done:
			return
		case <-timeout:
			return
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
			progress(int(r.sentJobs.Load()), total, int(r.openUsers.Load()))
		}
	}
}

// pause waits for a duration or until the context ends.
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

// pollTimeout is how long a user waits for the response to a poll.
const pollTimeout = 2 * time.Second

// submitTimeout is the time after its due time at which a user gives up submitting a job.
const submitTimeout = time.Minute

// runUser submits a job, with retries at the other controllers, and follows it until it ends.
func (r *Runner) runUser(ctx context.Context, n int, arrival *Arrival, due time.Time) {
	j := arrival.Job
	r.updateClass(j.Class, func(c *ClassResult) { c.Jobs++ })
	r.recordObservation(emulator.Observation{Submitted: j})
	tracked := &trackedJob{firstController: n, job: j, body: wire.Encode(j)}
	accepted := false
	for attempt := 0; !accepted; attempt++ {
		status, _ := r.call(ctx, n+attempt, tracked, opSubmit)
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

// follow polls a job until it ends, and cancels it if that is due.
func (r *Runner) follow(ctx context.Context, tracked *trackedJob, arrival *Arrival, due time.Time) {
	acceptedAt, started := time.Now(), false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		pause(ctx, r.pollInterval(arrival, acceptedAt, started))
		op := opStatus
		if tracked.toldToCancel.Load() || arrival.Cancel > 0 && time.Since(acceptedAt) >= arrival.Cancel {
			op = opCancel
		}
		status, s := r.call(ctx, tracked.firstController+attempt, tracked, op)
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

// pollInterval returns the time until the next poll of a job. It is at most maxPollBeforeStart until the job has
// started, and ends early when a cancellation is due.
func (r *Runner) pollInterval(arrival *Arrival, acceptedAt time.Time, started bool) time.Duration {
	wait := r.Mix.PollInterval
	if !started {
		wait = min(wait, maxPollBeforeStart)
	}
	if arrival.Cancel > 0 {
		wait = min(wait, max(minPollBeforeCancel, arrival.Cancel-time.Since(acceptedAt)))
	}
	return wait
}

// recordEnd counts a job that has ended.
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

// call sends a request about a job to controller n and records it with its response and the times of both. The status
// is 0 if there was no response.
func (r *Runner) call(ctx context.Context, n int, tracked *trackedJob, op opKind) (status int, s wire.JobStatus) {
	j, timeout := tracked.job, 5*time.Second
	method, path, body := "POST", wire.PathJobs, tracked.body
	switch op {
	case opStatus:
		method, path, body, timeout = "GET", path+"/"+j.ID, nil, pollTimeout
	case opCancel:
		path, body = path+"/"+j.ID+"/"+wire.CancelPathSuffix, []byte{}
		tracked.cancelRequested.Store(true)
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := r.history.now()
	resp, err := r.Caller.Call(call, r.Addrs[n%len(r.Addrs)], method, path, body)
	if err == nil {
		status = resp.Status
		_ = wire.Decode(resp.Body, &s)
	}
	answered, cancelRequested := r.history.now(), tracked.cancelRequested.Load()
	r.history.add(j.ID, op, status, s.Stage, sent, answered)
	r.updateClass(j.Class, func(c *ClassResult) { c.Statuses[fmt.Sprint(status)]++ })
	if ctx.Err() == nil && (status > 0 || op == opStatus) {
		r.recordObservation(emulator.Observation{Job: j.ID, Status: status, Stage: s.Stage, CancelRequested: cancelRequested, Poll: op == opStatus, SentNS: sent, AnsweredNS: answered})
		r.liveness.ObserveAnswer(time.Now(), j.ID, status, s.Stage, cancelRequested, op == opStatus)
	}
	return status, s
}

// recordObservation queues an observation for the emulated cluster that checks the run, if there is one.
func (r *Runner) recordObservation(o emulator.Observation) {
	if r.JudgeAddr == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations = append(r.observations, o)
}

// sendObservations sends the queued observations to the emulated cluster that checks the run, in order. It returns
// after a last attempt once the context has ended.
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
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
			resp, err := r.Caller.Call(callCtx, r.JudgeAddr, "POST", emulator.PathObservations, wire.Encode(map[string]any{"told": batch}))
			cancel()
			if err != nil || resp.Status != 200 {
				break // retry later; if the emulated cluster is gone, result reports it
			}
			r.mu.Lock()
			r.observations = r.observations[n:]
			r.mu.Unlock()
		}
	}
}

// Names returns the names of the classes in alphabetical order.
func (res *Result) Names() (names []string) {
	for name := range res.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Print writes a result as text.
func (res *Result) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tjobs\taccepted\trefused\tgiven up\tdone\tcancelled\taccept p50\tp99 ms\tstart p50\tp99 ms\tfinish p50\tp99 ms\t")
	for _, name := range res.Names() {
		c := res.Classes[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, c.Jobs, c.Accepted, c.Refused, c.GivenUp, c.Done, c.Cancelled,
			c.Accept.P50, c.Accept.P99, c.Start.P50, c.Start.P99, c.Finish.P50, c.Finish.P99)
	}
	_ = t.Flush()
	for _, violation := range res.Violations {
		fmt.Fprintln(out, "rule broken:", violation)
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
