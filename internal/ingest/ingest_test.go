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

	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// link is an uplink and a receiver in memory, on any clock.
type link struct {
	*Uplink
	receiver *Receiver
	mu       sync.Mutex
	leader   string
	conn     net.Conn // the uplink's end of the open stream
	opened   int
}

func newLink(ctx context.Context, decide func(*wire.Heartbeat) worker.HeartbeatResult, setup []func(*link)) *link {
	l := &link{leader: "c-0", receiver: &Receiver{Decide: decide, Log: slog.New(slog.DiscardHandler)}}
	l.receiver.FencingCalls, l.receiver.FencingCallDone = func(int) []reachability.FencingCall { return nil }, func(string, *wire.Heartbeat) {}
	l.Uplink = &Uplink{Log: l.receiver.Log, Leader: func() string {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.leader
	}, OpenStream: func(context.Context, string, string) (net.Conn, *gob.Encoder, error) {
		a, b := net.Pipe()
		go func() {
			defer b.Close()
			l.receiver.Serve(ctx, "c-1", streamConn{b}, gob.NewDecoder(b))
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

func (l *link) setLeader(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = name
}

// runWithLink runs a test with a link, on a fake clock.
func runWithLink(t *testing.T, decide func(*wire.Heartbeat) worker.HeartbeatResult, play func(ctx context.Context, l *link), setup ...func(*link)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l := newLink(ctx, decide, setup)
		time.Sleep(time.Second)
		play(ctx, l)
		stop()
		time.Sleep(10 * time.Minute)
	})
}

// TestForwardingIsLossless: what is zero must not become absent. A stop with no grace
// and a machine that is taken at once were both lost by the encoding between processes.
func TestForwardingIsLossless(t *testing.T) {
	zero, nine := 0.0, 9.5
	answer := worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 7, Commands: []wire.Command{
		{Verb: wire.Stop, Task: "wk-1/0", Attempt: 3, GraceS: &zero}, {Verb: wire.Stop, Task: "wk-1/1", Attempt: 3, GraceS: &nine}, {Verb: wire.Launch, Task: "wk-2/0", Attempt: 4}}}}
	report := newHeartbeats(1)[0]
	report.Seq, report.Spot, report.TerminationNoticeS = 12, true, &zero
	var got *wire.Heartbeat
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult { got = r; return answer }, func(ctx context.Context, l *link) {
		if v, ok := l.Forward(ctx, report); !ok || !reflect.DeepEqual(v, answer) {
			t.Errorf("the answer became %+v, %v", v.Response, ok)
		}
		if !reflect.DeepEqual(got, report) {
			t.Errorf("the report became %+v", got)
		}
	})
}

// TestDeltaCodecOmitsUnchanged: a heartbeat that equals the machine's last one is whole
// again on the other side, after a change, an end, a new incarnation and a new stream too.
func TestDeltaCodecOmitsUnchanged(t *testing.T) {
	var got *wire.Heartbeat
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult { got = r; return worker.HeartbeatResult{Leader: "c-2"} }, func(ctx context.Context, l *link) {
		r := newHeartbeats(1)[0]
		for seq, change := range []func(){
			func() {}, func() {}, func() { r.FencingToken = 4 }, func() { r.Tasks = r.Tasks[1:] }, func() {}, func() { r.Tasks = nil }, func() {},
			func() { r.Incarnation, r.Tasks = 2, newHeartbeats(1)[0].Tasks[:2] }, func() {}, func() { l.conn.Close(); time.Sleep(2 * time.Second) }, func() {},
			func() { time.Sleep(5 * time.Minute) }, func() {},
		} {
			change()
			r.Seq = uint64(seq + 1)
			if v, ok := l.Forward(ctx, r); !ok || v.Leader != "c-2" || v.Response != nil {
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

// TestSlowLeader: a leader that takes seconds for each batch answers late what it can, and a heartbeat
// whose worker waits no longer is not forwarded. The stream to it stays open.
func TestSlowLeader(t *testing.T) {
	calls := 0
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult {
		if calls++; calls <= 5 {
			time.Sleep(2 * time.Second)
		}
		return worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 1}}
	}, func(ctx context.Context, l *link) {
		var group sync.WaitGroup
		var mu sync.Mutex
		answered := 0
		for i, r := range newHeartbeats(8) {
			time.Sleep(time.Duration(i%3) * 400 * time.Millisecond)
			group.Add(1)
			go func() {
				defer group.Done()
				begun := time.Now()
				v, ok := l.Forward(ctx, r)
				if took := time.Since(begun); !ok || took > 4*time.Second {
					t.Errorf("%s waited for %v, %v", r.Machine, took, ok)
				}
				mu.Lock()
				defer mu.Unlock()
				if v.Response != nil {
					answered++
				}
			}()
		}
		group.Wait()
		if answered == 0 || answered == 8 {
			t.Errorf("%d of 8 were answered in time", answered)
		}
		time.Sleep(20 * time.Second)
		if v, ok := l.Forward(ctx, newHeartbeats(1)[0]); !ok || v.Response == nil || l.opened != 1 {
			t.Errorf("later: %+v, %v, opened %d times", v, ok, l.opened)
		}
	})
}

// TestFencingCallsDelegated: the calls that the leader asks a peer for are made, as many at once as
// the peer can make, and the leader gets their outcomes, those of failed calls too.
func TestFencingCallsDelegated(t *testing.T) {
	var mu sync.Mutex
	asked, told, open, most := 0, map[string]bool{}, 0, 0
	runWithLink(t, nil, func(_ context.Context, _ *link) {
		time.Sleep(20 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for machine, ok := range told {
			if ok == (machine == "n-007") {
				t.Errorf("%s: %v", machine, ok)
			}
		}
		if len(told) != 100 || most > throttle.MaxWindow {
			t.Errorf("%d of 100 were called, %d at once", len(told), most)
		}
	}, func(l *link) {
		l.Throttle = throttle.New()
		l.receiver.FencingCalls = func(n int) []reachability.FencingCall {
			mu.Lock()
			defer mu.Unlock()
			var out []reachability.FencingCall
			for ; asked < 100 && len(out) < n; asked++ {
				out = append(out, reachability.FencingCall{Machine: fmt.Sprintf("n-%03d", asked), Term: 3, Session: 1})
			}
			return out
		}
		l.receiver.FencingCallDone = func(machine string, r *wire.Heartbeat) {
			mu.Lock()
			defer mu.Unlock()
			told[machine] = r != nil && r.FencingToken == 3 && len(r.Tasks) == 5
		}
		l.Uplink.FencingCall = func(_ context.Context, c reachability.FencingCall) *wire.Heartbeat {
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
			r := newHeartbeats(1)[0]
			r.Machine = c.Machine
			return r
		}
	})
}

// TestLeaderChanges: heartbeats go to whoever leads, and nowhere while there is no stream; after one
// broke, workers are not all sent to the leader at once.
func TestLeaderChanges(t *testing.T) {
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult {
		return worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 1}}
	}, func(ctx context.Context, l *link) {
		if l.ForwardsTo() != "c-0" {
			t.Errorf("passes to %q", l.ForwardsTo())
		}
		l.setLeader("c-2")
		time.Sleep(3 * time.Second)
		if l.ForwardsTo() != "c-2" || l.opened != 2 {
			t.Errorf("passes to %q, opened %d times", l.ForwardsTo(), l.opened)
		}
		l.setLeader("")
		if _, ok := l.Forward(ctx, newHeartbeats(1)[0]); ok {
			t.Error("a report was passed to nobody")
		}
		time.Sleep(2 * time.Second)
		desk := &Gateway{Forwarder: l.Uplink, Leader: func(*wire.Heartbeat) string { return "c-2" }}
		if to := desk.RedirectTarget(nil); to != "" {
			t.Errorf("sent to %q right after the stream broke", to)
		}
		time.Sleep(10 * time.Second)
		if to := desk.RedirectTarget(nil); to != "c-2" {
			t.Errorf("sent to %q long after", to)
		}
	})
}

// TestHungLeader: a leader that takes nothing any more is left as soon as another leads the
// fleet, and not when the stream has not moved for long.
func TestHungLeader(t *testing.T) {
	still := true
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult {
		if still {
			still = false
			time.Sleep(time.Minute)
		}
		return worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 1}}
	}, func(ctx context.Context, l *link) {
		for _, r := range newHeartbeats(20) {
			go l.Forward(ctx, r)
			time.Sleep(100 * time.Millisecond)
		}
		l.setLeader("c-2")
		time.Sleep(time.Second)
		if l.ForwardsTo() != "c-2" {
			t.Errorf("a second after the fleet changed hands reports go to %q", l.ForwardsTo())
		}
	})
}

// TestBrokenStream: a stream that breaks with heartbeats in flight leaves none of them
// without an outcome, and the next one begins with whole heartbeats.
func TestBrokenStream(t *testing.T) {
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult {
		time.Sleep(500 * time.Millisecond)
		return worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 1}}
	}, func(ctx context.Context, l *link) {
		var group sync.WaitGroup
		for _, r := range newHeartbeats(300) {
			group.Add(1)
			go func() {
				defer group.Done()
				l.Forward(ctx, r)
			}()
		}
		time.Sleep(700 * time.Millisecond)
		l.mu.Lock()
		l.conn.Close()
		l.mu.Unlock()
		group.Wait()
		time.Sleep(3 * time.Second)
		r := newHeartbeats(1)[0]
		r.Seq = 9
		if v, ok := l.Forward(ctx, r); !ok || v.Response == nil {
			t.Errorf("after the tear: %+v, %v", v, ok)
		}
	})
}

// TestBalancer is a table of which controller takes which heartbeats.
func TestBalancer(t *testing.T) {
	for name, c := range map[string]struct {
		leader, fresh bool
		mine          int
		others        map[string]int
		want          string
	}{
		"a leader with few keeps them":                    {leader: true, mine: 100, others: map[string]int{"b": 0}, want: ""},
		"a leader with many sends on, to the least":       {leader: true, mine: 300, others: map[string]int{"b": 500, "c": 400}, want: "c"},
		"a leader without peers keeps all":                {leader: true, fresh: true, mine: 5000, want: ""},
		"nobody is sent where there is no room":           {leader: true, fresh: true, mine: 5000, others: map[string]int{"b": 2000, "c": 2500}, want: ""},
		"an edge with its share keeps it":                 {mine: 1000, others: map[string]int{"b": 900, "c": 950}, want: ""},
		"an edge with far more sends on":                  {mine: 1500, others: map[string]int{"b": 100, "c": 900}, want: "b"},
		"an edge that is full sends on to one that isn't": {fresh: true, mine: 2400, others: map[string]int{"b": 700, "c": 2100}, want: "b"},
	} {
		s := Balancer{LeaderKeeps: 200, Capacity: 2000}
		if got := s.Target(time.Unix(1e9, 0), c.leader, c.fresh, c.mine, c.others); got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
}

// TestBalancerLevelsLoads sends thousands of machines away from a new leader, which all came to
// it at once: new connections at once and evenly, open ones within a while, none back.
func TestBalancerLevelsLoads(t *testing.T) {
	s, now := Balancer{LeaderKeeps: 200, Capacity: 3000}, time.Unix(1e9, 0)
	mine, others := 5000, map[string]int{"b": 0, "c": 0}
	for range 60 {
		for range mine / 8 { // those that send a heartbeat in this second
			now = now.Add(time.Second * 8 / time.Duration(mine))
			if to := s.Target(now, true, false, mine, others); to != "" {
				mine--
				others[to]++
			}
		}
	}
	if mine > 250 || others["b"]-others["c"] > 20 || others["c"]-others["b"] > 20 {
		t.Errorf("after a minute: %d here, %v there", mine, others)
	}
}

// FuzzItems: whatever a peer sends, the receiver neither fails nor takes a heartbeat for another
// machine's.
func FuzzItems(f *testing.F) {
	f.Add("n-1", uint64(1), uint64(2), true, false, 0.0)
	f.Add("n-2", uint64(0), uint64(0), false, true, 3.5)
	f.Fuzz(func(t *testing.T, machine string, incarnation, seq uint64, same, noticed bool, notice float64) {
		m, now := newDeltaCodec(), time.Unix(1e9, 0)
		_, _ = m.expand(now, newItem(newHeartbeats(1)[0]))
		it := item{Machine: machine, Session: incarnation, Seq: seq, Same: same, Noticed: noticed, NoticeS: notice}
		if whole, ok := m.expand(now, it); ok {
			if r := whole.heartbeat(); r.Machine != machine || r.Incarnation != incarnation || r.Seq != seq || same && len(r.Tasks) != 5 {
				t.Errorf("%+v became %+v", it, r)
			}
		}
	})
}

// BenchmarkBalancer measures the cost of each heartbeat to an overloaded controller beside its answer.
func BenchmarkBalancer(b *testing.B) {
	s, others := Balancer{LeaderKeeps: 200, Capacity: 3000}, map[string]int{}
	for i := range 4 {
		others[fmt.Sprint("c-", i)] = i
	}
	for b.Loop() {
		s.Target(time.Unix(1e9, 0), true, false, 3000, others)
	}
}

// lossyConn is a connection on which one write is lost while it seems sent.
type lossyConn struct {
	net.Conn
	mu        sync.Mutex
	writes    int
	dropWrite int
}

func (c *lossyConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	lost := c.writes == c.dropWrite
	c.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestMissingBatchEndsStream: where a batch is lost on a stream that goes on, what the later ones
// call the same as before would be taken for what was before that: an old list with a new
// number, by which a leader believed running tasks to be gone. The stream ends instead.
func TestMissingBatchEndsStream(t *testing.T) {
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult {
		if old := r.Seq <= 4; old != (len(r.Tasks) == 5) {
			t.Errorf("report %d came with %d tasks", r.Seq, len(r.Tasks))
		}
		return worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: r.Seq}}
	}, func(ctx context.Context, l *link) {
		var group sync.WaitGroup
		for seq := range 12 {
			r := newHeartbeats(1)[0]
			r.Seq = uint64(seq + 1)
			if seq >= 4 {
				r.Tasks = r.Tasks[:2] // in the batch that is lost
			}
			group.Add(1)
			go func() {
				defer group.Done()
				if v, ok := l.Forward(ctx, r); ok && v.Response != nil && v.Response.FencingToken != r.Seq {
					t.Errorf("report %d was answered as %d", r.Seq, v.Response.FencingToken)
				}
			}()
			time.Sleep(300 * time.Millisecond)
		}
		group.Wait()
	}, func(l *link) {
		open := l.Uplink.OpenStream
		l.Uplink.OpenStream = func(ctx context.Context, peer, kind string) (net.Conn, *gob.Encoder, error) {
			conn, _, err := open(ctx, peer, kind)
			c := &lossyConn{Conn: conn, dropWrite: 13} // with the fifth heartbeat
			return c, gob.NewEncoder(c), err
		}
	})
}

// TestFencingCallsFailWithStream: a peer that was given calls is gone, and back at once. They are made
// by no one, and the leader learns that.
func TestFencingCallsFailWithStream(t *testing.T) {
	var mu sync.Mutex
	given, vain := 0, map[string]bool{}
	runWithLink(t, nil, func(_ context.Context, l *link) {
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
	}, func(l *link) {
		l.Throttle = throttle.New()
		l.receiver.FencingCalls = func(n int) (out []reachability.FencingCall) {
			mu.Lock()
			defer mu.Unlock()
			for ; given < 8 && len(out) < n; given++ {
				out = append(out, reachability.FencingCall{Machine: fmt.Sprintf("n-%03d", given), Term: 3, Session: 1})
			}
			return out
		}
		l.receiver.FencingCallDone = func(machine string, r *wire.Heartbeat) {
			mu.Lock()
			defer mu.Unlock()
			vain[machine] = r == nil
		}
		l.Uplink.FencingCall = func(ctx context.Context, _ reachability.FencingCall) *wire.Heartbeat {
			<-ctx.Done()
			return nil
		}
	})
}

// TestEarlierStreamEnds: a restarted process opens a stream while the one of its earlier
// incarnation is still open. That one ends, and what is sent on it is dropped.
func TestEarlierStreamEnds(t *testing.T) {
	runWithLink(t, nil, func(ctx context.Context, l *link) {
		l.mu.Lock()
		old := l.conn
		l.mu.Unlock()
		conn, enc, _ := l.OpenStream(ctx, "c-0", StreamKind)
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
