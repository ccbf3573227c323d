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
func (l *Leader) requestScaleOut(now time.Time, d *Draft, wanted []scheduler.ScaleOut) {
	for _, r := range l.scaler.Admit(now, wanted) {
		name := fmt.Sprintf("t%d-%d", l.lease.FencingToken, l.attemptSequence+1)
		if !d.Add(store.ScaleOutEntry(name, scaleOutRecord(r))) {
			if len(d.requests) == 0 && len(d.launches) == 0 {
				l.stalls.Blocked(now, stall.CauseScaleOut, "")
			}
			break
		}
		l.attemptSequence++
		l.scaler.Add(now, name, r)
		d.requests = append(d.requests, name)
	}
}

func scaleOutRecord(r scheduler.ScaleOut) store.ScaleOutRecord {
	return store.ScaleOutRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// scaleOutLoop sends the requests whose intents are stored. Which one is next is decided when the cloud takes
// the next call, not before: waiting for a turn may take seconds.
func (l *Leader) scaleOutLoop(ctx context.Context, deps Dependencies) error {
	for ctx.Err() == nil {
		if l.nextScaleOut(time.Now()) == nil || !deps.LeaseValid() {
			t := time.NewTimer(scaleOutPoll)
			select {
			case <-ctx.Done():
			case <-l.scaler.Woken():
			case <-t.C:
			}
			t.Stop()
			continue
		}
		if deps.Cloud.WaitForScaleOut(ctx) != nil || !deps.LeaseValid() {
			continue
		}
		if r := l.takeScaleOut(time.Now()); r != nil {
			go l.sendScaleOut(ctx, deps, r.Name, r.ScaleOut)
		}
	}
	return nil
}

// nextScaleOut returns the request to send next, or nil.
func (l *Leader) nextScaleOut(now time.Time) *autoscale.ScaleOutRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scaler.Next(now)
}

// takeScaleOut returns the request to send now, or nil, and records that it is being sent.
func (l *Leader) takeScaleOut(now time.Time) *autoscale.ScaleOutRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.scaler.Next(now)
	if r != nil {
		l.scaler.MarkSent(now, r.Name)
	}
	return r
}

// sendScaleOut sends a request. It is repeated until the cloud has decided; its name makes sure that it is
// carried out only once.
func (l *Leader) sendScaleOut(ctx context.Context, deps Dependencies, name string, r scheduler.ScaleOut) {
	names, err := deps.Cloud.ScaleOut(ctx, wire.ScaleOutRequest{RequestID: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count})
	if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
		l.scaledOut(time.Now(), name, names)
		return
	}
	l.log.Debug("scale-out request without an answer", "request", name, "err", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scaler.MarkUnanswered(name)
}

// scaledOut records how many machines a request got.
func (l *Leader) scaledOut(now time.Time, name string, names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.scaler.Request(name)
	if r == nil {
		return
	}
	for _, id := range names {
		l.fleet.EnsureMachine(now, id, r.Type, r.Zone, r.Spot)
	}
	finished := l.scaler.Complete(now, name, len(names))
	l.log.Info("scale-out request answered", "request", name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "wanted", r.Count, "got", len(names), "unsent", len(finished)-1)
	l.scaler.Drop(finished)
	l.scaler.Wake()
	l.Wake()
}

// scaleInLoop returns released machines to the cloud, and repeats that until the cloud has acknowledged it.
func (l *Leader) scaleInLoop(ctx context.Context, deps Dependencies) error {
	for ctx.Err() == nil {
		if names := l.pendingReleases(); len(names) > 0 && deps.LeaseValid() {
			if err := deps.Cloud.Release(ctx, names); err == nil {
				l.scaledIn(names)
			} else {
				l.log.Debug("scale-in without an answer", "machines", names, "err", err)
				store.Backoff(ctx, scaleInRetry)
			}
		}
		store.Backoff(ctx, scaleInPoll)
	}
	return nil
}

// releaseMachine has a machine returned to the cloud, whatever is on it.
func (l *Leader) releaseMachine(m *fleet.Machine, why string) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	l.scaler.Release(m.ID)
	l.log.Info("releasing", "machine", m.ID, "reason", why)
}

// pendingReleases lists machines to return, as many as one call takes.
func (l *Leader) pendingReleases() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := l.scaler.Releasing()
	return names[:min(len(names), wire.MaxRelease)]
}

// scaledIn records that the cloud has taken machines back.
func (l *Leader) scaledIn(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range names {
		if m := l.fleet.Machine(id); m != nil {
			l.scaler.InstanceReturned(scheduler.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
		l.fleet.MarkReleased(id)
		l.forgetMachine(id, "released")
	}
}
