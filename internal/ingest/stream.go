package ingest

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Limits of a stream.
const (
	maxBatch            = 256                    // heartbeats in a batch
	batchInterval       = 25 * time.Millisecond  // minimum time between two batches, so that more heartbeats share one
	keepAliveInterval   = time.Second            // after which an empty batch is sent to show that the sender is alive
	maxInFlight         = 4                      // batches that wait for a reply
	stallTimeout        = 8 * time.Second        // after which a stream that makes no progress is closed
	leaderCheckInterval = 200 * time.Millisecond // between two checks of which controller leads
	dialTimeout         = 2 * time.Second
)

// stream is an open connection to a leader. The fields that change, except for channels and runningCalls,
// are guarded by the uplink's mutex.
type stream struct {
	leader   string
	conn     net.Conn
	queue    []*pendingHeartbeat
	wake     chan struct{}            // signals that there is something to send
	inFlight chan []*pendingHeartbeat // batches that wait for a reply

	activeCalls    int      // number of fencing calls in progress for the leader
	callHeartbeats []item   // returned to fencing calls since the last batch
	failedCalls    []string // machines that did not answer a fencing call since the last batch
	runningCalls   sync.WaitGroup

	// established is set once the leader has replied to a batch. Until then, no heartbeats are queued on
	// the stream.
	established bool
}

// pendingHeartbeat is a heartbeat whose worker waits for an answer.
type pendingHeartbeat struct {
	heartbeat *wire.Heartbeat
	since     time.Time
	answer    chan worker.HeartbeatResult // closed without a value if there will be no answer
}

var (
	// errLeaderChanged is returned if a stream ends because another controller leads now.
	errLeaderChanged = errors.New("another controller leads now")
	// errReplyMismatch is returned if a reply does not belong to the oldest outstanding batch.
	errReplyMismatch = errors.New("the reply does not answer each heartbeat of the batch")
)

func (s *stream) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runStream opens a stream to a leader and forwards heartbeats on it until it fails or the leader changes.
func (u *Uplink) runStream(ctx context.Context, leader string) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, enc, err := u.OpenStream(dialCtx, leader, StreamKind)
	cancel()
	if err != nil {
		return fmt.Errorf("open a heartbeat stream: %w", err)
	}
	defer conn.Close()
	s := &stream{leader: leader, conn: conn, wake: make(chan struct{}, 1), inFlight: make(chan []*pendingHeartbeat, maxInFlight)}
	u.mu.Lock()
	u.stream = s
	u.mu.Unlock()
	defer u.closeStream(s)
	defer s.runningCalls.Wait()
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	g.Go(func() error { return u.watchLeader(ctx, s) })
	g.Go(func() error { return u.sendBatches(ctx, s, enc) })
	g.Go(func() error { return u.receiveReplies(ctx, s, gob.NewDecoder(conn)) })
	return g.Wait()
}

// watchLeader ends a stream as soon as another controller leads, even if the former leader hangs and
// reads nothing.
func (u *Uplink) watchLeader(ctx context.Context, s *stream) error {
	tick := time.NewTicker(leaderCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if u.Leader() != s.leader {
				return errLeaderChanged
			}
		}
	}
}

// sendBatches sends batches, up to maxInFlight of them before the first is answered. The replies of a busy
// leader are then delayed, but its throughput does not drop.
func (u *Uplink) sendBatches(ctx context.Context, s *stream, enc *gob.Encoder) error {
	codec := newDeltaCodec()
	for number := uint64(1); ctx.Err() == nil; number++ {
		heartbeats, now := u.nextHeartbeats(s), time.Now()
		b := u.newBatch(s)
		b.Number = number
		for _, p := range heartbeats {
			b.Items = append(b.Items, codec.compress(now, newItem(p.heartbeat)))
		}
		select {
		case s.inFlight <- heartbeats:
		case <-ctx.Done():
			u.abandon(heartbeats)
			return nil
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		if err := enc.Encode(b); err != nil {
			return fmt.Errorf("send a batch of heartbeats: %w", err)
		}
		store.Backoff(ctx, batchInterval)
		t := time.NewTimer(keepAliveInterval)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// receiveReplies delivers the answers, which arrive in the order of the batches.
func (u *Uplink) receiveReplies(ctx context.Context, s *stream, dec *gob.Decoder) error {
	for number := uint64(1); ; number++ {
		select {
		case <-ctx.Done():
			return nil
		case heartbeats := <-s.inFlight:
			_ = s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
			r, err := readReply(dec, number, len(heartbeats))
			if err != nil {
				u.abandon(heartbeats)
				return err
			}
			for i, p := range heartbeats {
				p.answer <- r.Answers[i].result()
			}
			u.startCalls(ctx, s, r.Calls)
		}
	}
}

// readReply reads the reply to the batch with the given number and number of heartbeats.
func readReply(dec *gob.Decoder, number uint64, heartbeats int) (r reply, err error) {
	if err := dec.Decode(&r); err != nil {
		return r, fmt.Errorf("read a reply: %w", err)
	}
	if len(r.Answers) != heartbeats || r.Number != 0 && r.Number != number {
		return r, errReplyMismatch
	}
	return r, nil
}

// startCalls marks the stream as established and starts the fencing calls that a reply requests.
func (u *Uplink) startCalls(ctx context.Context, s *stream, calls []reachability.FencingCall) {
	u.mu.Lock()
	s.established = true
	s.activeCalls += len(calls)
	u.mu.Unlock()
	for _, c := range calls {
		s.runningCalls.Add(1)
		go u.makeFencingCall(ctx, s, c)
	}
}

// makeFencingCall makes a fencing call for the leader and keeps its outcome for the next batch.
func (u *Uplink) makeFencingCall(ctx context.Context, s *stream, c reachability.FencingCall) {
	defer s.runningCalls.Done()
	heartbeat := u.FencingCall(ctx, c)
	u.mu.Lock()
	defer u.mu.Unlock()
	s.activeCalls--
	if heartbeat != nil && heartbeat.Machine == c.Machine {
		s.callHeartbeats = append(s.callHeartbeats, newItem(heartbeat))
	} else {
		s.failedCalls = append(s.failedCalls, c.Machine)
	}
	s.wakeSender()
}

// newBatch returns a batch with the outcomes of fencing calls and the number of further calls that can be
// made, but without heartbeats.
func (u *Uplink) newBatch(s *stream) batch {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := batch{Heard: s.callHeartbeats, Vain: s.failedCalls}
	s.callHeartbeats, s.failedCalls = nil, nil
	if u.FencingCall != nil {
		b.Room = max(0, u.Throttle.Window()-s.activeCalls)
	}
	return b
}

// nextHeartbeats removes the next heartbeats to forward from the queue. It drops those that have waited
// for answerTimeout, because their workers will not wait for an answer any longer.
func (u *Uplink) nextHeartbeats(s *stream) []*pendingHeartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*pendingHeartbeat
	n := 0
	for ; n < len(s.queue) && len(out) < maxBatch; n++ {
		if p := s.queue[n]; time.Since(p.since) < answerTimeout {
			out = append(out, p)
		} else {
			u.unanswered++
			close(p.answer)
		}
	}
	s.queue = s.queue[n:]
	if len(s.queue) > 0 {
		s.wakeSender()
	}
	return out
}

// abandon ends the wait for heartbeats that will not be answered, and counts them as unanswered.
func (u *Uplink) abandon(heartbeats []*pendingHeartbeat) {
	for _, p := range heartbeats {
		close(p.answer)
	}
	u.mu.Lock()
	u.unanswered += uint64(len(heartbeats))
	u.mu.Unlock()
}

// closeStream removes a stream from the uplink and abandons the heartbeats that wait on it.
func (u *Uplink) closeStream(s *stream) {
	u.mu.Lock()
	if u.stream == s {
		u.stream = nil
		if s.established {
			u.brokenAt = time.Now()
		}
	}
	queued := s.queue
	s.queue = nil
	u.mu.Unlock()
	u.abandon(queued)
	for len(s.inFlight) > 0 {
		u.abandon(<-s.inFlight)
	}
}
