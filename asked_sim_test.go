package amberdeal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/standin"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// reach asks one controller something, as users do.
func (w *world) reach(i int, method, path string, body []byte) (*httpwire.Response, error) {
	caller := &transport.Caller{Limit: wire.MaxBody, Dial: w.net.Host("10.3.0.4").Dial}
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	return caller.Call(ctx, standin.Address(w.ip(i), 8080), method, path, body)
}

// market is the users of a day on which much is asked, and what became of it.
type market struct {
	*world
	luck    *rand.Rand
	closing atomic.Bool // whoever has not cancelled yet, and must, does so now

	answers, vain, told, repeats, overtaken atomic.Int64
}

// customer is a user who asks about one job at all controllers, repeats its submission with
// whatever body, and may cancel it.
type customer struct {
	*market
	job   *wire.Job
	asked atomic.Bool // to cancel it
}

// ask asks one controller, and has the answer judged. One that is no end and was on its way while
// another told the end may have left before that.
func (c *customer) ask(i int, method, path string, body []byte) int {
	before := c.check.Stage(c.job.ID)
	resp, err := c.reach(i, method, path, body)
	if err != nil || resp.Status == 429 || resp.Status >= 500 {
		c.vain.Add(1)
		return 0
	}
	var s wire.JobStatus
	_ = wire.Decode(resp.Body, &s)
	c.answers.Add(1)
	switch now := c.check.Stage(c.job.ID); {
	case before == "" && resp.Status >= 400, !before.Final() && now.Final() && !s.Stage.Final():
		c.overtaken.Add(1)
		return resp.Status
	}
	c.check.Told(c.job.ID, resp.Status, s.Stage, c.asked.Load())
	if resp.Status >= 400 {
		c.t.Errorf("%s, which was %s, is answered %d at %d", c.job.ID, before, resp.Status, i)
	}
	return resp.Status
}

// body gives the submission again, as it was or another of the same name.
func (c *customer) body() []byte {
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

func (c *customer) question(i int) { c.ask(i, "GET", wire.PathJobs+"/"+c.job.ID, nil) }

func (c *customer) repeat(i int) {
	c.repeats.Add(1)
	c.ask(i, "POST", wire.PathJobs, c.body())
}

// cancel asks for it at one controller, and, once told, at once at all others for all that can be asked.
func (c *customer) cancel() {
	c.asked.Store(true)
	i := c.draw(c.luck, c.count)
	if c.ask(i, "POST", wire.PathJobs+"/"+c.job.ID+"/"+wire.CancelWord, []byte{}) != 200 {
		return
	}
	c.told.Add(1)
	var all sync.WaitGroup
	for k := range c.count {
		all.Go(func() {
			if c.repeat(k); c.draw(c.luck, 2) == 0 {
				c.question(k)
			}
		})
	}
	all.Wait()
}

// live is what the customer does from its first submission until its job is over, cancels not
// after which time it cancels if that is not 0.
func (c *customer) live(cancels time.Duration) {
	for c.ctx.Err() == nil && c.check.Stage(c.job.ID) == "" {
		c.ask(c.draw(c.luck, c.count), "POST", wire.PathJobs, wire.Encode(c.job))
		time.Sleep(time.Duration(c.draw(c.luck, 500)) * time.Millisecond)
	}
	c.follow(c.job.ID)
	for begun := time.Now(); c.ctx.Err() == nil; {
		over := c.check.Stage(c.job.ID).Final()
		if c.closing.Load() && over {
			return
		}
		time.Sleep(time.Duration(200+c.draw(c.luck, 3000)) * time.Millisecond)
		i := c.draw(c.luck, c.count)
		switch must := cancels > 0 && (time.Since(begun) > cancels || c.closing.Load()); {
		case must && !over:
			c.cancel()
		case c.draw(c.luck, 3) == 0:
			c.repeat(i)
		default:
			c.question(i)
		}
	}
}

// open has users come, one every gap.
func (w *world) open(seed uint64, n int, gap time.Duration) *market {
	m := &market{world: w, luck: rand.New(rand.NewPCG(seed, 12))}
	w.group.Go(func() {
		for k := range n {
			j := &wire.Job{ID: fmt.Sprintf("wk-%06d", 1000*k+w.draw(m.luck, 1000)), Class: "c", Team: []string{"red", "blue"}[k%2], Priority: wire.Normal, Shape: wire.Array,
				Tasks: 1 + w.draw(m.luck, 3), CPUs: 2, GPUs: 1, MemoryGB: 8, Image: fmt.Sprintf("img-%d", k%2), ImageGB: 1, EstimateS: 10}
			run, cancels := time.Duration(5+w.draw(m.luck, 60))*time.Second, time.Duration(0)
			switch k % 4 {
			case 1:
				cancels = time.Duration(1+w.draw(m.luck, 3000)) * time.Millisecond // before it has begun
			case 2:
				cancels = time.Duration(10+w.draw(m.luck, 100)) * time.Second
			case 3:
				j.Shape, j.Priority, run, cancels = wire.Service, wire.Production, 24*time.Hour, time.Duration(20+w.draw(m.luck, 150))*time.Second
			}
			w.check.Submitted(j, run)
			c := &customer{market: m, job: j}
			w.group.Go(func() { c.live(cancels) })
			time.Sleep(time.Duration(w.draw(m.luck, int(2*gap/time.Millisecond))) * time.Millisecond)
		}
	})
	// Nobody has ever submitted these.
	w.asking.Go(func() {
		for k := 0; w.ctx.Err() == nil; k++ {
			id := fmt.Sprintf("wk-9%05d", k)
			for _, path := range []string{"/" + id, "/" + id + "/" + wire.CancelWord} {
				method := map[bool]string{true: "GET", false: "POST"}[path == "/"+id]
				if resp, err := w.reach(k%w.count, method, wire.PathJobs+path, nil); err == nil && resp.Status != 404 && resp.Status != 503 {
					w.t.Errorf("%s, which nobody has submitted, is answered %d", id, resp.Status)
				}
			}
			time.Sleep(3 * time.Second)
		}
	})
	return m
}

// close has all that is asked for come to its end, and judges the day.
func (m *market) close(cancels, repeats int64) {
	m.t.Helper()
	m.calm()
	m.closing.Store(true)
	m.finish(15 * time.Minute)
	m.judge()
	if m.told.Load() < cancels || m.repeats.Load() < repeats {
		m.t.Errorf("%d were told that their jobs are cancelled, %d submissions came again", m.told.Load(), m.repeats.Load())
	}
	if m.check.Started == 0 {
		m.t.Error("no task was started")
	}
}

// holderOf tells who holds the fleet by the state service, -1 for nobody.
func (w *world) holderOf() int {
	for _, name := range w.holders() {
		return int(name[2] - '0')
	}
	return -1
}

// ownStore gives each controller an address of the state service of its own, so that one alone can
// be refused.
func ownStore(c *config.Config) { c.StoreAddr = standin.Address("10.2.0.1", 2400+int(c.Name[2]-'0')) }

func (w *world) serveEach() {
	for i := range w.count {
		go w.net.Host("10.2.0.1").Listen(w.ctx, standin.Address("10.2.0.1", 2400+i), 0, w.store.ServeTo(fmt.Sprint("c-", i)))
	}
}

// apart loses all between a controller and the state service and the other controllers, also on the
// connections that are open. Machines and users still reach it.
func (w *world) apart(i int, on bool) {
	others := []string{"10.2.0.1"}
	for k := range w.count {
		if k != i {
			others = append(others, w.ip(k))
		}
	}
	for _, other := range others {
		w.net.Lose(w.ip(i), other, on)
		w.net.Lose(other, w.ip(i), on)
	}
}

// TestRefusedAloneThenAll: the state service answers slowly, refuses the leader alone, and then
// everybody for longer than cancel_s, while users cancel, ask and submit again at all controllers.
// What was told holds: a final stage is told from memory for ever, all else is read behind a barrier
// or answered 503. AMBERDEAL_REFUSALS sets how many days, AMBERDEAL_REFUSAL plays one.
func TestRefusedAloneThenAll(t *testing.T) {
	stallDays(t, 4, "AMBERDEAL_REFUSAL", func(t *testing.T, seed uint64) {
		w := newWorldOf(t, []int{3, 5}[seed%2], seed, 0, ownStore)
		w.serveEach()
		luck := rand.New(rand.NewPCG(seed, 13))
		time.Sleep(8 * time.Second)
		m := w.open(seed, 24, 4*time.Second)
		time.Sleep(time.Duration(30+luck.IntN(10)) * time.Second)
		slow := time.Duration(luck.IntN(1200)) * time.Millisecond
		w.store.Stage(func(s *standin.Store) { s.Delay = func() time.Duration { return slow } })
		time.Sleep(time.Duration(luck.IntN(5000)) * time.Millisecond)
		leader, before := w.holderOf(), m.told.Load()
		if leader < 0 {
			t.Error("nobody leads when the leader is refused")
			leader = 0
		}
		w.store.Refuse(fmt.Sprint("c-", leader), true)
		time.Sleep(time.Duration(5+luck.IntN(30)) * time.Second)
		between := m.told.Load()
		w.store.Outage(true)
		time.Sleep(200 * time.Millisecond)
		vain := m.vain.Load()
		time.Sleep(w.check.Cancel + time.Duration(5+luck.IntN(20))*time.Second)
		if between == before || m.told.Load() > between+1 || m.vain.Load() < vain+20 {
			t.Errorf("%d cancellations were told while the leader was refused, %d in the outage, in which %d were not answered", between-before, m.told.Load()-between, m.vain.Load()-vain)
		}
		if luck.IntN(2) == 0 { // the leader is served again only after the others
			time.AfterFunc(20*time.Second, func() { w.store.Refuse(fmt.Sprint("c-", leader), false) })
		} else {
			w.store.Refuse(fmt.Sprint("c-", leader), false)
		}
		w.store.Outage(false)
		w.store.Stage(func(s *standin.Store) { s.Delay = nil })
		time.Sleep(time.Minute)
		m.close(6, 40)
	})
}

// TestCutLeaderTurnsUsersAway: a leader is cut from the state service and from the other controllers
// while users and machines still reach it, and jobs are cancelled through the others. It tells what is final
// from memory, and turns all else away: at once, with when to come back, and so that the user comes to
// another. It calls itself ready no more as soon as it can know, and is so again soon after the cut.
func TestCutLeaderTurnsUsersAway(t *testing.T) {
	for _, count := range []int{3, 5} {
		t.Run(fmt.Sprint(count, " controllers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorldOf(t, count, 61, 0, nil)
				time.Sleep(8 * time.Second)
				m := w.open(61, 16, 2*time.Second)
				job := func(n int) *customer {
					j := &wire.Job{ID: fmt.Sprint("wk-", n), Class: "c", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 1, CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1}
					w.check.Submitted(j, 24*time.Hour)
					c := &customer{market: m, job: j}
					c.ask(0, "POST", wire.PathJobs, wire.Encode(j))
					w.follow(j.ID)
					return c
				}
				early, late, stays := job(1), job(2), job(3)
				time.Sleep(30 * time.Second)
				leader := w.holderOf()
				end := func(c *customer, i int) {
					c.asked.Store(true)
					if c.ask(i, "POST", wire.PathJobs+"/"+c.job.ID+"/"+wire.CancelWord, []byte{}) != 200 {
						t.Errorf("%s can't be cancelled", c.job.ID)
					}
				}
				end(early, leader)
				w.apart(leader, true)
				cut := time.Now()
				var unready time.Duration
				for time.Since(cut) < 2*time.Minute {
					resp, err := w.reach(leader, "GET", wire.PathReady, nil)
					if err != nil {
						t.Fatal(err)
					}
					if resp.Status == 200 && unready > 0 {
						t.Errorf("it is ready %v after the cut", time.Since(cut))
					} else if resp.Status != 200 && unready == 0 {
						unready = time.Since(cut)
					}
					if time.Since(cut) > 20*time.Second && late.check.Stage("wk-2") == wire.Pending || late.check.Stage("wk-2") == wire.Running && time.Since(cut) > 20*time.Second {
						end(late, (leader+1)%count)
					}
					early.question(leader) // judged: it is final
					for _, ask := range []struct {
						method, path string
						body         []byte
					}{
						{"GET", "/wk-3", nil}, {"GET", "/wk-2", nil}, {"GET", "/wk-8", nil}, {"POST", "/wk-3/" + wire.CancelWord, []byte{}}, {"POST", "", stays.body()},
						{"POST", "", wire.Encode(map[string]string{"uid": "wk-3"})},
					} {
						if strings.HasSuffix(ask.path, wire.CancelWord) && unready == 0 {
							continue // or it may be written
						}
						begun := time.Now()
						resp, err := w.reach(leader, ask.method, wire.PathJobs+ask.path, ask.body)
						took := time.Since(begun)
						switch {
						case err != nil || resp.Status != 503 || resp.RetryAfter == 0:
							t.Errorf("%s %s is answered %+v, %v, %v after the cut", ask.method, ask.path, resp, err, time.Since(cut))
						case unready == 0 && took > 4*time.Second, unready > 0 && (took > 50*time.Millisecond || !resp.Close):
							t.Errorf("%s %s is answered after %v, closing: %v, %v after the cut", ask.method, ask.path, took, resp.Close, time.Since(cut))
						}
					}
					time.Sleep(500 * time.Millisecond)
				}
				if unready == 0 || unready > 7*time.Second {
					t.Errorf("it is not ready from %v after the cut on", unready)
				}
				if holder := w.holderOf(); holder == leader || late.check.Stage("wk-2") != wire.Cancelled {
					t.Errorf("%d leads after %d, and wk-2 is %s", holder, leader, late.check.Stage("wk-2"))
				}
				w.apart(leader, false)
				over := time.Now()
				for {
					if resp, err := w.reach(leader, "GET", wire.PathReady, nil); err == nil && resp.Status == 200 {
						break
					}
					if time.Sleep(100 * time.Millisecond); time.Since(over) > 10*time.Second {
						t.Error("it is not ready 10 s after the cut")
						break
					}
				}
				for i := range count {
					late.question(i)
					late.repeat(i)
					stays.question(i)
				}
				stays.asked.Store(true)
				end(stays, leader)
				m.close(3, 20)
			})
		})
	}
}
