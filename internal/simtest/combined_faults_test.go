package simtest

import (
	"fmt"
	"maps"
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
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// mishap is a trouble that lasts from least to most; one that has no length is over at once.
type mishap struct {
	name        string
	least, most time.Duration
	cast        func(m *meeting, d time.Duration)
}

// bounds are the times that rules rest on in a world of stand-ins: how long an answer is waited
// for, when a machine is silent, the age of what a holder knows, its lease, the workers' lease, the
// longest that a holder answers unconfirmed and the lease after that, and cancel_s.
var bounds = []time.Duration{2 * time.Second, 4 * time.Second, 5750 * time.Millisecond, 8 * time.Second, 9 * time.Second, workerLease, 40 * time.Second, 45 * time.Second}

// near draws a time around one of the bounds, between two others.
func near(luck *rand.Rand, least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	d := bounds[luck.IntN(len(bounds))] + time.Duration(luck.IntN(1600)-800)*time.Millisecond
	if d < least || d > most {
		d = least + time.Duration(luck.Int64N(int64(most-least)))
	}
	return d
}

// meeting is a day on which one trouble meets another.
type meeting struct {
	*world
	number uint64
	luck   *rand.Rand
	bad    int          // the controller that troubles are about
	kept   atomic.Int64 // reports that came to the next leader
	mu     sync.Mutex
	all    []*client
}

func (m *meeting) badIP() string { return m.ip(m.bad) }

// comes has a user come, who is one of all users then.
func (m *meeting) comes(j *wire.Job, submit, cancel time.Duration, runs ...time.Duration) {
	c := m.submitter(m.number, j, submit, cancel, runs...)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, c)
}

func (m *meeting) users() []*client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.all)
}

// aim picks whom troubles are about: mostly who holds something.
func (m *meeting) aim() {
	m.bad = m.luck.IntN(m.count)
	if m.luck.IntN(4) > 0 {
		for _, part := range []string{"fleet", "a", "b"} {
			if i := m.holder(part); i >= 0 && (part != "a" || m.luck.IntN(2) == 0) {
				m.bad = i
			}
		}
	}
}

// some gives some of the machines that are up: one, half, or all.
func (m *meeting) some() (out []upMachine) {
	share := m.luck.IntN(3)
	for i, x := range m.workers() {
		if share == 0 && i == 0 || share == 1 && i%2 == 0 || share == 2 {
			out = append(out, x)
		}
	}
	return out
}

// machineHosts are those of all machines, also of those that are yet to come.
func machineHosts() (hosts []string) {
	for n := range 60 {
		hosts = append(hosts, fmt.Sprintf("10.1.0.%d", n+1))
	}
	return hosts
}

const (
	blink = 50 * time.Millisecond
	sec   = time.Second
)

// mishaps are all troubles that meet each other.
var mishaps = []mishap{
	{"a controller is killed and back at once", 0, 0, func(m *meeting, _ time.Duration) { m.crash(m.bad, soon(m.luck), held(m.luck)) }},
	{"a controller is killed and back later", 1 * sec, 30 * sec, func(m *meeting, d time.Duration) { m.crash(m.bad, d, 0) }},
	{"all are killed and back at once", 0, 0, func(m *meeting, _ time.Duration) {
		late := held(m.luck)
		for _, i := range m.luck.Perm(m.count) {
			m.group.Go(func() { m.crash(i, blink+time.Duration(i)*70*time.Millisecond, late) })
		}
	}},
	{"all are killed and back later", 1 * sec, 30 * sec, func(m *meeting, d time.Duration) {
		for _, i := range m.luck.Perm(m.count) {
			m.crash(i, d, 0)
		}
	}},
	{"all are rolled", 6 * sec, 20 * sec, func(m *meeting, d time.Duration) {
		for _, i := range m.luck.Perm(m.count) {
			m.crash(i, soon(m.luck), 0)
			time.Sleep(d / time.Duration(m.count))
		}
	}},
	{"a controller stands still", 1 * sec, 50 * sec, func(m *meeting, d time.Duration) { m.net.Still(m.badIP(), d) }},
	{"all stand still", 1 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		for i := range m.count {
			m.net.Still(m.ip(i), d)
		}
	}},
	{"a controller is slow", 5 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		ip, most, steps := m.badIP(), 100+m.luck.IntN(1400), rand.New(rand.NewPCG(m.luck.Uint64(), 7))
		m.net.Slow(ip, func() time.Duration { return time.Duration(m.draw(steps, most)) * time.Millisecond })
		time.AfterFunc(d, func() { m.net.Slow(ip, nil) })
	}},
	{"two processes of one name", 50 * time.Millisecond, 6 * sec, func(m *meeting, d time.Duration) { m.twin(m.bad, d, held(m.luck)) }},
	{"a controller is refused by the state service", 2 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		i := m.bad
		lasting(d, func(on bool) { m.refuse(i, on) })
	}},
	{"a controller is cut from the state service", 2 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		ip := m.badIP()
		lasting(d, func(on bool) { m.net.Cut(ip, stateHost, on) })
	}},
	{"a controller and the state service don't hear each other", 2 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		ip, both := m.badIP(), m.luck.IntN(2) == 0
		lasting(d, func(on bool) {
			m.net.Lose(stateHost, ip, on)
			m.net.Lose(ip, stateHost, on && both)
		})
	}},
	{"a controller is cut from the state service and its siblings", 2 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		i := m.bad
		lasting(d, func(on bool) { m.cutOff(i, on) })
	}},
	{"a controller is refused by the state service and cut from its siblings", 2 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		i := m.bad
		lasting(d, func(on bool) {
			m.refuse(i, on)
			m.cutPeers(i, on)
		})
	}},
	{"a controller is cut from its siblings", 2 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		i := m.bad
		lasting(d, func(on bool) { m.cutPeers(i, on) })
	}},
	{"a controller is cut from the machines", 2 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		ip := m.badIP()
		in, out := m.luck.IntN(3) > 0, m.luck.IntN(3) > 0
		lasting(d, func(on bool) {
			for _, host := range machineHosts() {
				m.net.Lose(host, ip, on && (in || !out))
				m.net.Lose(ip, host, on && out)
			}
		})
	}},
	{"what a controller sends is held up", 1 * sec, 40 * sec, func(m *meeting, d time.Duration) { m.net.Hold(m.badIP(), d) }},
	{"what controllers send to machines is held up", 1 * sec, 40 * sec, func(m *meeting, d time.Duration) {
		for i := range m.count {
			m.net.HoldTo(m.ip(i), func(peer string) bool { return strings.HasPrefix(peer, "10.1.") }, d)
		}
	}},
	{"what the state service sends to a controller is held up", 1 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		ip, all := m.badIP(), m.luck.IntN(3) == 0
		m.net.HoldTo(stateHost, func(peer string) bool { return all || peer == ip }, d)
	}},
	{"the state service is out for a while", 1 * sec, 20 * sec, func(m *meeting, d time.Duration) { lasting(d, m.store.Outage) }},
	{"the state service is out for longer than cancel_s", 46 * sec, 70 * sec, func(m *meeting, d time.Duration) { lasting(d, m.store.Outage) }},
	{"the state service is slow", 5 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		most, steps := 200+m.luck.IntN(4000), rand.New(rand.NewPCG(m.luck.Uint64(), 7))
		lasting(d, func(on bool) {
			m.store.Stage(func(s *simulator.Store) {
				if s.Delay = nil; on {
					s.Delay = func() time.Duration { return time.Duration(m.draw(steps, most)) * time.Millisecond }
				}
			})
		})
	}},
	{"writes are late", 5 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		share := []float64{0.1, 0.3, 0.6, 1}[m.luck.IntN(4)]
		lasting(d, func(on bool) { m.store.Stage(func(s *simulator.Store) { s.Later = map[bool]float64{true: share}[on] }) })
	}},
	{"writes get no answer", 5 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		lasting(d, func(on bool) { m.store.Stage(func(s *simulator.Store) { s.Lossy = map[bool]float64{true: 0.4}[on] }) })
	}},
	{"the state service forgets its changes", 2 * sec, 10 * sec, func(m *meeting, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(700 * time.Millisecond) {
			m.store.Forget()
		}
	}},
	{"reports are late", 5 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		m.echo.Share([]float64{0.1, 0.5, 1}[m.luck.IntN(3)])
		time.AfterFunc(d, func() { m.echo.Share(0) })
	}},
	{"machines are deaf", 2 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		deaf(d, m.some()...)
	}},
	{"machines are cut off", 2 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		for _, x := range m.some() {
			lasting(d, func(on bool) { m.net.Down(x.host, on) })
		}
	}},
	{"what machines send is held up", 1 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		for _, x := range m.some() {
			m.net.Hold(x.host, d)
		}
	}},
	{"machines can only be called", 2 * sec, 40 * sec, func(m *meeting, d time.Duration) {
		for _, x := range m.some() {
			lasting(d, func(on bool) { m.net.Mute(x.host, on) })
		}
	}},
	{"machines hang", 2 * sec, 30 * sec, func(m *meeting, d time.Duration) {
		for _, x := range m.some() {
			x.Hang(d)
		}
	}},
	{"machines reboot", 0, 0, func(m *meeting, _ time.Duration) {
		for _, x := range m.some() {
			m.reboot(x.id, x.host, x, m.luck)
		}
	}},
	{"machines die", 0, 0, func(m *meeting, _ time.Duration) {
		for _, x := range m.some() {
			m.cloud.Die(x.id)
		}
	}},
	{"a zone is dark", 2 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		zone := []string{"a", "b"}[m.luck.IntN(2)]
		lasting(d, func(on bool) { m.net.Apart(zone, on) })
	}},
	{"spot machines are taken", 10 * sec, 10 * sec, func(m *meeting, d time.Duration) {
		notice := []time.Duration{0, 3 * sec, d}[m.luck.IntN(3)]
		m.cloud.Each(func(l wire.ListedMachine, _ simulator.Machine) {
			if l.Spot {
				m.cloud.TakeBack(l.ID, notice)
			}
		})
	}},
	{"the cloud is in trouble", 5 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		change := []func(f *simulator.CloudFaults){
			func(f *simulator.CloudFaults) { f.Trouble = true },
			func(f *simulator.CloudFaults) { f.Fewer = 1 },
			func(f *simulator.CloudFaults) { f.Late = 8 * sec },
			func(f *simulator.CloudFaults) { f.NeverUp = 0.5 },
		}[m.luck.IntN(4)]
		m.cloud.Fail(change)
		time.AfterFunc(d, func() { m.cloud.Fail(func(f *simulator.CloudFaults) { *f = simulator.CloudFaults{} }) })
	}},
	{"writes are taken, their answers lost", 10 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		share, of, steps := []int{30, 60, 100}[m.luck.IntN(3)], m.luck.IntN(3), rand.New(rand.NewPCG(m.luck.Uint64(), 7))
		kind := []string{"", "ledger/", "batch/"}[of]
		lasting(d, func(on bool) {
			m.store.Stage(func(s *simulator.Store) {
				if s.Meets, s.Took = nil, nil; !on {
					return
				}
				lost := false
				s.Meets = func(puts map[string]wire.Raw) simulator.Fate {
					lost = false
					for key := range puts {
						lost = lost || strings.HasPrefix(key, store.Root+kind)
					}
					if lost = lost && m.draw(steps, 100) < share; lost {
						return simulator.Taken
					}
					return simulator.Answered
				}
				s.Took = func([]string) {
					if lost {
						came.taken.Add(1)
					}
					lost = false
				}
			})
		})
	}},
	{"reports are kept for the next leader", 40 * sec, 60 * sec, func(m *meeting, d time.Duration) {
		m.echo.ForNext([]float64{0.1, 0.5, 1}[m.luck.IntN(3)])
		term, before := m.term(), m.echo.CameAnew()
		m.group.Go(func() {
			end := time.Now().Add(d - 6*sec)
			for at := time.Now().Add(d / 4); m.term() == term && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if time.Now().After(at) { // nothing else has ended the leader
					at = end
					m.crash(max(0, m.leader()), 15*sec, 0)
				}
			}
			time.Sleep(5 * sec) // it acts, and they come there
			m.kept.Add(int64(m.echo.CameAnew() - before))
			m.echo.ForNext(0)
		})
	}},
	{"many jobs are cancelled at once", 0, 0, func(m *meeting, _ time.Duration) { m.cancelNow(0) }},
	{"many jobs are cancelled at once, and their machines hang", 2 * sec, 30 * sec, func(m *meeting, d time.Duration) { m.cancelNow(d) }},
	{"jobs are cancelled at their end", 10 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		m.group.Go(func() {
			m.atEnds(d, -300*time.Millisecond, func(c *client) {
				if c.until(c.cancel) == 200 {
					came.atEnd.Add(1)
				}
			})
		})
	}},
	{"users look closely", 10 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		m.floor.lookClosely(d)
		m.group.Go(func() { m.atEnds(d, 0, func(c *client) { c.closely(8) }) })
	}},
	{"requests are odd", 5 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		luck := rand.New(rand.NewPCG(m.luck.Uint64(), 7))
		m.group.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(200+luck.IntN(800)) * time.Millisecond) {
				m.odd(luck)
			}
		})
	}},
	{"machines are up at once", 20 * sec, 50 * sec, func(m *meeting, d time.Duration) {
		boot := time.Duration(200+m.luck.IntN(1700)) * time.Millisecond
		m.floor.quickly(d + boot)
		lasting(d, func(on bool) {
			m.cloud.Fail(func(*simulator.CloudFaults) {
				m.cloud.Boot, m.cloud.Capacity = 5*sec, 6
				if on { // and there are some more
					m.cloud.Boot, m.cloud.Capacity = boot, 9
				}
			})
		})
		for k := range 3 {
			j := jobOf(fmt.Sprintf("wk-7%05d", len(m.users())), wire.Array, 3, 8*sec, func(j *wire.Job) { j.GPUs = 4 }) // which need them
			m.comes(j, d*time.Duration(k)/4, 0, 8*sec)
		}
	}},
}

// cancelNow has users call off most of the jobs that run and have long to go within a fifth of a
// second. For a while machines on which they run hang, if that is not 0.
func (m *meeting) cancelNow(hang time.Duration) {
	hung := 0
	for _, c := range m.users() {
		if c.long < 40*sec || m.check.Running(c.job.ID) == 0 || m.check.Stage(c.job.ID).Final() || m.luck.IntN(4) == 0 {
			continue
		}
		counts := &came.atOnce
		for _, x := range m.workers() {
			if hang > 0 && hung < 8 && m.floor.on(x.id, c.job) {
				hung, counts = hung+1, &came.hung
				x.Hang(hang)
			}
		}
		late := time.Duration(m.luck.IntN(200)) * time.Millisecond
		m.group.Go(func() {
			time.Sleep(late)
			if c.until(c.cancel) == 200 && m.check.Stage(c.job.ID) == wire.Cancelled {
				counts.Add(1)
			}
		})
	}
}

// atEnds does something with each job around the moment at which its last task ends, so much sooner
// or up to half a second later, for a while.
func (m *meeting) atEnds(d, from time.Duration, do func(c *client)) {
	luck, met := rand.New(rand.NewPCG(m.number, 23)), map[*client]bool{}
	const step = 200 * time.Millisecond
	for begun := time.Now(); time.Since(begun) < d && m.ctx.Err() == nil; time.Sleep(step) {
		for _, c := range m.users() {
			last, ok := m.floor.end(c.job)
			if at := time.Until(last) + from; !ok || met[c] || at > step || at < -step || m.check.Stage(c.job.ID).Final() {
				continue
			}
			met[c] = true
			at := time.Until(last) + from + time.Duration(luck.IntN(int((500*time.Millisecond-from)/time.Millisecond)))*time.Millisecond
			m.group.Go(func() {
				time.Sleep(at)
				do(c)
			})
		}
	}
}

// odd has a user send what is odd: a submission once more, also with another body, of a job that is
// not over, the cancellation of one that is done, or a job that lacks a field or can never run.
func (m *meeting) odd(luck *rand.Rand) {
	users := m.users()
	c := users[luck.IntN(len(users))]
	switch stage := m.check.Stage(c.job.ID); {
	case stage == wire.Done && luck.IntN(2) == 0:
		if c.cancel(c.any()) == 200 {
			came.odd.Add(1)
		}
		return
	case stage != "" && luck.IntN(2) == 0:
		c.ask(c.any(), 5*sec, "POST", wire.PathJobs, c.body())
		return
	}
	j, want := jobOf(fmt.Sprintf("wk-8%05d", luck.IntN(1e5)), wire.Array, 1+luck.IntN(3), 10*sec), 422
	var fields map[string]any
	switch luck.IntN(6) {
	case 0:
		j.Team = "nobody"
	case 1:
		j.CPUs = g4.CPUs + 1
	case 2:
		j.Types = []string{"none"}
	case 3:
		j.Team, j.Shape, j.GPUs, j.Tasks = "red", wire.Gang, 4, 2 // red may have 6
	default:
		want = 400
		_ = wire.DecodeValue(wire.Encode(j), &fields)
		names := slices.DeleteFunc(slices.Sorted(maps.Keys(fields)), func(name string) bool { return fields[name] == nil })
		if name := names[luck.IntN(len(names))]; luck.IntN(2) == 0 {
			delete(fields, name)
		} else {
			fields[name] = []any{nil, []string{"x"}, -1}[luck.IntN(3)]
		}
	}
	body := wire.Encode(j)
	if want == 400 {
		body = wire.Encode(fields)
	}
	resp, err := m.reach(luck.IntN(m.count), 5*sec, "POST", wire.PathJobs, body)
	switch {
	case err != nil || resp.Status == 429 || resp.Status >= 500:
	case resp.Status != want:
		m.t.Errorf("%v, %+v is answered %d instead of %d", fields, j, resp.Status, want)
	default:
		came.odd.Add(1)
	}
}

// pair gives the troubles of a case: as many cases as there are troubles hold each of them once
// as the first and once as the second, and their square holds every ordered pair.
func pair(number uint64) (first, second *mishap) {
	n := uint64(len(mishaps))
	i, round := number%n, number/n%n
	return &mishaps[i], &mishaps[(i+7+round*5)%n] // 5 and their number have no common divisor
}

// three draws the troubles of a meeting of three.
func three(number uint64) (out []*mishap) {
	for _, i := range rand.New(rand.NewPCG(number, 21)).Perm(len(mishaps))[:3] {
		out = append(out, &mishaps[i])
	}
	return out
}

// came counts what has come about in all cases that were played, lest troubles are only names.
var came struct {
	played, putOff, putOffTaken, echoes, takeovers, cancelled, twoParts, taken, kept, atOnce, hung, atEnd, looks, odd, quick atomic.Int64
}

// playMeeting plays a day on which troubles meet while jobs of every shape run, among them
// arrays of which the tasks end far apart, and users cancel before, in and after the meeting
// through all controllers. Then it is quiet.
func playMeeting(t *testing.T, number uint64, troubles ...*mishap) {
	luck := rand.New(rand.NewPCG(number, 20))
	// Each comes around a bound after the one before it has begun, or about when that ends.
	lengths, offsets := make([]time.Duration, len(troubles)), make([]time.Duration, len(troubles))
	for k, x := range troubles {
		lengths[k] = near(luck, x.least, x.most)
	}
	for k := range troubles[1:] {
		if offsets[k+1] = near(luck, 0, 46*sec); luck.IntN(2) == 0 {
			offsets[k+1] = max(0, lengths[k]+time.Duration(luck.IntN(5000)-1500)*time.Millisecond)
		}
	}
	by, count := []string{"off", "zone"}[luck.IntN(2)], []int{3, 3, 5}[luck.IntN(3)]
	keep := []int{0, 2, 200}[luck.IntN(3)]
	silence := []time.Duration{0, 0, time.Hour}[luck.IntN(3)]
	told := fmt.Sprintf("case %d:", number)
	for k, x := range troubles {
		told += fmt.Sprintf(" %v later %s for %v;", offsets[k], x.name, lengths[k])
	}
	told += fmt.Sprintf(" parts %s, %d controllers, %d reports kept, silence %v", by, count, keep, silence)
	w := worldOfDoors(t, count, number, func(c *config.Config) {
		c.Zone = []string{"a", "b"}[numberOf(c.Name)%2]
		c.Tuning.Parts.By, c.Tuning.KeepReports, c.Tuning.Silence = by, keep, silence
	})
	w.cloud.Fail(func(*simulator.CloudFaults) { w.cloud.Capacity = 6 })
	w.check.Known.Begin = 4 * time.Minute
	w.check.Known.Over(time.Time{})
	m := &meeting{world: w, number: number, luck: luck}
	defer func() {
		if t.Failed() {
			t.Log(told)
		}
	}()
	log(told)

	begins := 24*sec + time.Duration(luck.IntN(6000))*time.Millisecond
	starts, over, at := make([]time.Duration, len(troubles)), time.Duration(0), begins
	for k := range troubles {
		at += offsets[k]
		starts[k], over = at, max(over, at+lengths[k])
	}
	m.jobs(begins, starts[1], over)
	start, term := time.Now(), uint64(0)
	for k, x := range troubles {
		time.Sleep(time.Until(start.Add(starts[k])))
		if k == 0 {
			term = w.term()
		}
		m.aim()
		log(x.name, "for", lengths[k], "about", m.bad)
		x.cast(m, lengths[k])
	}
	time.Sleep(time.Until(start.Add(over)))
	log("quiet")
	w.close(100*sec, 10*time.Minute)

	came.played.Add(1)
	late, taken := w.store.PutOff()
	came.putOff.Add(int64(late))
	came.putOffTaken.Add(int64(taken))
	came.echoes.Add(int64(w.echo.Came()) - m.kept.Load())
	came.kept.Add(m.kept.Load())
	came.takeovers.Add(int64(w.term() - term))
	came.cancelled.Add(w.floor.cancelled.Load())
	came.looks.Add(w.floor.looks.Load())
	came.quick.Add(w.floor.atOnce.Load())
	if by == "zone" {
		came.twoParts.Add(1)
	}
}

// jobs has users submit jobs and cancel some, around when troubles begin and end.
func (m *meeting) jobs(begins, follows, over time.Duration) {
	n := 0
	job := func(shape wire.Shape, tasks int, change func(j *wire.Job), submit, cancel time.Duration, runs ...time.Duration) {
		n++
		j := jobOf(fmt.Sprintf("wk-%06d", n), shape, tasks, runs[0], func(j *wire.Job) { j.Image = fmt.Sprint("img-", n%2) })
		if change != nil {
			change(j)
		}
		m.comes(j, submit, cancel, runs...)
	}
	wobble := func(around time.Duration, ms int) time.Duration {
		return max(14*sec, around+time.Duration(m.luck.IntN(2*ms)-ms)*time.Millisecond)
	}
	early := 6 * sec
	job(wire.Service, 4, spread, early, over+60*sec, forever)
	job(wire.Service, 2, spread, early, wobble(follows, 1500), forever)
	job(wire.Gang, 3, func(j *wire.Job) { saves(j); j.OneZone, j.Priority = true, wire.High }, early, 0, 70*sec)
	job(wire.Gang, 2, spread, early, 0, 40*sec)
	job(wire.Gang, 2, saves, early, wobble(begins, 1500), 5*time.Minute)
	job(wire.Array, 3, nil, early, 0, 12*sec, 45*sec, 100*sec)
	job(wire.Array, 2, func(j *wire.Job) { saves(j); j.Spot = true }, early, 0, 30*sec, 80*sec)
	job(wire.Array, 3, red, early, 0, 18*sec, 35*sec, 75*sec)
	job(wire.Array, 4, red, early, 0, 20*sec)
	job(wire.Array, 3, spread, early, wobble(follows+1*sec, 2000), 20*sec, 5*time.Minute)
	job(wire.Array, 2, nil, early, wobble(begins+(over-begins)/2, int((over-begins).Milliseconds())/2+1), 5*time.Minute)
	job(wire.Array, 2, func(j *wire.Job) { j.Zone, j.Spot = "a", true }, early, wobble(over, 2000), 25*sec, 5*time.Minute)
	job(wire.Array, 2, oneZone, early, over+5*sec, 5*time.Minute)
	for k := range 5 { // in the meeting
		submit := wobble(begins, 2000) + time.Duration(m.luck.Int64N(int64(over-begins+sec)))
		cancel := time.Duration(0)
		if k%2 == 1 {
			cancel = submit + time.Duration(m.luck.IntN(6000))*time.Millisecond
		}
		job(wire.Array, 1+k%3, nil, submit, cancel, 4*sec, 9*sec, 20*sec)
	}
	job(wire.Gang, 2, saves, wobble(follows, 2000), 0, 15*sec)
}

// cases gives those that a variable asks for, as N or FROM-TO, or the one that it names without an S.
func cases(variable string, usual uint64) (from, to uint64) {
	to = usual
	if text := os.Getenv(variable + "S"); text != "" {
		a, b, ranged := strings.Cut(text, "-")
		if to, _ = strconv.ParseUint(a, 10, 64); ranged {
			from = to
			to, _ = strconv.ParseUint(b, 10, 64)
		}
	}
	if text := os.Getenv(variable); text != "" {
		from, _ = strconv.ParseUint(text, 10, 64)
		to = from + 1
	}
	return from, to
}

func playCases(t *testing.T, from, to uint64, troubles func(number uint64) []*mishap) {
	t.Run("cases", func(t *testing.T) {
		for n := from; n < to; n++ {
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playMeeting(t, n, troubles(n)...) })
			})
		}
	})
}

// TestMeetings plays every kind of trouble once as the first and once as the second of two that
// meet. AMBERDEAL_MEETINGS sets how many cases are played, as N or FROM-TO: the square of the number of
// troubles holds all ordered pairs, and more play them again at other offsets. AMBERDEAL_MEETING plays one.
func TestMeetings(t *testing.T) {
	from, to := cases("AMBERDEAL_MEETING", uint64(len(mishaps)))
	playCases(t, from, to, func(number uint64) []*mishap {
		first, second := pair(number)
		return []*mishap{first, second}
	})
	if n := uint64(came.played.Load()); n < uint64(len(mishaps)) || n < to-from {
		return // some alone were asked for
	}
	for what, n := range map[string]*atomic.Int64{"writes put off": &came.putOff, "writes that were put off and taken": &came.putOffTaken, "reports again": &came.echoes,
		"claims": &came.takeovers, "jobs cancelled": &came.cancelled, "days in two parts": &came.twoParts,
		"writes taken without an answer": &came.taken, "reports kept for the next leader": &came.kept, "jobs cancelled at once": &came.atOnce,
		"jobs cancelled while their machines hang": &came.hung, "jobs cancelled at their end": &came.atEnd, "close looks": &came.looks,
		"odd requests answered": &came.odd, "tasks on machines that were up at once": &came.quick} {
		if t.Logf("%d %s", n.Load(), what); n.Load() == 0 {
			t.Errorf("no %s in all these cases", what)
		}
	}
}

// TestMeetingsOfThree plays meetings of three that are drawn. AMBERDEAL_THREES sets which, as N or
// FROM-TO, AMBERDEAL_THREE plays one.
func TestMeetingsOfThree(t *testing.T) {
	from, to := cases("AMBERDEAL_THREE", 3)
	playCases(t, from, to, three)
}

// TestMeetingsHoldAllPairs: the enumeration holds every ordered pair, and every kind in both
// places among the cases that are played by default.
func TestMeetingsHoldAllPairs(t *testing.T) {
	n := uint64(len(mishaps))
	seen, firsts, seconds := map[[2]string]bool{}, map[string]bool{}, map[string]bool{}
	for number := range n * n {
		first, second := pair(number)
		seen[[2]string{first.name, second.name}] = true
		if number < n {
			firsts[first.name], seconds[second.name] = true, true
		}
	}
	if uint64(len(seen)) != n*n || uint64(len(firsts)) != n || uint64(len(seconds)) != n {
		t.Errorf("%d of %d pairs, %d first and %d second by default", len(seen), n*n, len(firsts), len(seconds))
	}
	names := make([]string, 0, n)
	for _, x := range mishaps {
		names = append(names, x.name)
	}
	slices.Sort(names)
	if len(slices.Compact(names)) != int(n) {
		t.Error("two troubles have one name")
	}
}
