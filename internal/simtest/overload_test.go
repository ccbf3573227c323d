package simtest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// deployment is a number of controllers and the limits that the state service sets for all of them together.
type deployment struct {
	name   string
	count  int
	limits config.Store
}

// deployments returns the two deployments of the users, each with its limits and with half of them.
func deployments() (out []deployment) {
	for _, s := range []deployment{
		{"three", 3, config.Store{RPS: 250, WriteRPS: 25, ValueBytes: 16 << 10, TxnOps: 24}},
		{"five", 5, config.Store{RPS: 120, WriteRPS: 35, ValueBytes: 8 << 10, TxnOps: 20}},
	} {
		half := s
		half.name = "half of " + s.name
		half.limits.RPS, half.limits.WriteRPS, half.limits.TxnOps = s.limits.RPS/2, s.limits.WriteRPS/2, min(s.limits.TxnOps, int(s.limits.WriteRPS/2))
		out = append(out, s, half)
	}
	return out
}

// overloadJob is a job with its user, and the times at which it reached each stage.
type overloadJob struct {
	*client
	arrivedAt, acceptedAt, cancelRequestedAt, cancelConfirmedAt, startedAt, endedAt, endObservedAt time.Time
}

// overload is a simulation in which one-task jobs arrive at four a second for minutes; a quarter of
// them are cancelled.
type overload struct {
	*simulation
	*simulator.Checker
	jobRNG      *rand.Rand
	slowRNG     *rand.Rand
	mu          sync.Mutex
	jobsByID    map[string]*overloadJob
	jobsInOrder []*overloadJob
	keyCounts   []map[string]int // by kind, every five seconds
	heapBytes   []uint64         // heap in use, every minute
}

func (f *overload) job(job string) *overloadJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobsByID[job]
}

// TaskStarted implements simulator.Fixture.
func (f *overload) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	if d := f.job(t.Job); d.startedAt.IsZero() {
		d.startedAt = time.Now()
	}
	return f.Checker.TaskStarted(t, machine, typ, zone, spot)
}

// TaskCompleted implements simulator.Fixture. The job's user starts polling it 3 s later.
func (f *overload) TaskCompleted(t wire.TaskID) {
	f.Checker.TaskCompleted(t)
	d := f.job(t.Job)
	if !d.endedAt.IsZero() {
		return
	}
	d.endedAt = time.Now()
	f.group.Go(func() {
		time.Sleep(3 * time.Second)
		for f.ctx.Err() == nil && d.endObservedAt.IsZero() {
			asked := time.Now()
			if d.poll(f.reachableController(d)); f.Stage(t.Job).Final() {
				d.endObservedAt = asked
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// reachableController returns a random controller that is up, as a load balancer would.
func (f *overload) reachableController(d *overloadJob) int {
	for range 20 {
		if i := d.anyController(); !f.nodes[i].down.Load() {
			return i
		}
	}
	return 0
}

// addJob adds a user who submits a job, and cancels it after a delay unless that is zero.
func (f *overload) addJob(j *wire.Job, run, cancel time.Duration) {
	d := &overloadJob{client: f.client(j, rngOf(1, j.ID), run), arrivedAt: time.Now()}
	f.mu.Lock()
	f.jobsByID[j.ID], f.jobsInOrder = d, append(f.jobsInOrder, d)
	f.mu.Unlock()
	f.group.Go(func() {
		retryUntilAnswered := func(send func(controller int) int) time.Time {
			for f.ctx.Err() == nil && send(f.reachableController(d)) == 0 {
				time.Sleep(time.Second)
			}
			return time.Now()
		}
		d.acceptedAt = retryUntilAnswered(d.submit)
		if cancel > 0 {
			time.Sleep(cancel)
			d.cancelRequestedAt = time.Now()
			d.cancelConfirmedAt = retryUntilAnswered(d.cancel)
		}
		for f.ctx.Err() == nil && !f.Stage(j.ID).Final() {
			time.Sleep(5 * time.Second)
			d.poll(f.reachableController(d))
		}
	})
}

// generate submits jobs for the duration d.
func (f *overload) generate(d time.Duration) {
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		run := time.Duration(4000+f.jobRNG.IntN(8000)) * time.Millisecond
		cancel := time.Duration(0)
		if n%4 == 3 {
			cancel = time.Duration(1+f.jobRNG.IntN(10000)) * time.Millisecond
		}
		f.addJob(jobOf(fmt.Sprintf("wk-%06d", n), wire.Array, 1, run, func(j *wire.Job) { j.Image, j.Spot = fmt.Sprint("img-", n%3), n%2 == 0 }), run, cancel)
		time.Sleep(time.Duration(f.jobRNG.IntN(500)) * time.Millisecond)
	}
}

// sampleUsage records the number of keys every five seconds and the size of the heap every minute.
func (f *overload) sampleUsage() {
	for n := 0; f.ctx.Err() == nil; n++ {
		keys := map[string]int{}
		for kind, k := range f.verifyState().Kinds {
			keys[kind] = k.Keys
		}
		f.keyCounts = append(f.keyCounts, keys)
		if n%12 == 0 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			f.heapBytes = append(f.heapBytes, m.HeapAlloc)
		}
		time.Sleep(5 * time.Second)
	}
}

// newOverload starts the simulation of an overload.
func newOverload(t *testing.T, s deployment) *overload {
	w := newSimulationOf(t, s.count, 1, 0, func(c *config.Config) {
		c.Store, c.Tuning.History = s.limits, config.DefaultTuning().History
	})
	w.store.Configure(func(st *simulator.StateService) {
		st.Limits = simulator.StateLimits{RPS: s.limits.RPS, WriteRPS: s.limits.WriteRPS, ValueBytes: s.limits.ValueBytes, TxnOps: s.limits.TxnOps, RetainedChanges: 1000}
		st.ResponseDelay = normalStoreDelay
	})
	f := &overload{simulation: w, Checker: w.checker, jobRNG: rand.New(rand.NewPCG(1, 7)), slowRNG: rand.New(rand.NewPCG(1, 9)), jobsByID: map[string]*overloadJob{}}
	w.fixture = f
	w.reconfigureMachines(2*time.Second, func() time.Duration { return 0 })
	w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Capacity = 15 })
	return f
}

// normalStoreDelay is how long the state service takes to respond without a fault.
func normalStoreDelay() time.Duration { return 6 * time.Millisecond }

// overloadFaults are injected in the second minute of an overload. maxDelay bounds how much they may
// delay the responses that users wait for: the next leader starts once the lease has expired, and
// knows what runs after rebuildWait.
var overloadFaults = map[string]struct {
	apply    func(f *overload)
	maxDelay time.Duration
}{
	"calm": {func(*overload) {}, 0},
	"the leader changes twice": {func(f *overload) {
		for _, at := range []time.Duration{0, 50 * time.Second} {
			time.AfterFunc(at, func() { f.crash(f.anyLeader(), 3*time.Second, 0) })
		}
	}, 9*time.Second + 4*time.Second},
	"the state service is slow": {func(f *overload) {
		during(60*time.Second, func(on bool) {
			f.store.Configure(func(st *simulator.StateService) {
				if st.ResponseDelay = normalStoreDelay; on {
					st.ResponseDelay = func() time.Duration { return time.Duration(300+f.draw(f.slowRNG, 700)) * time.Millisecond }
				}
			})
		})
	}, 4 * time.Second}, // a read, a write, and the read and write before them
	"writes get no answer": {func(f *overload) {
		during(60*time.Second, func(on bool) {
			f.store.Configure(func(st *simulator.StateService) { st.LossShare = map[bool]float64{true: 0.3}[on] })
		})
	}, 10 * time.Second}, // some writes lose four replies, each of which takes 2.5 s
}

// run generates load for some minutes, and checks all bounds that follow from the settings.
func (f *overload) run(s deployment, faultName string, minutes int) {
	injected := overloadFaults[faultName]
	time.Sleep(10 * time.Second)
	f.pollGroup.Go(f.sampleUsage)
	token, start := f.lastFencingToken(), time.Now()
	_, changesBefore, _ := f.store.Counts()
	time.AfterFunc(time.Minute, func() { injected.apply(f) })
	f.generate(time.Duration(minutes) * time.Minute)
	_, changesAfter, _ := f.store.Counts()
	changeRate := float64(changesAfter-changesBefore) / time.Since(start).Seconds()
	time.Sleep(75 * time.Second) // all jobs have ended by then, and wait for 15 s at most to be compacted
	left := f.verifyState()
	f.declareQuiet()
	f.finish(3 * time.Minute)

	full := !strings.HasPrefix(s.name, "half")
	bounds := overloadBounds(full, injected.maxDelay)
	cancelled, ended := f.measure(bounds)
	f.checkBounds(bounds)
	// Checks that there was an overload: about four jobs a second, a quarter cancelled, most of the others done.
	n := len(f.jobsInOrder)
	f.t.Logf("%d jobs, %d cancelled, %d ended, %.1f of at most %v changes a second", n, cancelled, ended, changeRate, s.limits.WriteRPS)
	if n < minutes*60*7/2 || cancelled < n/5 || ended < n/2 {
		f.t.Errorf("%d jobs in %d minutes, %d cancelled, %d ended", n, minutes, cancelled, ended)
	}
	if strings.Contains(faultName, "leader") && f.lastFencingToken() < token+2 {
		f.t.Error("the leader did not change twice")
	}
	// Live jobs run for 12 s at most, and ended ones wait for 15 s at most to be compacted.
	jobLifetime := bounds["begun"].limit + 12*time.Second + 15*time.Second + injected.maxDelay
	f.checkKeys(s, full, int(4.5*jobLifetime.Seconds()), minutes, left)
	f.checkMemory(s, full, minutes)
	f.checkResults()
}

// overloadBound is the maximum time that a step may take, and the longest time that it took.
type overloadBound struct{ limit, worst time.Duration }

// overloadBounds returns how long users may wait for each step. full reports whether the state service
// has its normal limits, and maxDelay is how much the injected fault may delay users.
func overloadBounds(full bool, maxDelay time.Duration) map[string]overloadBound {
	const attempt = 5*time.Second + time.Second // a request without a response, and the pause before the next one
	bounds := map[string]overloadBound{
		"accepted":  {limit: writeTimeout + maxDelay},
		"cancelled": {limit: writeTimeout + maxDelay},
		// An array waits for capacity that other jobs free within the time of two boots, or for a machine to be
		// rented, to boot and to send its first heartbeat; and then it fetches its image.
		"begun": {limit: 3*5*time.Second + 4*time.Second + time.Second + maxDelay},
		"told":  {limit: 3*time.Second + maxDelay},
	}
	if maxDelay > 0 {
		for _, what := range []string{"accepted", "cancelled"} {
			b := bounds[what]
			b.limit += attempt
			bounds[what] = b
		}
	}
	if !full {
		b := bounds["told"] // a round may use the changes of one second to write what has accumulated
		b.limit += 4 * time.Second
		bounds["told"] = b
	}
	return bounds
}

// measure records the longest time of each step over all jobs in bounds, and counts the cancelled and ended jobs.
func (f *overload) measure(bounds map[string]overloadBound) (cancelled, ended int) {
	for _, d := range f.jobsInOrder {
		took := map[string]time.Duration{"accepted": d.acceptedAt.Sub(d.arrivedAt)}
		if !d.cancelConfirmedAt.IsZero() {
			took["cancelled"] = d.cancelConfirmedAt.Sub(d.cancelRequestedAt)
			cancelled++
		}
		if !d.startedAt.IsZero() {
			took["begun"] = d.startedAt.Sub(d.acceptedAt)
		}
		if !d.endObservedAt.IsZero() {
			took["told"] = d.endObservedAt.Sub(d.endedAt)
			ended++
		}
		for what, d := range took {
			b := bounds[what]
			b.worst = max(b.worst, d)
			bounds[what] = b
		}
	}
	return cancelled, ended
}

// checkBounds checks that no step took longer than its bound.
func (f *overload) checkBounds(bounds map[string]overloadBound) {
	for what, b := range bounds {
		f.t.Logf("%s after %v at most", what, b.worst.Round(10*time.Millisecond))
		if b.worst > b.limit {
			f.t.Errorf("%s after %v, want %v at most", what, b.worst, b.limit)
		}
	}
}

// checkKeys checks how many keys the state service held, and how many batches compaction has left.
func (f *overload) checkKeys(s deployment, full bool, maxBatches, minutes int, left archive.Report) {
	t, n, batches := f.t, len(f.jobsInOrder), 0
	for _, k := range f.keyCounts {
		batches = max(batches, k["batch"])
		if k["ledger"] > 8 || k["recent"] > 8 {
			t.Errorf("%d ledger segments and %d recent blocks, want 8 of each at most", k["ledger"], k["recent"])
		}
	}
	kept := 0
	if k := left.Kinds["batch"]; k != nil {
		kept = k.Keys
	}
	t.Logf("%d batches at most, %d left", batches, kept)
	switch {
	case full && (batches > maxBatches || kept > 0):
		t.Errorf("%d batches at most, %d left; want %d at most and none left", batches, kept, maxBatches)
	case !full: // jobs need more changes than the limits allow: compaction gets its share, and continues afterwards
		floor := s.limits.WriteRPS * (1/(2*float64(s.count)) + 0.5) / 8 * float64(minutes) * 60 / 2
		if compacted := n - batches; float64(compacted) < floor {
			t.Errorf("only %d of %d jobs were compacted under load, want %.0f", compacted, n, floor)
		}
		if kept > batches*3/4 {
			t.Errorf("%d of %d batches are left after 75 s", kept, batches)
		}
	}
}

// checkMemory checks that an hour of load takes less than a quarter of a controller's 200 MB.
func (f *overload) checkMemory(s deployment, full bool, minutes int) {
	if from, to := 3, minutes; full && to-from >= 2 && len(f.heapBytes) > to {
		growth := (float64(f.heapBytes[to]) - float64(f.heapBytes[from])) / float64(to-from) * 60 / float64(s.count)
		f.t.Logf("the heap grows by %.1f MB per hour and controller: %v", growth/1e6, f.heapBytes)
		if growth > 50e6 {
			f.t.Errorf("the heap grows by %.1f MB per hour and controller: %v", growth/1e6, f.heapBytes)
		}
	}
}

// writeTimeout is how long a controller retries a write that a user waits for.
const writeTimeout = 3500 * time.Millisecond

// TestOverload simulates overloads, each with one fault. AMBERDEAL_FLOODS sets their length in minutes and
// runs all deployments with all faults.
func TestOverload(t *testing.T) {
	minutes := 0
	fmt.Sscan(os.Getenv("AMBERDEAL_FLOODS"), &minutes)
	shortRun := map[string]string{"half of three": "the leader changes twice", "five": "the state service is slow"}
	for _, s := range deployments() {
		for _, faultName := range slices.Sorted(maps.Keys(overloadFaults)) {
			if minutes == 0 && shortRun[s.name] != faultName {
				continue
			}
			t.Run(s.name+", "+faultName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { newOverload(t, s).run(s, faultName, max(minutes, 2)) })
			})
		}
	}
}
