package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/autoscale"
	"amberdeal.example/amberdeal/internal/cloud"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Scaling out and in. A round writes the intent of a scale-out request before the request is sent.

const (
	// scaleOutPoll is how often requests are looked for that may be sent by the passage of time, such
	// as one whose offer was left alone.
	scaleOutPoll = 300 * time.Millisecond
	// scaleInPoll is the time between two calls that return machines: those that are released
	// meanwhile share a call, of which the cloud takes few.
	scaleInPoll = 300 * time.Millisecond
	// scaleInRetry is the time before a call without an answer is repeated.
	scaleInRetry = time.Second
)

// requestScaleOut adds the intents of scale-out requests that a plan wants to a round.
func (h *Leader) requestScaleOut(now time.Time, d *Draft, wanted []scheduler.ScaleOut) {
	for _, r := range h.scaler.Admit(now, wanted) {
		name := fmt.Sprintf("t%d-%d", h.lease.FencingToken, h.attemptSequence+1)
		if !d.Add(store.ScaleOutEntry(name, scaleOutRecord(r))) {
			if len(d.requests) == 0 && len(d.launches) == 0 {
				h.stalls.Blocked(now, stall.CauseScaleOut, "")
			}
			break
		}
		h.attemptSequence++
		h.scaler.Add(now, name, r)
		d.requests = append(d.requests, name)
	}
}

func scaleOutRecord(r scheduler.ScaleOut) store.ScaleOutRecord {
	return store.ScaleOutRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// scaleOutLoop sends the requests whose intents are stored. Which one is next is decided when the cloud takes
// the next call, not before: waiting for a turn may take seconds.
func (h *Leader) scaleOutLoop(ctx context.Context, e Dependencies) error {
	for ctx.Err() == nil {
		if h.nextScaleOut(time.Now()) == nil || !e.LeaseValid() {
			t := time.NewTimer(scaleOutPoll)
			select {
			case <-ctx.Done():
			case <-h.scaler.Woken():
			case <-t.C:
			}
			t.Stop()
			continue
		}
		if e.Cloud.WaitForScaleOut(ctx) != nil || !e.LeaseValid() {
			continue
		}
		if r := h.takeScaleOut(time.Now()); r != nil {
			go h.sendScaleOut(ctx, e, r.Name, r.ScaleOut)
		}
	}
	return nil
}

// nextScaleOut returns the request to send next, or nil.
func (h *Leader) nextScaleOut(now time.Time) *autoscale.ScaleOutRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scaler.Next(now)
}

// takeScaleOut returns the request to send now, or nil, and records that it is being sent.
func (h *Leader) takeScaleOut(now time.Time) *autoscale.ScaleOutRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.scaler.Next(now)
	if r != nil {
		h.scaler.MarkSent(now, r.Name)
	}
	return r
}

// sendScaleOut sends a request. It is repeated until the cloud has decided; its name makes sure that it is
// carried out only once.
func (h *Leader) sendScaleOut(ctx context.Context, e Dependencies, name string, r scheduler.ScaleOut) {
	names, err := e.Cloud.ScaleOut(ctx, wire.ScaleOutRequest{RequestID: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count})
	if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
		h.scaledOut(time.Now(), name, names)
		return
	}
	h.log.Debug("scale-out request without an answer", "request", name, "err", err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scaler.MarkUnanswered(name)
}

// scaledOut records how many machines a request got.
func (h *Leader) scaledOut(now time.Time, name string, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.scaler.Request(name)
	if r == nil {
		return
	}
	for _, id := range names {
		h.fleet.EnsureMachine(now, id, r.Type, r.Zone, r.Spot)
	}
	finished := h.scaler.Complete(now, name, len(names))
	h.log.Info("scale-out request answered", "request", name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "wanted", r.Count, "got", len(names), "unsent", len(finished)-1)
	h.scaler.Drop(finished)
	h.scaler.Wake()
	h.Wake()
}

// scaleInLoop returns released machines to the cloud, and repeats that until the cloud has acknowledged it.
func (h *Leader) scaleInLoop(ctx context.Context, e Dependencies) error {
	for ctx.Err() == nil {
		if names := h.pendingReleases(); len(names) > 0 && e.LeaseValid() {
			if err := e.Cloud.Release(ctx, names); err == nil {
				h.scaledIn(names)
			} else {
				h.log.Debug("scale-in without an answer", "machines", names, "err", err)
				store.Backoff(ctx, scaleInRetry)
			}
		}
		store.Backoff(ctx, scaleInPoll)
	}
	return nil
}

// releaseMachine has a machine returned to the cloud, whatever is on it.
func (h *Leader) releaseMachine(m *fleet.Machine, why string) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	h.scaler.Release(m.ID)
	h.log.Info("releasing", "machine", m.ID, "reason", why)
}

// pendingReleases lists machines to return, as many as one call takes.
func (h *Leader) pendingReleases() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := h.scaler.Releasing()
	return names[:min(len(names), wire.MaxRelease)]
}

// scaledIn records that the cloud has taken machines back.
func (h *Leader) scaledIn(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range names {
		if m := h.fleet.Machine(id); m != nil {
			h.scaler.InstanceReturned(scheduler.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
		h.fleet.MarkReleased(id)
		h.forgetMachine(id, "released")
	}
}
