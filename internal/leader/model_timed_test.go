package leader

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
func (m *timed) sum() uint64 {
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
	if slices.ContainsFunc(m.may, func(b budget) bool { return strings.HasPrefix(b.begins, "copy") }) {
		for _, r := range m.copies {
			now := m.work[strings.TrimPrefix(r.Machine, "n-")].core.Look()
			put("%s %d %d %d %v", r.Machine, now.Session-r.Session, int(now.Seq)-int(r.Seq), r.Term, r.Tasks)
		}
	}
	if !m.any {
		put("%d", m.rank)
	}
	put("%v %d %v", m.down, m.age(m.told), m.completed)
	for _, b := range m.may {
		put("%d", m.count[b.begins])
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
	m.rank = 0
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
	seen := map[uint64]bool{}
	type found struct {
		path, steps []string
		sum         uint64
		broken      string
		met         map[string]bool
	}
	first := timedAt(s, nil)
	level := []found{{steps: first.steps(first.may)}}
	for range depth {
		next := make([][]found, len(level))
		var group sync.WaitGroup
		work := make(chan int)
		for range runtime.GOMAXPROCS(0) {
			group.Go(func() {
				for i := range work {
					for _, step := range level[i].steps {
						m := timedAt(s, level[i].path)
						m.take(step)
						next[i] = append(next[i], found{append(slices.Clone(level[i].path), step), m.steps(m.may), m.sum(), m.broken, m.met})
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
					level = append(level, f)
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

const timedRuns = "decide 0; commit 0; report a 0; report b 0; report a 0; report b 0"

// rest is a moment in which the leader renews, reads and hears one machine.
const rest = "; tick; renew 0; sync 0; report a 0"

var timedScenarios = []timedScenario{
	{name: "the leader alone is refused", tasks: 1, from: timedRuns + "; refuse 0; cancel 1", depth: 30,
		may:    "renew 0:1; report b 0:2; tick:11",
		meets:  "refused alone after a cancellation; the old leader answers after a cancellation; cancel_s has passed",
		plants: "answers by the claim alone; answers by the last renewal alone"},
	{name: "all are refused after the leader alone", tasks: 1, from: timedRuns + "; refuse 0; cancel 1; tick; tick; renew 0; tick; down", depth: 30,
		may:    "up:1; renew 0:1; report b 0:2; tick:8",
		meets:  "refused alone after a cancellation; down after a cancellation; the old leader answers after a cancellation; cancel_s has passed",
		plants: "answers by the claim alone"},
	{name: "a read that is answered late", tasks: 1, from: timedRuns + "; ask 0; cancel 1; tick; tick", depth: 30,
		may:    "renew 0:1; answer 0:1; report b 0:2; tick:9",
		meets:  "the old leader answers after a cancellation; cancel_s has passed",
		plants: "a read counts from its answer"},
	{name: "a takeover from a leader that is refused", tasks: 1, from: timedRuns + "; refuse 0; tick; tick; tick; report b 0; sync 1; claim 1; report a 1; report a 1", depth: 30, steady: "a 1",
		may:    "report b 0:1; lose b 1:1; round 1:1; report a 1:1; tick:9",
		meets:  "takeover with a task running; deaf",
		plants: "proof 5 without the time that others answer"},
	{name: "a takeover and a cancellation", tasks: 1, from: timedRuns + "; refuse 0; tick; tick; tick; report b 0; sync 1; claim 1; cancel 1", depth: 30,
		may:   "report b 0:1; report b 1:1; call 1:1; tick:10",
		meets: "takeover with a task running; the old leader answers after a cancellation; cancel_s has passed"},
	{name: "a deaf machine", tasks: 1, from: timedRuns + rest, depth: 30, steady: "a 0",
		may:    "renew 0:1; lose b 0:1; round 0:1; report a 0:1; tick:4",
		meets:  "deaf",
		plants: "proof 3 without its margin"},
	{name: "a team's limit and a deaf machine", tasks: 2, limit: 1, from: timedRuns + rest, depth: 30, steady: "a 0",
		may:    "renew 0:1; lose b 0:1; round 0:1; report a 0:1; tick:4",
		meets:  "deaf",
		plants: "proof 3 without its margin"},
	{name: "late copies of reports", tasks: 1, from: timedRuns, steady: "a 0", depth: 30,
		may:    "copy:1; renew 0:1; round 0:1; report b 0:1; report a 0:1; tick:3",
		meets:  "a copy of an older report",
		plants: "a report is taken though older"},
	{name: "late copies from an earlier session", tasks: 1, from: timedRuns + rest + rest + rest + rest + "; expire b; renew 0; sync 0", depth: 9,
		may:   "report b 0:2; copy:1; round 0:1; report a 0:1; tick:1",
		meets: "a copy from an earlier session; a later session"},
	{name: "late rounds and cancellations", tasks: 1, from: timedRuns + "; finish b; report b 0", depth: 9,
		may: "holdcancel 1:1; decide 0:1; hold 0:1; late:2; cancel 1:1; commit 0:1; sync 0:1", any: true,
		meets:  "a late round after newer ones; a late round is taken; a late cancellation after newer ones; a late cancellation is taken; a copy of a round was taken",
		plants: "an end is not bound to the job's record"},
	{name: "late rounds and claims of a takeover", tasks: 1, from: "decide 0; hold 0; refuse 0; tick; tick; tick; sync 1", depth: 9,
		may: "holdclaim 1:1; claim 1:1; late:2; sync 1:1; report a 1:2; report b 1:2; decide 1:1; commit 1:1; tick:1", any: true,
		meets: "a late claim is taken; a late claim after newer ones; a late round after newer ones; takeover"},
	{name: "a launch and the end of its leader", tasks: 1, from: "decide 0; report b 0; report b 0; die 0; tick; tick; tick; sync 1; claim 1; report a 1; report a 1", depth: 8,
		may:    "late:1; round 1:1; report b 1:2; report a 1:1; tick:2",
		meets:  "takeover; a late round after newer ones",
		plants: "a launch is said before its round is stored"},
	{name: "a call that is held up", tasks: 1, from: "decide 0; commit 0; losecall 0; tick; renew 0; sync 0", depth: 12, steady: "a 0",
		may:    "round 0:1; arrive:1; report a 0:1; tick:3",
		meets:  "a late call is carried out",
		plants: "a call without an answer counts as refused"},
	{name: "a call that is held up and a cancellation", tasks: 1, from: "decide 0; commit 0; losecall 0; refuse 0; cancel 1", depth: 30,
		may:   "arrive:1; renew 0:1; report b 0:2; tick:10",
		meets: "a late call is carried out; the old leader answers after a cancellation; cancel_s has passed"},
	{name: "an end that is not stored yet", tasks: 1, from: timedRuns + "; finish b", depth: 10,
		may: "report b 0:3; decide 0:1; commit 0:1; hold 0:1; late:1; refuse:1; tick:2", any: true,
		plants: "a clear before the end is stored"},
}

func (s *timedScenario) run(t *testing.T) {
	begun := time.Now()
	r := s.try(s.depth)
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

// timedWide makes the search wider: AMBERDEAL_TIMED=N adds N to what each kind of step may
// be taken, and lets those of a moment come in any order.
func timedWide(s timedScenario) *timedScenario {
	more, _ := strconv.Atoi(os.Getenv("AMBERDEAL_TIMED"))
	if more > 0 {
		s.any, s.depth = true, s.depth+5*more
		var may []string
		for _, b := range s.budget() {
			may = append(may, fmt.Sprintf("%s:%d", b.begins, b.most+more))
		}
		s.may = strings.Join(may, "; ")
	}
	return &s
}

// TestModelTime searches each scenario.
func TestModelTime(t *testing.T) {
	for _, s := range timedScenarios {
		t.Run(s.name, func(t *testing.T) { timedWide(s).run(t) })
	}
}

// TestModelTimeFinds plants a fault into a scenario, and demands that the search finds it.
func TestModelTimeFinds(t *testing.T) {
	for _, s := range timedScenarios {
		for _, plant := range strings.Split(s.plants, "; ") {
			if plant == "" {
				continue
			}
			t.Run(plant+" in "+s.name, func(t *testing.T) {
				s.plant = plant
				r := s.try(s.depth)
				if r.broken == "" {
					t.Errorf("not found in %d orders", r.orders)
				}
				t.Logf("%d orders: %s, by %s", r.orders, r.broken, strings.Join(r.path, "; "))
			})
		}
	}
}
