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

// HeartbeatReplayer delivers copies of some heartbeats a second time: two seconds to well over a
// lease later, to the same or another controller, also if the machine is gone by then; or to the
// next leader as soon as it acts. Answers are discarded.
type HeartbeatReplayer struct {
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Controllers []string // their addresses
	MaxDelay    time.Duration
	Rand        *rand.Rand

	mu                   sync.Mutex
	share                float64
	keepShare            float64 // share of heartbeats whose copies are kept for the next leader
	delivered            int     // number of copies
	deliveredToNewLeader int     // number of those that were kept for a leader
	latestToken          uint64  // of the last leader that acted
	kept                 []keptHeartbeat
}

// keptHeartbeat is a copy of a heartbeat with the fencing token that its worker had seen.
type keptHeartbeat struct {
	body  []byte
	token uint64
}

// maxKept bounds the kept copies; the oldest are dropped.
const maxKept = 2000

// KeepForNextLeader sets the share of heartbeats of which a copy is kept until a new leader acts,
// independently of SetShare.
func (e *HeartbeatReplayer) KeepForNextLeader(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepShare = share
}

// leaderAnswered is called when a worker has accepted an answer. The first answer of a new leader
// triggers the replay of heartbeats from before its fencing token.
func (e *HeartbeatReplayer) leaderAnswered(at string, token uint64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if token <= e.latestToken {
		return
	}
	e.latestToken = token
	var rest []keptHeartbeat
	for _, k := range e.kept {
		if k.token >= token {
			rest = append(rest, k)
			continue
		}
		e.replay(at, k.body, time.Duration(e.Rand.Int64N(int64(newLeaderDelay))), &e.deliveredToNewLeader)
	}
	e.kept = rest
}

// newLeaderDelay bounds how soon kept copies reach the next leader.
const newLeaderDelay = 500 * time.Millisecond

// SetShare sets the share of heartbeats that are replayed later.
func (e *HeartbeatReplayer) SetShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share = share
}

// DeliveredToNewLeader returns how many copies reached a leader that had just started to act.
func (e *HeartbeatReplayer) DeliveredToNewLeader() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deliveredToNewLeader
}

// Delivered returns how many copies were delivered.
func (e *HeartbeatReplayer) Delivered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delivered
}

// heartbeatSent is called with each heartbeat that a worker sends.
func (e *HeartbeatReplayer) heartbeatSent(to string, body []byte, token uint64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.keepShare > 0 && e.Rand.Float64() < e.keepShare {
		e.kept = append(e.kept, keptHeartbeat{body, token})
		e.kept = e.kept[max(0, len(e.kept)-maxKept):]
	}
	if e.share <= 0 || e.Rand.Float64() >= e.share {
		return
	}
	const least = 2 * time.Second
	late := least + time.Duration(e.Rand.Int64N(int64(max(e.MaxDelay-least, time.Second))))
	if e.Rand.IntN(2) == 0 {
		to = e.Controllers[e.Rand.IntN(len(e.Controllers))]
	}
	e.replay(to, body, late, nil)
}

// replay delivers a copy after a delay and counts it, also in the given counter unless that is
// nil.
func (e *HeartbeatReplayer) replay(to string, body []byte, late time.Duration, also *int) {
	time.AfterFunc(late, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		caller := &transport.Caller{MaxBody: 8 << 20, Dial: e.Dial}
		if _, err := caller.Call(ctx, to, "POST", wire.PathHeartbeat, body); err == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.delivered++; also != nil {
				*also++
			}
		}
	})
}
