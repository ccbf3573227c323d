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

// Hub is the holder's side of the streams.
type Hub struct {
	// Decide answers a report that a sibling has passed on.
	Decide func(*wire.Report) worker.Verdict
	// Raises gives calls, so many at the most, that a sibling is asked to make, and
	// Raised takes in what became of one, with the machine's report where it had an answer.
	Raises func(most int) []leader.Raise
	Raised func(machine string, r *wire.Report)
	Log    *slog.Logger

	mu   sync.Mutex
	last map[string]time.Time        // when each edge was last heard
	open map[string]transport.Stream // the stream that each opened last
}

// Edges names the siblings that pass reports on, heard within an age.
func (h *Hub) Edges(age time.Duration) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]bool)
	for name, at := range h.last {
		if time.Since(at) <= age {
			out[name] = true
		}
	}
	return out
}

// opened ends the stream that an edge had before: what still comes there is from before a
// break, or of an earlier life of its, and no call that it is given will be made.
func (h *Hub) opened(from string, c transport.Stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == nil {
		h.open = make(map[string]transport.Stream)
	}
	if old := h.open[from]; old != nil {
		old.Close()
	}
	h.open[from] = c
}

// ended forgets a stream. The calls that it was given and that it has said nothing of are made
// by nobody: their machines are called from here, and not waited for.
func (h *Hub) ended(from string, c transport.Stream, given map[string]bool) {
	h.mu.Lock()
	if h.open[from] == c {
		delete(h.open, from)
	}
	h.mu.Unlock()
	for machine := range given {
		h.Raised(machine, nil)
	}
}

// Serve answers the batches of one stream until it ends.
func (h *Hub) Serve(ctx context.Context, from string, c transport.Stream, dec *gob.Decoder) {
	enc, known, given := gob.NewEncoder(c), newMemory(), make(map[string]bool)
	h.opened(from, c)
	defer h.ended(from, c, given)
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
		if h.last == nil {
			h.last = make(map[string]time.Time)
		}
		h.last[from] = now
		h.mu.Unlock()
		for _, it := range b.Items {
			whole, ok := known.grow(now, it)
			if !ok {
				h.Log.Warn("report without the one before it", "from", from, "machine", it.Machine)
				return
			}
			r.Answers = append(r.Answers, packAnswer(h.Decide(whole.report())))
		}
		for _, it := range b.Heard {
			delete(given, it.Machine)
			h.Raised(it.Machine, it.report())
		}
		for _, machine := range b.Vain {
			delete(given, machine)
			h.Raised(machine, nil)
		}
		r.Calls = h.Raises(min(b.Room, maxCalls))
		for _, call := range r.Calls {
			given[call.Machine] = true
		}
		if err := enc.Encode(r); err != nil {
			return
		}
	}
}
