package simulator

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// HeartbeatReplayer delivers copies of some heartbeats a second time: either 2 s to MaxDelay later, which
// may be well over a lease, to the same or another controller and even if the machine no longer exists;
// or to the next leader as soon as it acts. Answers are discarded.
type HeartbeatReplayer struct {
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Controllers []string // addresses
	MaxDelay    time.Duration
	Rand        *rand.Rand

	mu                   sync.Mutex
	share                float64 // share of heartbeats that are replayed after a delay
	keepShare            float64 // share of heartbeats whose copies are kept for the next leader
	delivered            int     // number of delivered copies
	deliveredToNewLeader int     // number of those that were kept for a new leader
	token                uint64  // fencing token of the last leader that acted
	kept                 []keptHeartbeat
}

// keptHeartbeat is a copy of a heartbeat and the highest fencing token that its worker had seen.
type keptHeartbeat struct {
	body  []byte
	token uint64
}

// maxKept bounds the number of kept copies. The oldest are dropped first.
const maxKept = 2000

// KeepForNextLeader sets the share of heartbeats of which a copy is kept until a new leader acts,
// independently of SetShare.
func (r *HeartbeatReplayer) KeepForNextLeader(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepShare = share
}

// leaderAnswered is called when a worker has accepted an answer. The first answer of a new leader
// triggers the replay of the kept heartbeats that carry an older fencing token.
func (r *HeartbeatReplayer) leaderAnswered(leaderAddr string, token uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if token <= r.token {
		return
	}
	r.token = token
	var remaining []keptHeartbeat
	for _, k := range r.kept {
		if k.token >= token {
			remaining = append(remaining, k)
			continue
		}
		r.replay(leaderAddr, k.body, time.Duration(r.Rand.Int64N(int64(newLeaderDelay))), &r.deliveredToNewLeader)
	}
	r.kept = remaining
}

// newLeaderDelay is the longest delay after which a kept copy reaches a new leader.
const newLeaderDelay = 500 * time.Millisecond

// SetShare sets the share of heartbeats that are replayed after a delay.
func (r *HeartbeatReplayer) SetShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = share
}

// DeliveredToNewLeader returns how many copies reached a leader that had just started to act.
func (r *HeartbeatReplayer) DeliveredToNewLeader() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deliveredToNewLeader
}

// Delivered returns how many copies were delivered.
func (r *HeartbeatReplayer) Delivered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivered
}

// heartbeatSent is called with each heartbeat that a worker sends.
func (r *HeartbeatReplayer) heartbeatSent(to string, body []byte, token uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keepShare > 0 && r.Rand.Float64() < r.keepShare {
		r.kept = append(r.kept, keptHeartbeat{body, token})
		r.kept = r.kept[max(0, len(r.kept)-maxKept):]
	}
	if r.share <= 0 || r.Rand.Float64() >= r.share {
		return
	}
	const minDelay = 2 * time.Second
	delay := minDelay + time.Duration(r.Rand.Int64N(int64(max(r.MaxDelay-minDelay, time.Second))))
	if r.Rand.IntN(2) == 0 {
		to = r.Controllers[r.Rand.IntN(len(r.Controllers))]
	}
	r.replay(to, body, delay, nil)
}

// replay delivers a copy after a delay and counts it, also in extraCounter unless that is nil.
func (r *HeartbeatReplayer) replay(to string, body []byte, delay time.Duration, extraCounter *int) {
	time.AfterFunc(delay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		caller := &transport.Client{MaxBody: 8 << 20, Dial: r.Dial}
		if _, err := caller.Call(ctx, to, "POST", wire.PathHeartbeat, body); err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.delivered++; extraCounter != nil {
				*extraCounter++
			}
		}
	})
}
