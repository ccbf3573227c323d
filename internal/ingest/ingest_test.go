package ingest

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// line is an edge and a hub in memory, on any clock.
type line struct {
	*Edge
	hub    *Hub
	mu     sync.Mutex
	holder string
	conn   net.Conn // the edge's end of the open stream
	opened int
}

func newLine(ctx context.Context, decide func(*wire.Report) worker.Verdict, setup []func(*line)) *line {
	l := &line{holder: "c-0", hub: &Hub{Decide: decide, Log: slog.New(slog.DiscardHandler)}}
	l.hub.Raises, l.hub.Raised = func(int) []leader.Raise { return nil }, func(string, *wire.Report) {}
	l.Edge = &Edge{Log: l.hub.Log, Holder: func() string {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.holder
	}, Open: func(context.Context, string, string) (net.Conn, *gob.Encoder, error) {
		a, b := net.Pipe()
		go func() {
			defer b.Close()
			l.hub.Serve(ctx, "c-1", accepted{b}, gob.NewDecoder(b))
		}()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conn = a
		l.opened++
		return a, gob.NewEncoder(a), nil
	}}
	for _, change := range setup {
		change(l)
	}
	go func() { _ = l.Run(ctx) }()
	return l
}

func (l *line) hold(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = name
}

// onLine plays a story on a fake clock.
func onLine(t *testing.T, decide func(*wire.Report) worker.Verdict, play func(ctx context.Context, l *line), setup ...func(*line)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l := newLine(ctx, decide, setup)
		time.Sleep(time.Second)
		play(ctx, l)
		stop()
		time.Sleep(10 * time.Minute)
	})
}

// TestNothingChangesOnTheWay: what is zero must not become absent. A stop with no grace
// and a machine that is taken at once were both lost by the encoding between processes.
func TestNothingChangesOnTheWay(t *testing.T) {
	zero, nine := 0.0, 9.5
	answer := worker.Verdict{Answer: &wire.Answer{Term: 7, Commands: []wire.Command{
		{Verb: wire.Stop, Task: "wk-1/0", Attempt: 3, GraceS: &zero}, {Verb: wire.Stop, Task: "wk-1/1", Attempt: 3, GraceS: &nine}, {Verb: wire.Launch, Task: "wk-2/0", Attempt: 4}}}}
	report := crowd(1)[0]
	report.Seq, report.Spot, report.NoticeS = 12, true, &zero
	var got *wire.Report
	onLine(t, func(r *wire.Report) worker.Verdict { got = r; return answer }, func(ctx context.Context, l *line) {
		if v, ok := l.Pass(ctx, report); !ok || !reflect.DeepEqual(v, answer) {
			t.Errorf("the answer became %+v, %v", v.Answer, ok)
		}
		if !reflect.DeepEqual(got, report) {
			t.Errorf("the report became %+v", got)
		}
	})
}

// TestOnlyWhatChanged: a report that says the same as the machine's last one is whole
// again on the other side, after a change, an end, a new session and a new stream too.
func TestOnlyWhatChanged(t *testing.T) {
	var got *wire.Report
	onLine(t, func(r *wire.Report) worker.Verdict { got = r; return worker.Verdict{Holder: "c-2"} }, func(ctx context.Context, l *line) {
		r := crowd(1)[0]
		for seq, change := range []func(){
			func() {}, func() {}, func() { r.Term = 4 }, func() { r.Tasks = r.Tasks[1:] }, func() {}, func() { r.Tasks = nil }, func() {},
			func() { r.Session, r.Tasks = 2, crowd(1)[0].Tasks[:2] }, func() {}, func() { l.conn.Close(); time.Sleep(2 * time.Second) }, func() {},
			func() { time.Sleep(5 * time.Minute) }, func() {},
		} {
			change()
			r.Seq = uint64(seq + 1)
			if v, ok := l.Pass(ctx, r); !ok || v.Holder != "c-2" || v.Answer != nil {
				t.Errorf("step %d: %+v, %v", seq, v, ok)
			}
			if len(got.Tasks) == 0 {
				got.Tasks = r.Tasks
			}
			if !reflect.DeepEqual(got, r) {
				t.Errorf("step %d: %+v became %+v", seq, r, got)
			}
		}
	})
}

// TestSlowHolder: a holder that takes seconds for each batch answers late what it can, and
// what its worker does not wait for any more is not passed on. The way to it stays open.
func TestSlowHolder(t *testing.T) {
	calls := 0
	onLine(t, func(r *wire.Report) worker.Verdict {
		if calls++; calls <= 5 {
			time.Sleep(2 * time.Second)
		}
		return worker.Verdict{Answer: &wire.Answer{Term: 1}}
	}, func(ctx context.Context, l *line) {
		var group sync.WaitGroup
		var mu sync.Mutex
		answered := 0
		for i, r := range crowd(8) {
			time.Sleep(time.Duration(i%3) * 400 * time.Millisecond)
			group.Add(1)
			go func() {
				defer group.Done()
				begun := time.Now()
				v, ok := l.Pass(ctx, r)
				if took := time.Since(begun); !ok || took > 4*time.Second {
					t.Errorf("%s waited for %v, %v", r.Machine, took, ok)
				}
				mu.Lock()
				defer mu.Unlock()
				if v.Answer != nil {
					answered++
				}
			}()
		}
		group.Wait()
		if answered == 0 || answered == 8 {
			t.Errorf("%d of 8 were answered in time", answered)
		}
		time.Sleep(20 * time.Second)
		if v, ok := l.Pass(ctx, crowd(1)[0]); !ok || v.Answer == nil || l.opened != 1 {
			t.Errorf("later: %+v, %v, opened %d times", v, ok, l.opened)
		}
	})
}

// TestCallsAreShared: what the holder asks a sibling to call is called, as many at once as
// that one has room for, and what came of it is told; a call in vain too.
func TestCallsAreShared(t *testing.T) {
	var mu sync.Mutex
	asked, told, open, most := 0, map[string]bool{}, 0, 0
	onLine(t, nil, func(_ context.Context, _ *line) {
		time.Sleep(20 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for machine, ok := range told {
			if ok == (machine == "n-007") {
				t.Errorf("%s: %v", machine, ok)
			}
		}
		if len(told) != 100 || most > throttle.Most {
			t.Errorf("%d of 100 were called, %d at once", len(told), most)
		}
	}, func(l *line) {
		l.Pace = throttle.New()
		l.hub.Raises = func(n int) []leader.Raise {
			mu.Lock()
			defer mu.Unlock()
			var out []leader.Raise
			for ; asked < 100 && len(out) < n; asked++ {
				out = append(out, leader.Raise{Machine: fmt.Sprintf("n-%03d", asked), Term: 3, Session: 1})
			}
			return out
		}
		l.hub.Raised = func(machine string, r *wire.Report) {
			mu.Lock()
			defer mu.Unlock()
			told[machine] = r != nil && r.Term == 3 && len(r.Tasks) == 5
		}
		l.Edge.Call = func(_ context.Context, c leader.Raise) *wire.Report {
			mu.Lock()
			open++
			most = max(most, open)
			mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if open--; c.Machine == "n-007" {
				return nil
			}
			r := crowd(1)[0]
			r.Machine = c.Machine
			return r
		}
	})
}

// TestHolderChanges: reports go to whoever holds the fleet, and nowhere while the way is
// not open; after it broke, workers are not all sent to the holder at once.
func TestHolderChanges(t *testing.T) {
	onLine(t, func(r *wire.Report) worker.Verdict { return worker.Verdict{Answer: &wire.Answer{Term: 1}} }, func(ctx context.Context, l *line) {
		if l.Passes() != "c-0" {
			t.Errorf("passes to %q", l.Passes())
		}
		l.hold("c-2")
		time.Sleep(3 * time.Second)
		if l.Passes() != "c-2" || l.opened != 2 {
			t.Errorf("passes to %q, opened %d times", l.Passes(), l.opened)
		}
		l.hold("")
		if _, ok := l.Pass(ctx, crowd(1)[0]); ok {
			t.Error("a report was passed to nobody")
		}
		time.Sleep(2 * time.Second)
		desk := &Reception{Edge: l.Edge, Holder: func(*wire.Report) string { return "c-2" }}
		if to := desk.Redirect(nil); to != "" {
			t.Errorf("sent to %q right after the way broke", to)
		}
		time.Sleep(10 * time.Second)
		if to := desk.Redirect(nil); to != "c-2" {
			t.Errorf("sent to %q long after", to)
		}
	})
}

// TestHolderStandsStill: one that takes nothing any more is left as soon as another holds the
// fleet, and not when the stream has not moved for long.
func TestHolderStandsStill(t *testing.T) {
	still := true
	onLine(t, func(r *wire.Report) worker.Verdict {
		if still {
			still = false
			time.Sleep(time.Minute)
		}
		return worker.Verdict{Answer: &wire.Answer{Term: 1}}
	}, func(ctx context.Context, l *line) {
		for _, r := range crowd(20) {
			go l.Pass(ctx, r)
			time.Sleep(100 * time.Millisecond)
		}
		l.hold("c-2")
		time.Sleep(time.Second)
		if l.Passes() != "c-2" {
			t.Errorf("a second after the fleet changed hands reports go to %q", l.Passes())
		}
	})
}

// TestTornStream: a stream that breaks with reports on their way leaves none of them
// without an end, and the next one begins with whole reports.
func TestTornStream(t *testing.T) {
	onLine(t, func(r *wire.Report) worker.Verdict {
		time.Sleep(500 * time.Millisecond)
		return worker.Verdict{Answer: &wire.Answer{Term: 1}}
	}, func(ctx context.Context, l *line) {
		var group sync.WaitGroup
		for _, r := range crowd(300) {
			group.Add(1)
			go func() {
				defer group.Done()
				l.Pass(ctx, r)
			}()
		}
		time.Sleep(700 * time.Millisecond)
		l.mu.Lock()
		l.conn.Close()
		l.mu.Unlock()
		group.Wait()
		time.Sleep(3 * time.Second)
		r := crowd(1)[0]
		r.Seq = 9
		if v, ok := l.Pass(ctx, r); !ok || v.Answer == nil {
			t.Errorf("after the tear: %+v, %v", v, ok)
		}
	})
}

// TestSteer is a table of who takes whose reports.
func TestSteer(t *testing.T) {
	for name, c := range map[string]struct {
		holder, fresh bool
		mine          int
		others        map[string]int
		want          string
	}{
		"a holder with few keeps them":                    {holder: true, mine: 100, others: map[string]int{"b": 0}, want: ""},
		"a holder with many sends on, to the least":       {holder: true, mine: 300, others: map[string]int{"b": 500, "c": 400}, want: "c"},
		"a holder without siblings keeps all":             {holder: true, fresh: true, mine: 5000, want: ""},
		"nobody is sent where there is no room":           {holder: true, fresh: true, mine: 5000, others: map[string]int{"b": 2000, "c": 2500}, want: ""},
		"an edge with its share keeps it":                 {mine: 1000, others: map[string]int{"b": 900, "c": 950}, want: ""},
		"an edge with far more sends on":                  {mine: 1500, others: map[string]int{"b": 100, "c": 900}, want: "b"},
		"an edge that is full sends on to one that isn't": {fresh: true, mine: 2400, others: map[string]int{"b": 700, "c": 2100}, want: "b"},
	} {
		s := Steer{Keep: 200, Room: 2000}
		if got := s.Elsewhere(time.Unix(1e9, 0), c.holder, c.fresh, c.mine, c.others); got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
}

// TestSteerLevels sends thousands of machines away from a new holder, which all came to
// it at once: new connections at once and evenly, open ones within a while, none back.
func TestSteerLevels(t *testing.T) {
	s, now := Steer{Keep: 200, Room: 3000}, time.Unix(1e9, 0)
	mine, others := 5000, map[string]int{"b": 0, "c": 0}
	for range 60 {
		for range mine / 8 { // those that report in this second
			now = now.Add(time.Second * 8 / time.Duration(mine))
			if to := s.Elsewhere(now, true, false, mine, others); to != "" {
				mine--
				others[to]++
			}
		}
	}
	if mine > 250 || others["b"]-others["c"] > 20 || others["c"]-others["b"] > 20 {
		t.Errorf("after a minute: %d here, %v there", mine, others)
	}
}

// FuzzItems: whatever a sibling sends, the hub neither fails nor takes a report for another
// machine's.
func FuzzItems(f *testing.F) {
	f.Add("n-1", uint64(1), uint64(2), true, false, 0.0)
	f.Add("n-2", uint64(0), uint64(0), false, true, 3.5)
	f.Fuzz(func(t *testing.T, machine string, session, seq uint64, same, noticed bool, notice float64) {
		m, now := newMemory(), time.Unix(1e9, 0)
		_, _ = m.grow(now, pack(crowd(1)[0]))
		it := item{Machine: machine, Session: session, Seq: seq, Same: same, Noticed: noticed, NoticeS: notice}
		if whole, ok := m.grow(now, it); ok {
			if r := whole.report(); r.Machine != machine || r.Session != session || r.Seq != seq || same && len(r.Tasks) != 5 {
				t.Errorf("%+v became %+v", it, r)
			}
		}
	})
}

// BenchmarkSteer is what each report to a crowded controller costs beside its answer.
func BenchmarkSteer(b *testing.B) {
	s, others := Steer{Keep: 200, Room: 3000}, map[string]int{}
	for i := range 4 {
		others[fmt.Sprint("c-", i)] = i
	}
	for b.Loop() {
		s.Elsewhere(time.Unix(1e9, 0), true, false, 3000, others)
	}
}

// leaky is a connection on which one write is lost while it seems sent.
type leaky struct {
	net.Conn
	mu     sync.Mutex
	writes int
	lose   int
}

func (c *leaky) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	lost := c.writes == c.lose
	c.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestNothingIsLeftOut: where a batch is lost on a stream that goes on, what the later ones
// call the same as before would be taken for what was before that: an old list with a new
// number, by which a holder believed running tasks to be gone. The stream ends instead.
func TestNothingIsLeftOut(t *testing.T) {
	onLine(t, func(r *wire.Report) worker.Verdict {
		if old := r.Seq <= 4; old != (len(r.Tasks) == 5) {
			t.Errorf("report %d came with %d tasks", r.Seq, len(r.Tasks))
		}
		return worker.Verdict{Answer: &wire.Answer{Term: r.Seq}}
	}, func(ctx context.Context, l *line) {
		var group sync.WaitGroup
		for seq := range 12 {
			r := crowd(1)[0]
			r.Seq = uint64(seq + 1)
			if seq >= 4 {
				r.Tasks = r.Tasks[:2] // in the batch that is lost
			}
			group.Add(1)
			go func() {
				defer group.Done()
				if v, ok := l.Pass(ctx, r); ok && v.Answer != nil && v.Answer.Term != r.Seq {
					t.Errorf("report %d was answered as %d", r.Seq, v.Answer.Term)
				}
			}()
			time.Sleep(300 * time.Millisecond)
		}
		group.Wait()
	}, func(l *line) {
		open := l.Edge.Open
		l.Edge.Open = func(ctx context.Context, sibling, kind string) (net.Conn, *gob.Encoder, error) {
			conn, _, err := open(ctx, sibling, kind)
			c := &leaky{Conn: conn, lose: 13} // with the fifth report
			return c, gob.NewEncoder(c), err
		}
	})
}

// TestCallsOfALostStream: an edge that was given calls is gone, and back at once. They are made
// by nobody, and the holder is told so.
func TestCallsOfALostStream(t *testing.T) {
	var mu sync.Mutex
	given, vain := 0, map[string]bool{}
	onLine(t, nil, func(_ context.Context, l *line) {
		time.Sleep(time.Second)
		mu.Lock()
		if given != 8 || len(vain) > 0 {
			t.Errorf("%d calls were given, in vain: %v", given, vain)
		}
		mu.Unlock()
		l.mu.Lock()
		l.conn.Close()
		l.mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		if len(vain) != 8 {
			t.Errorf("known to be made by nobody: %v", vain)
		}
	}, func(l *line) {
		l.Pace = throttle.New()
		l.hub.Raises = func(n int) (out []leader.Raise) {
			mu.Lock()
			defer mu.Unlock()
			for ; given < 8 && len(out) < n; given++ {
				out = append(out, leader.Raise{Machine: fmt.Sprintf("n-%03d", given), Term: 3, Session: 1})
			}
			return out
		}
		l.hub.Raised = func(machine string, r *wire.Report) {
			mu.Lock()
			defer mu.Unlock()
			vain[machine] = r == nil
		}
		l.Edge.Call = func(ctx context.Context, _ leader.Raise) *wire.Report {
			<-ctx.Done()
			return nil
		}
	})
}

// TestEarlierStreamEnds: a process that began anew opens a stream while the one of its earlier
// life is still there. That one ends, and what is sent there reaches nobody.
func TestEarlierStreamEnds(t *testing.T) {
	onLine(t, nil, func(ctx context.Context, l *line) {
		l.mu.Lock()
		old := l.conn
		l.mu.Unlock()
		conn, enc, _ := l.Open(ctx, "c-0", Kind)
		if err := enc.Encode(batch{Number: 1}); err != nil {
			t.Error(err)
		}
		_ = old.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := old.Write([]byte{0}); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("the earlier stream: %v", err)
		}
		conn.Close()
	})
}
