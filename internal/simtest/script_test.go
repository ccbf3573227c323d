package simtest

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// What days on which troubles meet are told with.

const stateHost, cloudHost = "10.2.0.1", "10.2.0.2"

// day is a day as it is told: what there is, what comes when, and what must have come about.
type day struct {
	seed  uint64
	count int                  // of controllers, 3 if it is 0
	set   func(*config.Config) // how they are set, if it matters
	begin func(w *world)       // users and jobs
	steps []step
	came  func(w *world) // says what has not come about, by w.t
	quiet time.Duration  // after it, before all that is left must end
}

// step is what comes so long after the day has begun, or when the one before it is over.
type step struct {
	at   time.Duration
	what string
	cast func(w *world)
}

// play plays a day, and has it judged.
func (d day) play(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := worldOfDoors(t, max(3, d.count), d.seed, d.set)
		start := time.Now()
		if d.begin != nil {
			d.begin(w)
		}
		for _, s := range d.steps {
			time.Sleep(time.Until(start.Add(s.at)))
			log(s.what)
			s.cast(w)
		}
		if d.came != nil {
			d.came(w)
		}
		log("quiet")
		w.close(d.quiet, 10*time.Minute)
	})
}

// close says that all troubles are over, and has the day judged once all jobs are.
func (w *world) close(quiet, patience time.Duration) {
	w.t.Helper()
	w.calm()
	time.Sleep(quiet)
	w.finish(patience)
	w.judge()
	if w.check.Started == 0 {
		w.t.Error("no task was started")
	}
}

// worldOfDoors is one in which each controller has a door of its own to the state service, so that
// one alone can be refused.
func worldOfDoors(t *testing.T, count int, seed uint64, set func(*config.Config)) *world {
	door := func(i int) string { return simulator.Address(stateHost, 2400+i) }
	w := newWorldOf(t, count, seed, 0, func(c *config.Config) {
		if c.StoreAddr = door(numberOf(c.Name)); set != nil {
			set(c)
		}
	})
	for i := range count {
		go w.net.Host(stateHost).Listen(w.ctx, door(i), 0, w.store.ServeTo(fmt.Sprint("c-", i)))
	}
	return w
}

// refuse has the state service refuse one controller alone, or serve it again.
func (w *world) refuse(i int, on bool) { w.store.Refuse(fmt.Sprint("c-", i), on) }

// numberOf is that of the controller of a name.
func numberOf(name string) int {
	n, _ := strconv.Atoi(name[2:])
	return n
}

// holder tells which controller holds a part by the state service, -1 for none.
func (w *world) holder(part string) int {
	if name := w.holders()[part]; name != "" {
		return numberOf(name)
	}
	return -1
}

// leader tells who holds the fleet, or a part of one that is divided.
func (w *world) leader() int {
	for _, part := range []string{"fleet", "a", "b"} {
		if i := w.holder(part); i >= 0 {
			return i
		}
	}
	return -1
}

// sever parts some controllers from hosts and from the other controllers, in the way that is given.
func (w *world) sever(how func(a, b string, on bool), on bool, hosts []string, cut ...int) {
	for k := range w.count {
		if !slices.Contains(cut, k) {
			hosts = append(slices.Clip(hosts), w.ip(k))
		}
	}
	for _, i := range cut {
		for _, host := range hosts {
			how(w.ip(i), host, on)
		}
	}
}

// cutOff severs a controller from the state service and its siblings, and cutPeers from these alone.
// Machines and users still reach it.
func (w *world) cutOff(i int, on bool)   { w.sever(w.net.Cut, on, []string{stateHost}, i) }
func (w *world) cutPeers(i int, on bool) { w.sever(w.net.Cut, on, nil, i) }

// apart loses all between some controllers on one side and the state service and the other controllers,
// also on the connections that are open.
func (w *world) apart(on bool, cut ...int) {
	w.sever(func(a, b string, on bool) {
		w.net.Lose(a, b, on)
		w.net.Lose(b, a, on)
	}, on, []string{stateHost}, cut...)
}

// upMachine is one that is up.
type upMachine struct {
	*simulator.Worker
	id, host string
}

// workers gives the machines that are up.
func (w *world) workers() (out []upMachine) {
	w.cloud.Each(func(l wire.ListedMachine, m simulator.Machine) {
		out = append(out, upMachine{m.(*simulator.Worker), l.ID, simulator.HostOf(l.Addr)})
	})
	return out
}

// machines says how often the machines that come up from now on report, and how late they
// get direct calls.
func (w *world) machines(report time.Duration, late func() time.Duration) {
	begin := w.machine(report, late)
	w.cloud.Fail(func(*simulator.CloudFaults) { w.cloud.Start = begin })
}

// deaf has machines be heard, and hear nothing, for a while, and gives them.
func deaf(d time.Duration, machines ...upMachine) []upMachine {
	for _, m := range machines {
		lasting(d, m.Deaf)
	}
	return machines
}

// deaf loses all that controllers send to hosts for a while: these find none any more, and what they
// send on connections that are open is heard.
func (w *world) deaf(hosts []string, d time.Duration) {
	for _, host := range hosts {
		for i := range w.count {
			lasting(d, func(on bool) { w.net.Lose(w.ip(i), host, on) })
		}
	}
}

// reach asks one controller something, as users do.
func (w *world) reach(i int, patience time.Duration, method, path string, body []byte) (*httpwire.Response, error) {
	caller := &transport.Caller{Limit: wire.MaxBody, Dial: w.net.Host("10.3.0.4").Dial}
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	return caller.Call(ctx, simulator.Address(w.ip(i), 8080), method, path, body)
}

// forever is how long tasks of services run.
const forever = 24 * time.Hour

// jobOf describes a job of the team blue, of which each task fits a quarter of a machine.
func jobOf(id string, shape wire.Shape, tasks int, run time.Duration, change ...func(*wire.Job)) *wire.Job {
	j := &wire.Job{ID: id, Class: "c", Team: "blue", Shape: shape, Priority: wire.Normal, Tasks: tasks, CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1, EstimateS: run.Seconds()}
	if shape == wire.Service {
		j.Priority, j.EstimateS = wire.Production, 0
	}
	for _, set := range change {
		set(j)
	}
	return j
}

// What jobs may be besides.
func red(j *wire.Job)     { j.Team = "red" }
func spread(j *wire.Job)  { j.Spread = true }
func oneZone(j *wire.Job) { j.OneZone = true }
func saves(j *wire.Job)   { j.CheckpointS, j.SaveS = 5, 1 }

// log prints what comes, if that is asked for.
func log(what ...any) {
	if os.Getenv("SIM_LOG") != "" {
		fmt.Fprintln(os.Stderr, append([]any{time.Now().Format("15:04:05.000"), "====="}, what...)...)
	}
}

// floor is what machines do as the checker sees it, and where and when, for troubles that come then.
type floor struct {
	*simulator.Checker
	mu    sync.Mutex
	quick time.Time                 // until when machines are up at once
	since map[string]time.Time      // when each of these came up
	at    map[wire.TaskID]string    // the machine that each task was on last
	ends  map[wire.TaskID]time.Time // when each ends, or has ended
	close time.Time                 // until when users look closely

	cancelled, looks, atOnce atomic.Int64 // jobs, questions, and tasks on machines that have just come up
}

func newFloor(c *simulator.Checker) *floor {
	return &floor{Checker: c, since: map[string]time.Time{}, at: map[wire.TaskID]string{}, ends: map[wire.TaskID]time.Time{}}
}

func (f *floor) up(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Before(f.quick) {
		f.since[machine] = now
	}
}

// quickly has machines be up at once for a while, and lookClosely has users look closely.
func (f *floor) quickly(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quick = time.Now().Add(d)
}

func (f *floor) lookClosely(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.close = time.Now().Add(d)
}

// On and Done implement standin.Ground.
func (f *floor) On(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	run, ok := f.Checker.On(t, machine, typ, zone, spot)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at[t], f.ends[t] = machine, time.Now().Add(run)
	if time.Since(f.since[machine]) < 4*time.Second { // it had to fetch
		f.atOnce.Add(1)
	}
	return run, ok
}

func (f *floor) Done(t wire.TaskID) {
	f.Checker.Done(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends[t] = time.Now()
}

// end tells when the last task of a job ends or has ended, as far as all have begun.
func (f *floor) end(j *wire.Job) (last time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range j.Tasks {
		at := f.ends[wire.TaskID{Job: j.ID, Index: i}]
		if at.IsZero() {
			return at, false
		}
		if last.Before(at) {
			last = at
		}
	}
	return last, true
}

// on tells whether a task of a job was on a machine last.
func (f *floor) on(machine string, j *wire.Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range j.Tasks {
		if f.at[wire.TaskID{Job: j.ID, Index: i}] == machine {
			return true
		}
	}
	return false
}

// client is the user of one job, or several who are about it at once. What they are told is judged.
type client struct {
	*world
	job   *wire.Job
	long  time.Duration // that one of its tasks runs, at the most
	luck  *rand.Rand    // of its own: others draw at the same moment
	asked atomic.Bool   // to cancel it
	vain  *atomic.Int64 // counts the requests that got no answer, if it is set
	known atomic.Int32  // what was told: 0 nothing, 1 that it is accepted, 2 that it is over
}

// client has a user come with a job, of which the tasks run so long, in turn.
func (w *world) client(j *wire.Job, luck *rand.Rand, runs ...time.Duration) *client {
	w.check.Submitted(j, runs[0])
	w.check.Uneven(j.ID, runs...)
	return &client{world: w, job: j, long: slices.Max(runs), luck: luck}
}

// luckOf is of a seed and a job's own.
func luckOf(seed uint64, job string) *rand.Rand {
	h := fnv.New64()
	_, _ = h.Write([]byte(job))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// ask asks one controller, has the answer judged, and gives its status, 0 for none. An answer may
// be older than one that was given while the question was on its way, not than one given before.
func (c *client) ask(i int, patience time.Duration, method, path string, body []byte) int {
	before, id := c.check.Stage(c.job.ID), c.job.ID
	resp, err := c.reach(i, patience, method, path, body)
	if err != nil || c.ctx.Err() != nil || resp.Status == 429 || resp.Status >= 500 {
		if c.vain != nil {
			c.vain.Add(1)
		}
		return 0
	}
	var s wire.JobStatus
	_ = wire.Decode(resp.Body, &s)
	if before == "" && resp.Status >= 400 || !before.Final() && c.check.Stage(id).Final() && !s.Stage.Final() {
		return resp.Status
	}
	if c.check.Told(id, resp.Status, s.Stage, c.asked.Load()); resp.Status >= 400 {
		c.t.Errorf("%s, which was %s, is answered %d at %d", id, before, resp.Status, i)
		return resp.Status
	}
	if is := map[bool]int32{false: 1, true: 2}[s.Stage.Final()]; c.known.Swap(is) < is && c.looksClosely() {
		c.group.Go(func() {
			if c.closely(2); is == 1 && c.draw(c.luck, 6) == 0 {
				c.until(c.cancel)
			}
		})
	}
	return resp.Status
}

func (w *world) looksClosely() bool {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	return time.Now().Before(w.floor.close)
}

// closely has users ask all controllers within milliseconds, some of them by submitting it again,
// and that so many times.
func (c *client) closely(times int) {
	var all sync.WaitGroup
	for range times {
		for i := range c.count {
			all.Go(func() {
				time.Sleep(time.Duration(c.draw(c.luck, 5000)) * time.Microsecond)
				if c.floor.looks.Add(1); c.draw(c.luck, 3) == 0 {
					c.submit(i)
				} else {
					c.look(i)
				}
			})
		}
		time.Sleep(time.Duration(c.draw(c.luck, 200)) * time.Millisecond)
	}
	all.Wait()
}

func (c *client) path() string { return wire.PathJobs + "/" + c.job.ID }

// submit, look and cancel ask one controller for that.
func (c *client) submit(i int) int {
	return c.ask(i, 5*time.Second, "POST", wire.PathJobs, wire.Encode(c.job))
}

func (c *client) look(i int) int { return c.ask(i, 2*time.Second, "GET", c.path(), nil) }

func (c *client) cancel(i int) int {
	c.asked.Store(true)
	return c.ask(i, 5*time.Second, "POST", c.path()+"/"+wire.CancelWord, []byte{})
}

// body gives the submission again, as it was or another of the same name.
func (c *client) body() []byte {
	other := *c.job
	switch c.draw(c.luck, 6) {
	case 0:
		other.Tasks, other.Team, other.CPUs = 90, "nobody", 1000
	case 1:
		other.Image = strings.Repeat("large", 3000)
	case 2:
		other.Shape = "none"
	}
	return wire.Encode(&other)
}

// any is a controller, as a balancer picks it.
func (c *client) any() int { return c.draw(c.luck, c.count) }

// until asks whichever controllers until one answers.
func (c *client) until(ask func(i int) int) int {
	for c.ctx.Err() == nil {
		if status := ask(c.any()); status > 0 {
			return status
		}
		time.Sleep(time.Second)
	}
	return 0
}

// submitter is a user who submits a job some time after the day has begun, asks about it, and may
// cancel it at another time if that is not 0, each through whichever controller the balancer
// picks. Once it is over it asks them all.
func (w *world) submitter(seed uint64, j *wire.Job, submit, cancel time.Duration, runs ...time.Duration) *client {
	c, start := w.client(j, luckOf(seed, j.ID), runs...), time.Now()
	w.group.Go(func() {
		time.Sleep(submit)
		if status := c.until(c.submit); status != 200 && status != 201 && w.ctx.Err() == nil {
			w.t.Errorf("%s was answered %d", j.ID, status)
			return
		}
		w.follow(j.ID)
		for w.ctx.Err() == nil && !w.check.Stage(j.ID).Final() {
			if left := cancel - time.Since(start); cancel > 0 && left < 3*time.Second {
				time.Sleep(left)
				if c.until(c.cancel) == 200 {
					w.floor.cancelled.Add(1)
				}
				continue
			}
			time.Sleep(2*time.Second + time.Duration(c.draw(c.luck, 2000))*time.Millisecond)
			c.look(c.any())
		}
		for range 8 { // what was told stays so, whoever is asked
			time.Sleep(time.Duration(c.draw(c.luck, 8000)) * time.Millisecond)
			c.look(c.any())
		}
		if c.until(c.submit); c.asked.Load() { // a late retry finds the final state
			c.until(c.cancel)
		}
	})
	return c
}
