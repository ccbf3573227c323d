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

// askFor takes the intents of rentals that a plan wants into a round.
func (h *Holder) askFor(now time.Time, d *Draft, rents []scheduler.Rent) {
	for _, r := range h.rentals.Wanted(now, rents) {
		name := fmt.Sprintf("t%d-%d", h.held.Term, h.sequence+1)
		if !d.add(store.AskEntry(name, askRecord(r))) {
			if len(d.asks) == 0 && len(d.launches) == 0 {
				h.stalls.blocked(now, StallRentals, "")
			}
			break
		}
		h.sequence++
		h.rentals.Add(now, name, r)
		d.asks = append(d.asks, name)
	}
}

func askRecord(r scheduler.Rent) store.AskRecord {
	return store.AskRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// asked takes in that the intents of a round are stored. Those whose offer has refused
// others meanwhile are never sent.
func (h *Holder) asked(d *Draft) {
	for _, name := range d.asks {
		if !h.rentals.Written(name) {
			h.dropAsks[name] = true
		}
	}
	if len(d.asks) > 0 {
		h.kickRents()
	}
}

func (h *Holder) kickRents() {
	select {
	case h.kickRent <- struct{}{}:
	default:
	}
}

// rents sends the rentals whose intents are stored. Which one is chosen only when the
// cloud takes the next call.
func (h *Holder) rents(ctx context.Context, e Edges) error {
	for ctx.Err() == nil {
		if h.nextAsk(time.Now()) == nil || !e.Valid() {
			t := time.NewTimer(300 * time.Millisecond)
			select {
			case <-ctx.Done():
			case <-h.kickRent:
			case <-t.C:
			}
			t.Stop()
			continue
		}
		if e.Cloud.RentTurn(ctx) != nil || !e.Valid() {
			continue
		}
		if a := h.sendAsk(time.Now()); a != nil {
			go h.rent(ctx, e, a.Name, a.Rent)
		}
	}
	return nil
}

func (h *Holder) nextAsk(now time.Time) *autoscale.Ask {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rentals.Next(now)
}

func (h *Holder) sendAsk(now time.Time) *autoscale.Ask {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.rentals.Next(now)
	if a != nil {
		h.rentals.Sent(now, a.Name)
	}
	return a
}

// rent sends a request, which is repeated until the cloud has decided; its name makes
// sure that it is carried out once.
func (h *Holder) rent(ctx context.Context, e Edges, name string, r scheduler.Rent) {
	names, err := e.Cloud.Rent(ctx, wire.Rental{Ask: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count})
	if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
		h.rented(time.Now(), name, names)
		return
	}
	h.log.Debug("rental without an answer", "ask", name, "error", err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rentals.Unanswered(name)
}

func (h *Holder) rented(now time.Time, name string, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.rentals.Ask(name)
	if a == nil {
		return
	}
	for _, id := range names {
		h.fleet.Know(now, id, a.Type, a.Zone, a.Spot)
	}
	over := h.rentals.Answered(now, name, len(names))
	h.log.Info("rented", "ask", name, "type", a.Type, "zone", a.Zone, "spot", a.Spot, "wanted", a.Count, "got", len(names), "unsent", len(over)-1)
	for _, name := range over {
		h.dropAsks[name] = true
	}
	h.kickRents()
	h.Kick()
}

// releases returns the machines that are given up, again until the cloud has
// taken it.
func (h *Holder) releases(ctx context.Context, e Edges) error {
	for ctx.Err() == nil {
		if names := h.toRelease(); len(names) > 0 && e.Valid() {
			if err := e.Cloud.Release(ctx, names); err == nil {
				h.takenBack(names)
			} else {
				h.log.Debug("release without an answer", "machines", names, "error", err)
				store.Pause(ctx, time.Second)
			}
		}
		store.Pause(ctx, 300*time.Millisecond)
	}
	return nil
}

func (h *Holder) toRelease() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := sortedKeys(h.release)
	return names[:min(len(names), wire.MaxRelease)]
}

// takenBack takes in that the cloud has taken machines back.
func (h *Holder) takenBack(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range names {
		if m := h.fleet.Machine(id); m != nil {
			h.rentals.Returned(scheduler.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
		h.fleet.Released(id)
		h.gone(id, "released")
	}
}
