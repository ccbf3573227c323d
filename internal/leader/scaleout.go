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

// Scaling out and in. The intent of a scale-out request is stored by a round before the request is sent to the cloud.

const (
	// scaleOutPoll is the interval at which to look for requests that have become due by the passage of time, such as
	// one whose offer was backing off after a refusal.
	scaleOutPoll = 300 * time.Millisecond
	// scaleInPoll is the time between two calls that return machines. All machines that are released meanwhile share
	// a call, because the cloud accepts only few calls.
	scaleInPoll = 300 * time.Millisecond
	// scaleInRetry is the time before an unanswered call is repeated.
	scaleInRetry = time.Second
)

// addScaleOutRequests adds the intents of the scale-out requests of a plan to a round.
func (l *Leader) addScaleOutRequests(now time.Time, d *Draft, wanted []scheduler.ScaleOut) {
	for _, r := range l.scaler.Admit(now, wanted) {
		name := fmt.Sprintf("t%d-%d", l.lease.FencingToken, l.attemptSequence+1)
		if !d.Add(store.ScaleOutEntry(name, scaleOutRecord(r))) {
			if len(d.scaleOuts) == 0 && len(d.launches) == 0 {
				l.stalls.Blocked(now, stall.CauseScaleOut, "")
			}
			break
		}
		l.attemptSequence++
		l.scaler.Add(now, name, r)
		d.scaleOuts = append(d.scaleOuts, name)
	}
}

func scaleOutRecord(r scheduler.ScaleOut) store.ScaleOutRecord {
	return store.ScaleOutRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// scaleOutLoop sends the requests whose intents are stored. The next request is chosen only when the rate limit of the
// cloud admits a call, because waiting for that may take seconds.
func (l *Leader) scaleOutLoop(ctx context.Context, deps Dependencies) error {
	for ctx.Err() == nil {
		if l.nextScaleOut(time.Now()) == nil || !deps.LeaseValid() {
			timer := time.NewTimer(scaleOutPoll)
			select {
			case <-ctx.Done():
			case <-l.scaler.Woken():
			case <-timer.C:
			}
			timer.Stop()
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

// takeScaleOut returns the request to send now and marks it as sent, or returns nil if there is none.
func (l *Leader) takeScaleOut(now time.Time) *autoscale.ScaleOutRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.scaler.Next(now)
	if r != nil {
		l.scaler.MarkSent(now, r.Name)
	}
	return r
}

// sendScaleOut sends a request. A request without an answer is repeated until the cloud has decided; its name serves as
// an idempotency key, so that the cloud carries it out only once.
func (l *Leader) sendScaleOut(ctx context.Context, deps Dependencies, name string, r scheduler.ScaleOut) {
	machineIDs, err := deps.Cloud.ScaleOut(ctx, wire.ScaleOutRequest{RequestID: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count})
	if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
		l.completeScaleOut(time.Now(), name, machineIDs)
		return
	}
	l.log.Debug("scale-out request without an answer", "request", name, "err", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scaler.MarkUnanswered(name)
}

// completeScaleOut records the machines that the cloud provided for a request.
func (l *Leader) completeScaleOut(now time.Time, name string, machineIDs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.scaler.Request(name)
	if r == nil {
		return
	}
	for _, id := range machineIDs {
		l.fleet.EnsureMachine(now, id, r.Type, r.Zone, r.Spot)
	}
	finished := l.scaler.Complete(now, name, len(machineIDs))
	l.log.Info("scale-out request answered", "request", name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "wanted", r.Count, "got", len(machineIDs), "unsent", len(finished)-1)
	l.scaler.MarkObsolete(finished)
	l.scaler.Wake()
	l.Wake()
}

// scaleInLoop returns released machines to the cloud, and repeats each call until the cloud has acknowledged it.
func (l *Leader) scaleInLoop(ctx context.Context, deps Dependencies) error {
	for ctx.Err() == nil {
		if machineIDs := l.pendingReleases(); len(machineIDs) > 0 && deps.LeaseValid() {
			if err := deps.Cloud.Release(ctx, machineIDs); err == nil {
				l.completeScaleIn(machineIDs)
			} else {
				l.log.Debug("scale-in without an answer", "machines", machineIDs, "err", err)
				store.Backoff(ctx, scaleInRetry)
			}
		}
		store.Backoff(ctx, scaleInPoll)
	}
	return nil
}

// releaseMachine marks a machine to be returned to the cloud, regardless of the tasks on it.
func (l *Leader) releaseMachine(m *fleet.Machine, why string) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	l.scaler.Release(m.ID)
	l.log.Info("releasing", "machine", m.ID, "reason", why)
}

// pendingReleases returns the machines to return to the cloud, at most as many as one call may name.
func (l *Leader) pendingReleases() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	machineIDs := l.scaler.Releasing()
	return machineIDs[:min(len(machineIDs), wire.MaxRelease)]
}

// completeScaleIn records that the cloud has acknowledged the release of machines.
func (l *Leader) completeScaleIn(machineIDs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range machineIDs {
		if m := l.fleet.Machine(id); m != nil {
			l.scaler.InstanceReturned(scheduler.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
		l.fleet.MarkReleased(id)
		l.forgetMachine(id, "released")
	}
}
