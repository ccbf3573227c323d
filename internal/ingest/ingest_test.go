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

// link connects an uplink to a receiver in memory.
type link struct {
	*Uplink
	receiver *Receiver
	mu       sync.Mutex
	leader   string
	conn     net.Conn // the uplink's end of the latest stream
	opened   int      // number of streams opened
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

// runWithLink runs a test with a link on a fake clock. setup changes the link before its uplink starts.
func runWithLink(t *testing.T, decide func(*wire.Heartbeat) worker.HeartbeatResult, run func(ctx context.Context, l *link), setup ...func(*link)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l := newLink(ctx, decide, setup)
		time.Sleep(time.Second)
		run(ctx, l)
		stop()
		time.Sleep(10 * time.Minute)
	})
}

// TestForwardingIsLossless checks that forwarding preserves optional values that are zero. gob once
// dropped both a stop command's grace period of zero and a termination notice of zero.
func TestForwardingIsLossless(t *testing.T) {
	zero, nine := 0.0, 9.5
	answer := worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 7, Commands: []wire.Command{
		{Verb: wire.Stop, Task: "wk-1/0", Attempt: 3, GraceS: &zero}, {Verb: wire.Stop, Task: "wk-1/1", Attempt: 3, GraceS: &nine}, {Verb: wire.Launch, Task: "wk-2/0", Attempt: 4}}}}
	heartbeat := newHeartbeats(1)[0]
	heartbeat.Seq, heartbeat.Spot, heartbeat.TerminationNoticeS = 12, true, &zero
	var got *wire.Heartbeat
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult { got = r; return answer }, func(ctx context.Context, l *link) {
		if v, ok := l.Forward(ctx, heartbeat); !ok || !reflect.DeepEqual(v, answer) {
			t.Errorf("the answer arrived as %+v, %v", v.Response, ok)
		}
		if !reflect.DeepEqual(got, heartbeat) {
			t.Errorf("the heartbeat arrived as %+v", got)
		}
	})
}

// TestDeltaCodecOmitsUnchanged checks that the receiver restores a heartbeat that repeats the machine's
// previous one, also after changed or ended tasks, a new incarnation, a new stream and a long pause.
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
				t.Errorf("step %d: %+v arrived as %+v", seq, r, got)
			}
		}
	})
}

// TestSlowLeader checks that a leader that needs seconds for each batch still answers some heartbeats in
// time, that no caller waits longer than its worker does, and that the stream stays open. Heartbeats whose
// workers have stopped waiting are not forwarded.
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
				start := time.Now()
				v, ok := l.Forward(ctx, r)
				if took := time.Since(start); !ok || took > 4*time.Second {
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
			t.Errorf("%d of 8 heartbeats answered in time", answered)
		}
		time.Sleep(20 * time.Second)
		if v, ok := l.Forward(ctx, newHeartbeats(1)[0]); !ok || v.Response == nil || l.opened != 1 {
			t.Errorf("later: %+v, %v, opened %d times", v, ok, l.opened)
		}
	})
}

// TestFencingCallsDelegated checks that a peer makes the fencing calls that the leader requests, at most
// as many at once as its throttle allows, and that the leader receives their outcomes, including failures.
func TestFencingCallsDelegated(t *testing.T) {
	var mu sync.Mutex
	requested, outcomes, open, maxOpen := 0, map[string]bool{}, 0, 0
	runWithLink(t, nil, func(_ context.Context, _ *link) {
		time.Sleep(20 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for machine, ok := range outcomes {
			if ok == (machine == "n-007") {
				t.Errorf("%s: %v", machine, ok)
			}
		}
		if len(outcomes) != 100 || maxOpen > throttle.MaxWindow {
			t.Errorf("%d of 100 machines called, at most %d at once", len(outcomes), maxOpen)
		}
	}, func(l *link) {
		l.Throttle = throttle.New()
		l.receiver.FencingCalls = func(n int) []reachability.FencingCall {
			mu.Lock()
			defer mu.Unlock()
			var out []reachability.FencingCall
			for ; requested < 100 && len(out) < n; requested++ {
				out = append(out, reachability.FencingCall{Machine: fmt.Sprintf("n-%03d", requested), Term: 3, Session: 1})
			}
			return out
		}
		l.receiver.FencingCallDone = func(machine string, r *wire.Heartbeat) {
			mu.Lock()
			defer mu.Unlock()
			outcomes[machine] = r != nil && r.FencingToken == 3 && len(r.Tasks) == 5
		}
		l.Uplink.FencingCall = func(_ context.Context, c reachability.FencingCall) *wire.Heartbeat {
			mu.Lock()
			open++
			maxOpen = max(maxOpen, open)
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

// TestLeaderChanges checks that heartbeats go to the current leader and to no controller while there is no
// stream, and that workers are not redirected to the leader right after a stream broke: all at once would
// overload it.
func TestLeaderChanges(t *testing.T) {
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult {
		return worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 1}}
	}, func(ctx context.Context, l *link) {
		if l.ForwardsTo() != "c-0" {
			t.Errorf("forwards to %q", l.ForwardsTo())
		}
		l.setLeader("c-2")
		time.Sleep(3 * time.Second)
		if l.ForwardsTo() != "c-2" || l.opened != 2 {
			t.Errorf("forwards to %q, opened %d times", l.ForwardsTo(), l.opened)
		}
		l.setLeader("")
		if _, ok := l.Forward(ctx, newHeartbeats(1)[0]); ok {
			t.Error("a heartbeat was forwarded without a leader")
		}
		time.Sleep(2 * time.Second)
		gateway := &Gateway{Forwarder: l.Uplink, Leader: func(*wire.Heartbeat) string { return "c-2" }}
		if to := gateway.RedirectTarget(nil); to != "" {
			t.Errorf("redirected to %q right after the stream broke", to)
		}
		time.Sleep(10 * time.Second)
		if to := gateway.RedirectTarget(nil); to != "c-2" {
			t.Errorf("redirected to %q long after the stream broke", to)
		}
	})
}

// TestHungLeader checks that the uplink leaves a leader that stops reading as soon as another controller
// leads the fleet, instead of after stallTimeout.
func TestHungLeader(t *testing.T) {
	hung := true
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult {
		if hung {
			hung = false
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
			t.Errorf("one second after the leader changed, heartbeats go to %q", l.ForwardsTo())
		}
	})
}

// TestBrokenStream checks that every heartbeat in flight on a stream that breaks gets an outcome, and that
// the next stream begins with complete heartbeats.
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
			t.Errorf("after the stream broke: %+v, %v", v, ok)
		}
	})
}

// TestBalancer checks which controller receives a machine's heartbeats. In the names of the cases, an edge
// is a controller that forwards heartbeats.
func TestBalancer(t *testing.T) {
	for name, c := range map[string]struct {
		leader, newConnection bool
		local                 int
		peers                 map[string]int
		want                  string
	}{
		"a leader with few keeps them":                    {leader: true, local: 100, peers: map[string]int{"b": 0}, want: ""},
		"a leader with many sends on, to the least":       {leader: true, local: 300, peers: map[string]int{"b": 500, "c": 400}, want: "c"},
		"a leader without peers keeps all":                {leader: true, newConnection: true, local: 5000, want: ""},
		"nobody is sent where there is no room":           {leader: true, newConnection: true, local: 5000, peers: map[string]int{"b": 2000, "c": 2500}, want: ""},
		"an edge with its share keeps it":                 {local: 1000, peers: map[string]int{"b": 900, "c": 950}, want: ""},
		"an edge with far more sends on":                  {local: 1500, peers: map[string]int{"b": 100, "c": 900}, want: "b"},
		"an edge that is full sends on to one that isn't": {newConnection: true, local: 2400, peers: map[string]int{"b": 700, "c": 2100}, want: "b"},
	} {
		balancer := Balancer{LeaderKeeps: 200, Capacity: 2000}
		if got := balancer.Target(time.Unix(1e9, 0), c.leader, c.newConnection, c.local, c.peers); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// TestBalancerLevelsLoads checks that a new leader that received thousands of machines at once moves those
// on open connections to its peers evenly and within a minute.
func TestBalancerLevelsLoads(t *testing.T) {
	balancer, now := Balancer{LeaderKeeps: 200, Capacity: 3000}, time.Unix(1e9, 0)
	local, peers := 5000, map[string]int{"b": 0, "c": 0}
	for range 60 {
		for range local / 8 { // machines send a heartbeat every 8 s
			now = now.Add(time.Second * 8 / time.Duration(local))
			if to := balancer.Target(now, true, false, local, peers); to != "" {
				local--
				peers[to]++
			}
		}
	}
	if local > 250 || peers["b"]-peers["c"] > 20 || peers["c"]-peers["b"] > 20 {
		t.Errorf("after a minute: %d local, %v at the peers", local, peers)
	}
}

// FuzzItems checks that the receiver neither panics on arbitrary items nor attributes a heartbeat to
// another machine.
func FuzzItems(f *testing.F) {
	f.Add("n-1", uint64(1), uint64(2), true, false, 0.0)
	f.Add("n-2", uint64(0), uint64(0), false, true, 3.5)
	f.Fuzz(func(t *testing.T, machine string, incarnation, seq uint64, same, noticed bool, notice float64) {
		codec, now := newDeltaCodec(), time.Unix(1e9, 0)
		_, _ = codec.expand(now, newItem(newHeartbeats(1)[0]))
		it := item{Machine: machine, Session: incarnation, Seq: seq, Same: same, Noticed: noticed, NoticeS: notice}
		if full, ok := codec.expand(now, it); ok {
			if r := full.heartbeat(); r.Machine != machine || r.Incarnation != incarnation || r.Seq != seq || same && len(r.Tasks) != 5 {
				t.Errorf("%+v was expanded to %+v", it, r)
			}
		}
	})
}

// BenchmarkBalancer measures the balancing cost of each heartbeat to an overloaded controller.
func BenchmarkBalancer(b *testing.B) {
	balancer, peers := Balancer{LeaderKeeps: 200, Capacity: 3000}, map[string]int{}
	for i := range 4 {
		peers[fmt.Sprint("c-", i)] = i
	}
	for b.Loop() {
		balancer.Target(time.Unix(1e9, 0), true, false, 3000, peers)
	}
}

// lossyConn is a connection that silently drops one write.
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

// TestMissingBatchEndsStream checks that a stream ends if one of its batches is lost. Otherwise later
// deltas would be expanded from an outdated base: an old task list with a new sequence number, which made
// a leader treat running tasks as gone.
func TestMissingBatchEndsStream(t *testing.T) {
	runWithLink(t, func(r *wire.Heartbeat) worker.HeartbeatResult {
		if old := r.Seq <= 4; old != (len(r.Tasks) == 5) {
			t.Errorf("heartbeat %d arrived with %d tasks", r.Seq, len(r.Tasks))
		}
		return worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: r.Seq}}
	}, func(ctx context.Context, l *link) {
		var group sync.WaitGroup
		for seq := range 12 {
			r := newHeartbeats(1)[0]
			r.Seq = uint64(seq + 1)
			if seq >= 4 {
				r.Tasks = r.Tasks[:2] // this change is in the lost batch
			}
			group.Add(1)
			go func() {
				defer group.Done()
				if v, ok := l.Forward(ctx, r); ok && v.Response != nil && v.Response.FencingToken != r.Seq {
					t.Errorf("heartbeat %d got the answer to %d", r.Seq, v.Response.FencingToken)
				}
			}()
			time.Sleep(300 * time.Millisecond)
		}
		group.Wait()
	}, func(l *link) {
		open := l.Uplink.OpenStream
		l.Uplink.OpenStream = func(ctx context.Context, peer, kind string) (net.Conn, *gob.Encoder, error) {
			conn, _, err := open(ctx, peer, kind)
			c := &lossyConn{Conn: conn, dropWrite: 13} // the batch with the fifth heartbeat
			return c, gob.NewEncoder(c), err
		}
	})
}

// TestFencingCallsFailWithStream checks that the leader learns that fencing calls given to a peer were
// not made if the peer disconnects and reconnects at once.
func TestFencingCallsFailWithStream(t *testing.T) {
	var mu sync.Mutex
	given, failed := 0, map[string]bool{}
	runWithLink(t, nil, func(_ context.Context, l *link) {
		time.Sleep(time.Second)
		mu.Lock()
		if given != 8 || len(failed) > 0 {
			t.Errorf("%d calls given, failed: %v", given, failed)
		}
		mu.Unlock()
		l.mu.Lock()
		l.conn.Close()
		l.mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		if len(failed) != 8 {
			t.Errorf("calls known to have failed: %v", failed)
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
			failed[machine] = r == nil
		}
		l.Uplink.FencingCall = func(ctx context.Context, _ reachability.FencingCall) *wire.Heartbeat {
			<-ctx.Done()
			return nil
		}
	})
}

// TestEarlierStreamEnds checks that a stream of a peer's earlier incarnation ends when the restarted
// process opens a new one, and that nothing more is accepted on the earlier stream.
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
