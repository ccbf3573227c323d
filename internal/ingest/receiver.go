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

// maxCalls bounds the fencing calls that one reply asks for.
const maxCalls = 32

// Receiver is the leader's end of the streams.
type Receiver struct {
	// Decide answers a heartbeat that a peer has forwarded.
	Decide func(*wire.Heartbeat) worker.HeartbeatResult
	// FencingCalls returns fencing calls for a peer to make, limit at most.
	FencingCalls func(limit int) []reachability.FencingCall
	// FencingCallDone takes in the outcome of one: the machine's heartbeat, or nil where it did
	// not answer.
	FencingCallDone func(machine string, r *wire.Heartbeat)
	Log             *slog.Logger

	mu        sync.Mutex
	lastBatch map[string]time.Time        // when each peer's last batch came
	streams   map[string]transport.Stream // that each peer opened last
}

// ForwardingPeers names the peers whose last batch is no older than age.
func (h *Receiver) ForwardingPeers(age time.Duration) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]bool)
	for name, at := range h.lastBatch {
		if time.Since(at) <= age {
			out[name] = true
		}
	}
	return out
}

// registerStream closes the stream that a peer had before: what still arrives there is from before
// a break, or of an earlier incarnation, and no call that it is given would be made.
func (h *Receiver) registerStream(from string, c transport.Stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.streams == nil {
		h.streams = make(map[string]transport.Stream)
	}
	if old := h.streams[from]; old != nil {
		old.Close()
	}
	h.streams[from] = c
}

// unregisterStream forgets a stream. Calls without an outcome that it was given count as failed,
// so that this controller makes them itself rather than wait for them.
func (h *Receiver) unregisterStream(from string, c transport.Stream, outstandingCalls map[string]bool) {
	h.mu.Lock()
	if h.streams[from] == c {
		delete(h.streams, from)
	}
	h.mu.Unlock()
	for machine := range outstandingCalls {
		h.FencingCallDone(machine, nil)
	}
}

// recordBatch notes that a peer forwards heartbeats.
func (h *Receiver) recordBatch(now time.Time, from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastBatch == nil {
		h.lastBatch = make(map[string]time.Time)
	}
	h.lastBatch[from] = now
}

// Serve answers the batches of one stream until it ends.
func (h *Receiver) Serve(ctx context.Context, from string, c transport.Stream, dec *gob.Decoder) {
	enc, codec, outstandingCalls := gob.NewEncoder(c), newDeltaCodec(), make(map[string]bool)
	h.registerStream(from, c)
	defer h.unregisterStream(from, c, outstandingCalls)
	for number := uint64(1); ctx.Err() == nil; number++ {
		var b batch
		if err := dec.Decode(&b); err != nil {
			return
		}
		if b.Number != 0 && b.Number != number {
			h.Log.Warn("heartbeat batch missing", "peer", from, "number", b.Number, "expected", number)
			return
		}
		now := time.Now()
		h.recordBatch(now, from)
		answers, ok := h.answerAll(now, from, b.Items, codec)
		if !ok {
			return
		}
		h.applyCallOutcomes(&b, outstandingCalls)
		calls := h.FencingCalls(min(b.Room, maxCalls))
		for _, call := range calls {
			outstandingCalls[call.Machine] = true
		}
		if err := enc.Encode(reply{Number: b.Number, Answers: answers, Calls: calls}); err != nil {
			return
		}
	}
}

// answerAll answers the heartbeats of a batch in their order. ok is false where one can't be
// restored, which ends the stream: the next one begins with whole heartbeats.
func (h *Receiver) answerAll(now time.Time, from string, items []item, codec *deltaCodec) (answers []answer, ok bool) {
	answers = make([]answer, 0, len(items))
	for _, it := range items {
		whole, known := codec.expand(now, it)
		if !known {
			h.Log.Warn("heartbeat delta without its base", "peer", from, "machine", it.Machine)
			return nil, false
		}
		answers = append(answers, newAnswer(h.Decide(whole.heartbeat())))
	}
	return answers, true
}

// applyCallOutcomes applies the outcomes of the fencing calls in a batch.
func (h *Receiver) applyCallOutcomes(b *batch, outstandingCalls map[string]bool) {
	for _, it := range b.Heard {
		delete(outstandingCalls, it.Machine)
		h.FencingCallDone(it.Machine, it.heartbeat())
	}
	for _, machine := range b.Vain {
		delete(outstandingCalls, machine)
		h.FencingCallDone(machine, nil)
	}
}
