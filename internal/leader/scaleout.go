package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/autoscale"
	"amberdeal.example/amberdeal/internal/cloud"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// What is asked of the cloud: rentals, whose intents a round writes before they are
// sent, and the return of machines.

// requestScaleOut takes the intents of rentals that a plan wants into a round.
func (h *Leader) requestScaleOut(now time.Time, d *Draft, rents []scheduler.ScaleOut) {
	for _, r := range h.scaleOutRequests.Admit(now, rents) {
		name := fmt.Sprintf("t%d-%d", h.lease.FencingToken, h.attemptSequence+1)
		if !d.Add(store.ScaleOutEntry(name, scaleOutRecord(r))) {
			if len(d.requests) == 0 && len(d.launches) == 0 {
				h.stalls.blocked(now, StallScaleOut, "")
			}
			break
		}
		h.attemptSequence++
		h.scaleOutRequests.Add(now, name, r)
		d.requests = append(d.requests, name)
	}
}

func scaleOutRecord(r scheduler.ScaleOut) store.ScaleOutRecord {
	return store.ScaleOutRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// scaleOutCommitted takes in that the intents of a round are stored. Those whose offer has refused
// others meanwhile are never sent.
func (h *Leader) scaleOutCommitted(d *Draft) {
	for _, name := range d.requests {
		if !h.scaleOutRequests.MarkStored(name) {
			h.requestsToDrop[name] = true
		}
	}
	if len(d.requests) > 0 {
		h.wakeScaleOutLoop()
	}
}

func (h *Leader) wakeScaleOutLoop() {
	select {
	case h.scaleOutWake <- struct{}{}:
	default:
	}
}

// scaleOutLoop sends the rentals whose intents are stored. Which one is chosen only when the
// cloud takes the next call.
func (h *Leader) scaleOutLoop(ctx context.Context, e Dependencies) error {
	for ctx.Err() == nil {
		if h.nextScaleOut(time.Now()) == nil || !e.LeaseValid() {
			t := time.NewTimer(300 * time.Millisecond)
			select {
			case <-ctx.Done():
			case <-h.scaleOutWake:
			case <-t.C:
			}
			t.Stop()
			continue
		}
		if e.Cloud.WaitForScaleOut(ctx) != nil || !e.LeaseValid() {
			continue
		}
		if a := h.takeScaleOut(time.Now()); a != nil {
			go h.sendScaleOut(ctx, e, a.Name, a.ScaleOut)
		}
	}
	return nil
}

func (h *Leader) nextScaleOut(now time.Time) *autoscale.ScaleOutRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scaleOutRequests.Next(now)
}

func (h *Leader) takeScaleOut(now time.Time) *autoscale.ScaleOutRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.scaleOutRequests.Next(now)
	if a != nil {
		h.scaleOutRequests.MarkSent(now, a.Name)
	}
	return a
}

// sendScaleOut sends a request, which is repeated until the cloud has decided; its name makes
// sure that it is carried out once.
func (h *Leader) sendScaleOut(ctx context.Context, e Dependencies, name string, r scheduler.ScaleOut) {
	names, err := e.Cloud.ScaleOut(ctx, wire.ScaleOutRequest{RequestID: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count})
	if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
		h.scaledOut(time.Now(), name, names)
		return
	}
	h.log.Debug("rental without an answer", "ask", name, "error", err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scaleOutRequests.MarkUnanswered(name)
}

func (h *Leader) scaledOut(now time.Time, name string, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.scaleOutRequests.Ask(name)
	if a == nil {
		return
	}
	for _, id := range names {
		h.fleet.EnsureMachine(now, id, a.Type, a.Zone, a.Spot)
	}
	over := h.scaleOutRequests.Complete(now, name, len(names))
	h.log.Info("rented", "ask", name, "type", a.Type, "zone", a.Zone, "spot", a.Spot, "wanted", a.Count, "got", len(names), "unsent", len(over)-1)
	for _, name := range over {
		h.requestsToDrop[name] = true
	}
	h.wakeScaleOutLoop()
	h.Wake()
}

// scaleInLoop returns the machines that are given up, again until the cloud has
// taken it.
func (h *Leader) scaleInLoop(ctx context.Context, e Dependencies) error {
	for ctx.Err() == nil {
		if names := h.pendingReleases(); len(names) > 0 && e.LeaseValid() {
			if err := e.Cloud.Release(ctx, names); err == nil {
				h.scaledIn(names)
			} else {
				h.log.Debug("release without an answer", "machines", names, "error", err)
				store.Backoff(ctx, time.Second)
			}
		}
		store.Backoff(ctx, 300*time.Millisecond)
	}
	return nil
}

func (h *Leader) pendingReleases() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := sortedKeys(h.machinesToRelease)
	return names[:min(len(names), wire.MaxRelease)]
}

// scaledIn takes in that the cloud has taken machines back.
func (h *Leader) scaledIn(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range names {
		if m := h.fleet.Machine(id); m != nil {
			h.scaleOutRequests.InstanceReturned(scheduler.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
		h.fleet.MarkReleased(id)
		h.forgetMachine(id, "released")
	}
}
