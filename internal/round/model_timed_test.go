package round

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// age is what tells moments apart: none matters any more after so long.
func (m *timed) age(t time.Time) int {
	if t.IsZero() {
		return -1
	}
	return int(min(m.now.Sub(t), 90*time.Second) / time.Second)
}

// sum tells states apart, by the ages of what they rest on.
func (m *timed) sum(may map[string]int) uint64 {
	d := xxhash.New()
	put := func(format string, args ...any) { fmt.Fprintf(d, format+"\n", args...) }
	for _, key := range slices.Sorted(maps.Keys(m.keys)) {
		if key == store.BatchKey("x") {
			var batch store.BatchRecord
			_ = wire.DecodeValue(m.keys[key].raw, &batch)
			rec := batch.Jobs[timedJob]
			put("%s %s %v %d", key, rec.Stage, rec.Shares, m.now.UnixMilli()-max(rec.Ended, m.now.UnixMilli()-90_000))
			continue
		}
		put("%s %x", key, []byte(m.keys[key].raw))
	}
	left := func(txn wire.Txn) { put("txn %v", m.holds(txn)); put("%x", wire.Encode(txn.Then)) }
	for _, c := range m.ctl {
		put("%v %v %d %d %d %d", c.refused, c.dead, c.number, m.age(c.lease), m.age(c.claim.Confirmed()), m.age(c.view.CurrentAt()))
		held, _ := c.claim.Held(timedPart)
		put("%d %d", c.claim.Lease(), held.Term)
		for _, e := range m.log {
			if e.Version > c.seen {
				put("unseen %s%s %d", e.Put, e.Delete, m.rev-e.Version)
			}
		}
		if c.reading != nil {
			put("reading %d %d", m.age(c.reading.begun), len(c.reading.changes.Events))
		}
		h := c.holder
		if h == nil {
			continue
		}
		put("%d %v %v %d %d %d %d %d %d", h.round, h.rebuilt, h.resumed, m.age(h.fleet.Claimed), m.age(h.knows), m.age(h.tended), m.age(h.awake), m.age(h.wrote), len(h.live))
		for _, x := range h.fleet.Machines() {
			hidden := reflect.ValueOf(x).Elem()
			w := m.work[strings.TrimPrefix(x.ID, "n-")].core.Look()
			put("%s %v %v %v %d %d %d %d %d %d %v %v", x.ID, x.Up, x.AtTerm, x.Releasing, m.age(x.Heard), m.age(x.Answered),
				int(w.Session)-int(x.Session), int(w.Seq)-int(hidden.FieldByName("seq").Uint()), int(w.Seq)-int(hidden.FieldByName("reportSeq").Uint()), x.LastSession,
				hidden.FieldByName("met").Bool(), hidden.FieldByName("proven").Bool())
			for _, p := range x.Placements() {
				v := reflect.ValueOf(p).Elem()
				put("%v %d %d %v %v %v %v %v %v", p.Task, p.Attempt, p.State, p.Committed, p.Settled, p.Seen, p.Stop, p.Loose(), p.Cause)
				put("%v %v %v %v", v.FieldByName("said").Bool(), v.FieldByName("direct").Bool(), v.FieldByName("recalled").Bool(), m.age(p.Placed))
			}
			last := h.called[x.ID]
			put("%d %v %d %s", m.age(last.at), last.open, last.failures, last.what)
		}
		for _, id := range sortedKeys(h.jobs) {
			j := h.jobs[id]
			put("%s %d %d %d", id, j.finished.Count(), j.stored.Count(), m.age(j.ended))
		}
		put("%v", sortedKeys(h.release))
		if c.draft != nil {
			left(c.draft.Txn)
		}
	}
	for _, t := range m.late {
		put("%s %d %d", t.kind, t.node, t.lease)
		left(t.Txn)
	}
	for _, k := range m.calls {
		put("%s %d %d %v", k.machine, k.direct.Term, k.direct.Session, k.direct.Commands)
	}
	for _, id := range []string{"a", "b"} {
		w := m.work[id]
		r := w.core.Look()
		put("%s %v %d %d %d %v", id, w.gone, r.Session, r.Term, m.age(w.answered), r.Tasks)
	}
	if may["copy"] > m.count["copy"] {
		for _, r := range m.copies {
			now := m.work[strings.TrimPrefix(r.Machine, "n-")].core.Look()
			put("%s %d %d %d %v", r.Machine, now.Session-r.Session, int(now.Seq)-int(r.Seq), r.Term, r.Tasks)
		}
	}
	put("%v %d %v", m.down, m.age(m.told), m.completed)
	for _, kind := range sortedKeys(may) {
		put("%d", m.count[kind])
	}
	return d.Sum64()
}

func timedAt(s *timedScenario, path []string) *timed {
	m := newTimed(s)
	for _, step := range strings.Split(s.from, "; ") {
		if step != "" {
			m.take(step)
		}
	}
	clear(m.count)
	for _, step := range path {
		m.take(step)
	}
	return m
}

// tried is what a search has found.
type tried struct {
	states, orders int
	path           []string
	broken         string
	met            map[string]bool
}

// try tries all orders of what a scenario allows, breadth first.
func (s *timedScenario) try(depth int) tried {
	out := tried{met: map[string]bool{}}
	may := s.budget()
	seen := map[uint64]bool{}
	level := [][]string{nil}
	for range depth {
		type found struct {
			path   []string
			sum    uint64
			broken string
			met    map[string]bool
		}
		next := make([][]found, len(level))
		var group sync.WaitGroup
		work := make(chan int)
		for range runtime.GOMAXPROCS(0) {
			group.Go(func() {
				for i := range work {
					m := timedAt(s, level[i])
					for _, step := range m.steps(may) {
						m := timedAt(s, level[i])
						m.take(step)
						next[i] = append(next[i], found{append(slices.Clone(level[i]), step), m.sum(may), m.broken, m.met})
					}
				}
			})
		}
		for i := range level {
			work <- i
		}
		close(work)
		group.Wait()
		level = nil
		for _, list := range next {
			for _, f := range list {
				out.orders++
				maps.Copy(out.met, f.met)
				if f.broken != "" {
					out.states, out.path, out.broken = len(seen), f.path, f.broken
					return out
				}
				if !seen[f.sum] {
					seen[f.sum] = true
					level = append(level, f.path)
				}
			}
		}
		if len(level) == 0 {
			break
		}
	}
	out.states = len(seen)
	return out
}

const timedRuns = "decide 0; commit 0; report a 0; report a 0"

var timedScenarios = []timedScenario{
	{name: "the leader alone is refused, and its renewals go on", tasks: 1, from: timedRuns, depth: 30,
		may:   "tick:11 cancel:1 refuse:1 sync:1 renew:3 report:3",
		meets: "refused alone after a cancellation; the old leader answers after a cancellation; cancel_s has passed"},
}

func (s *timedScenario) run(t *testing.T, more int) {
	begun := time.Now()
	r := s.try(s.depth + more)
	if r.broken != "" {
		t.Errorf("%s, by %s", r.broken, strings.Join(r.path, "; "))
	}
	for _, what := range strings.Split(s.meets, "; ") {
		if what != "" && !r.met[what] {
			t.Errorf("it never came about: %s", what)
		}
	}
	t.Logf("%d orders, %d states, %v; met %v", r.orders, r.states, time.Since(begun).Round(time.Millisecond), slices.Sorted(maps.Keys(r.met)))
}

// TestModelTime searches each scenario.
func TestModelTime(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("AMBERDEAL_TIMED"))
	for i := range timedScenarios {
		s := &timedScenarios[i]
		t.Run(s.name, func(t *testing.T) { s.run(t, more) })
	}
}
