package ingest

import (
	"context"
	"encoding/gob"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Receiver is the holder's side of the streams.
type Receiver struct {
	// Decide answers a report that a sibling has passed on.
	Decide func(*wire.Heartbeat) worker.HeartbeatResult
	// FencingCalls gives calls, so many at the most, that a sibling is asked to make, and
	// Raised takes in what became of one, with the machine's report where it had an answer.
	FencingCalls    func(most int) []leader.FencingCall
	FencingCallDone func(machine string, r *wire.Heartbeat)
	Log             *slog.Logger

	mu        sync.Mutex
	lastBatch map[string]time.Time        // when each edge was last heard
	streams   map[string]transport.Stream // the stream that each opened last
}

// ForwardingPeers names the siblings that pass reports on, heard within an age.
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

// registerStream ends the stream that an edge had before: what still comes there is from before a
// break, or of an earlier life of its, and no call that it is given will be made.
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

// unregisterStream forgets a stream. The calls that it was given and that it has said nothing of are made
// by nobody: their machines are called from here, and not waited for.
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
			h.Log.Warn("batch of reports missing", "from", from, "number", b.Number, "expected", number)
			return
		}
		now, r := time.Now(), reply{Number: b.Number, Answers: make([]answer, 0, len(b.Items))}
		h.mu.Lock()
		if h.lastBatch == nil {
			h.lastBatch = make(map[string]time.Time)
		}
		h.lastBatch[from] = now
		h.mu.Unlock()
		for _, it := range b.Items {
			whole, ok := codec.expand(now, it)
			if !ok {
				h.Log.Warn("report without the one before it", "from", from, "machine", it.Machine)
				return
			}
			r.Answers = append(r.Answers, packAnswer(h.Decide(whole.heartbeat())))
		}
		for _, it := range b.Heard {
			delete(outstandingCalls, it.Machine)
			h.FencingCallDone(it.Machine, it.heartbeat())
		}
		for _, machine := range b.Vain {
			delete(outstandingCalls, machine)
			h.FencingCallDone(machine, nil)
		}
		r.Calls = h.FencingCalls(min(b.Room, maxCalls))
		for _, call := range r.Calls {
			outstandingCalls[call.Machine] = true
		}
		if err := enc.Encode(r); err != nil {
			return
		}
	}
}
