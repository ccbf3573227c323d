package ingest

import (
	"context"
	"encoding/gob"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// maxCalls is the maximum number of fencing calls that one reply requests.
const maxCalls = 32

// Receiver is the leader's end of the streams that peers forward heartbeats on.
type Receiver struct {
	// Decide answers a heartbeat that a peer has forwarded.
	Decide func(*wire.Heartbeat) worker.HeartbeatResult
	// FencingCalls returns at most limit fencing calls for a peer to make.
	FencingCalls func(limit int) []reachability.FencingCall
	// FencingCallDone processes the outcome of a fencing call: the machine's heartbeat, or nil if the
	// machine did not answer.
	FencingCallDone func(machine string, heartbeat *wire.Heartbeat)
	Log             *slog.Logger

	mu        sync.Mutex
	lastBatch map[string]time.Time        // when each peer's last batch arrived
	streams   map[string]transport.Stream // the latest one of each peer
}

// ForwardingPeers returns the names of the peers whose last batch is no older than age.
func (r *Receiver) ForwardingPeers(age time.Duration) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]bool)
	for name, at := range r.lastBatch {
		if time.Since(at) <= age {
			out[name] = true
		}
	}
	return out
}

// registerStream records a peer's new stream and closes its previous one. What still arrives on the
// previous stream was sent before a disconnection or by an earlier incarnation, and fencing calls sent on
// it would not be made.
func (r *Receiver) registerStream(from string, c transport.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams == nil {
		r.streams = make(map[string]transport.Stream)
	}
	if old := r.streams[from]; old != nil {
		old.Close()
	}
	r.streams[from] = c
}

// unregisterStream removes a stream. Fencing calls that were sent on it and have no outcome count as
// failed, so that this controller makes them itself instead of waiting for them.
func (r *Receiver) unregisterStream(from string, c transport.Stream, outstandingCalls map[string]bool) {
	r.mu.Lock()
	if r.streams[from] == c {
		delete(r.streams, from)
	}
	r.mu.Unlock()
	for machine := range outstandingCalls {
		r.FencingCallDone(machine, nil)
	}
}

// recordBatch records the time of a peer's last batch.
func (r *Receiver) recordBatch(now time.Time, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastBatch == nil {
		r.lastBatch = make(map[string]time.Time)
	}
	r.lastBatch[from] = now
}

// Serve answers the batches on one stream until the stream ends.
func (r *Receiver) Serve(ctx context.Context, from string, c transport.Stream, dec *gob.Decoder) {
	enc, codec, outstandingCalls := gob.NewEncoder(c), newDeltaCodec(), make(map[string]bool)
	r.registerStream(from, c)
	defer r.unregisterStream(from, c, outstandingCalls)
	for number := uint64(1); ctx.Err() == nil; number++ {
		var b batch
		if err := dec.Decode(&b); err != nil {
			return
		}
		if b.Number != 0 && b.Number != number {
			r.Log.Warn("heartbeat batch missing", "peer", from, "number", b.Number, "expected", number)
			return
		}
		now := time.Now()
		r.recordBatch(now, from)
		answers, ok := r.answerAll(now, from, b.Items, codec)
		if !ok {
			return
		}
		r.applyCallOutcomes(&b, outstandingCalls)
		calls := r.FencingCalls(min(b.Room, maxCalls))
		for _, call := range calls {
			outstandingCalls[call.Machine] = true
		}
		if err := enc.Encode(reply{Number: b.Number, Answers: answers, Calls: calls}); err != nil {
			return
		}
	}
}

// answerAll answers the heartbeats of a batch in order. ok is false if a delta can't be expanded. The
// caller then ends the stream, and the next stream begins with complete heartbeats.
func (r *Receiver) answerAll(now time.Time, from string, items []item, codec *deltaCodec) (answers []answer, ok bool) {
	answers = make([]answer, 0, len(items))
	for _, it := range items {
		full, known := codec.expand(now, it)
		if !known {
			r.Log.Warn("heartbeat delta without its base", "peer", from, "machine", it.Machine)
			return nil, false
		}
		answers = append(answers, newAnswer(r.Decide(full.heartbeat())))
	}
	return answers, true
}

// applyCallOutcomes processes the outcomes of fencing calls that a batch carries.
func (r *Receiver) applyCallOutcomes(b *batch, outstandingCalls map[string]bool) {
	for _, it := range b.Heard {
		delete(outstandingCalls, it.Machine)
		r.FencingCallDone(it.Machine, it.heartbeat())
	}
	for _, machine := range b.Vain {
		delete(outstandingCalls, machine)
		r.FencingCallDone(machine, nil)
	}
}
