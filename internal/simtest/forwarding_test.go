package simtest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/writers"
)

// Days on which a few controllers write what users wait for, for all.

// forwardDay is such a day: how many controllers there are, how many of them write, and what becomes
// of those who do.
type forwardDay struct {
	count, set int
	trouble    string
}

// writing is a day's world, and who has written batches of new jobs.
type writing struct {
	*looks
	day forwardDay

	first   []int // who writes as the trouble begins
	mu      sync.Mutex
	batches map[string]int // since then, by controller
}

func newWriting(t *testing.T, d forwardDay, seed uint64) *writing {
	w := &writing{day: d, batches: map[string]int{}}
	w.looks = newLooks(t, lookDay{count: d.count, by: "off", writers: d.set}, seed)
	w.store.Stage(func(s *simulator.Store) { s.Took = w.took })
	return w
}

// took notes who has written a batch.
func (w *writing) took(puts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range puts {
		if name, is := strings.CutPrefix(key, store.BatchKey("")); is {
			w.batches[name[:strings.LastIndex(name[:strings.LastIndex(name, "-")], "-")]]++
		}
	}
}

// writers lists those who write while all live.
func (w *writing) writers() (out []int) {
	var all []string
	for i := range w.count {
		all = append(all, fmt.Sprint("c-", i))
	}
	holder := fmt.Sprint("c-", w.holder("fleet"))
	for _, name := range writers.PolicyFor(w.day.count, w.day.set).Choose(all, func(name string) bool { return name == holder }) {
		out = append(out, numberOf(name))
	}
	return out
}

// forwardTroubles are what becomes of a controller that writes, or of all.
var forwardTroubles = map[string]func(w *writing, i int){
	"calm":                               func(*writing, int) {},
	"it ends and is back after 100 ms":   func(w *writing, i int) { w.crash(i, 100*time.Millisecond, 0) },
	"it ends, its last words are held":   func(w *writing, i int) { w.crash(i, 15*time.Second, 10*time.Second) },
	"it stands still":                    func(w *writing, i int) { w.net.Still(w.ip(i), 8*time.Second) },
	"it is refused by the state service": func(w *writing, i int) { lasting(15*time.Second, func(on bool) { w.refuse(i, on) }) },
	"it is cut from the state service": func(w *writing, i int) {
		lasting(15*time.Second, func(on bool) { w.net.Cut(w.ip(i), stateHost, on) })
	},
	"it is cut from its siblings": func(w *writing, i int) {
		lasting(15*time.Second, func(on bool) {
			for k := range w.count {
				if k != i {
					w.net.Cut(w.ip(i), w.ip(k), on)
				}
			}
		})
	},
	"half of the controllers don't hear the others": func(w *writing, _ int) {
		lasting(12*time.Second, func(on bool) {
			for i := range w.count {
				for k := range w.count {
					if i%2 == 0 && k%2 == 1 {
						w.net.Cut(w.ip(i), w.ip(k), on)
					}
				}
			}
		})
	},
	"it changes ten times in two minutes": func(w *writing, _ int) {
		w.group.Go(func() {
			for range 10 {
				if now := w.writers(); len(now) > 0 {
					w.crash(now[0], 4*time.Second, 0)
				}
				time.Sleep(12 * time.Second)
			}
		})
	},
	"the state service is slow": func(w *writing, _ int) {
		lasting(15*time.Second, func(on bool) {
			w.store.Stage(func(s *simulator.Store) {
				if s.Delay = nil; on {
					s.Delay = func() time.Duration { return time.Duration(200+w.draw(w.rand, 600)) * time.Millisecond }
				}
			})
		})
	},
	"the state service's answers are lost": func(w *writing, _ int) {
		lasting(15*time.Second, func(on bool) {
			w.store.Stage(func(s *simulator.Store) { s.Unheard = map[bool]float64{true: 0.4}[on] })
		})
	},
}

// play has jobs be submitted at some controllers, cancelled at others and asked about and submitted again at
// all, while a trouble is on, and has what users were told judged by the order of calls.
func (w *writing) play() {
	time.Sleep(8 * time.Second)
	w.live(999, 0, 100*time.Second, forever) // it keeps a machine there
	time.Sleep(12 * time.Second)
	w.first = w.writers()
	if len(w.first) == 0 {
		w.t.Fatal("nobody writes for others")
	}
	w.mu.Lock()
	clear(w.batches)
	w.mu.Unlock()
	trouble, jobs := w.day.trouble, 24
	forwardTroubles[trouble](w, w.first[0])
	if strings.Contains(trouble, "ten times") {
		jobs = 110
	}
	for n := range jobs {
		cancel := time.Duration(-1)
		if n%3 != 2 {
			cancel = lookCancels[n%len(lookCancels)] * time.Millisecond
		}
		w.someLive(n, cancel)
		time.Sleep(time.Duration(300+w.draw(w.rand, 900)) * time.Millisecond)
	}
	w.close(0, 5*time.Minute)
	for _, b := range w.order.Broken() {
		w.t.Error(b)
	}
}

// someLive is a job's day of which only some controllers are asked.
func (w *writing) someLive(n int, cancel time.Duration) {
	all := w.count
	if all > 5 {
		first := w.draw(w.rand, all-3)
		w.liveAt(n, []int{first, first + 1, first + 2}, cancel, 3*time.Second)
		return
	}
	w.live(n, n%all, cancel, 3*time.Second)
}

// play plays the day. In calm nobody else writes batches of new jobs.
func (d forwardDay) play(t *testing.T, seed uint64) {
	w := newWriting(t, d, seed)
	w.play()
	if t.Failed() || d.trouble != "calm" {
		return
	}
	for name, n := range w.batches {
		if !slices.Contains(w.first, numberOf(name)) {
			t.Errorf("%s, which does not write for others, has written %d batches: %v", name, n, w.batches)
		}
	}
}

// TestForwarded plays such days: whoever is asked, a job has one story, and all that was accepted ends.
// AMBERDEAL_FORWARDED plays all troubles with 24 controllers too, so many times.
func TestForwarded(t *testing.T) {
	times := 0
	fmt.Sscan(os.Getenv("AMBERDEAL_FORWARDED"), &times)
	for i, x := range []struct{ count, set int }{{3, 1}, {5, 2}, {24, writers.Auto}} {
		for k, trouble := range slices.Sorted(maps.Keys(forwardTroubles)) {
			if times == 0 && x.count == 24 && k%3 != 0 && !strings.Contains(trouble, "siblings") {
				continue
			}
			for seed := range max(1, times) {
				t.Run(fmt.Sprintf("%d controllers, %s, seed %d", x.count, trouble, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						forwardDay{x.count, x.set, trouble}.play(t, uint64(100*seed+10*i+k))
					})
				})
			}
		}
	}
}

// TestManyAccept: with 24 controllers users wait for a job's acceptance no longer than with five.
func TestManyAccept(t *testing.T) {
	for _, count := range []int{5, 24} {
		t.Run(fmt.Sprint(count, " controllers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFlood(t, site{"many", count, config.Store{RPS: 120, WriteRPS: 35, ValueBytes: 8 << 10, TxnOps: 20}})
				time.Sleep(12 * time.Second)
				f.luck = rand.New(rand.NewPCG(2, 7))
				f.pour(time.Minute)
				time.Sleep(40 * time.Second)
				f.calm()
				f.finish(3 * time.Minute)
				late, n := 0, len(f.order)
				for _, d := range f.order {
					if d.accepted.Sub(d.come) > time.Second {
						late++
					}
				}
				t.Logf("%d of %d jobs were accepted after more than a second", late, n)
				if late*100 > n {
					t.Errorf("%d of %d jobs were accepted after more than a second", late, n)
				}
				f.judge()
			})
		})
	}
}
