package leadership

import (
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// obtainLease requests a lease if there is none, and reports whether there is one now.
func (e *Elector) obtainLease(ctx context.Context) bool {
	now := time.Now()
	e.mu.Lock()
	lease := e.election.Lease()
	e.mu.Unlock()
	if lease != 0 {
		return true
	}
	id, err := e.state.Client.GrantLease(ctx, e.election.TTL)
	if err != nil {
		store.Backoff(ctx, grantRetryDelay)
		return false
	}
	e.mu.Lock()
	e.election.LeaseGranted(id, now)
	e.mu.Unlock()
	return true
}

// ensureLease renews the lease if a renewal is due. It reports whether there is a lease and no due renewal has failed.
func (e *Elector) ensureLease(ctx context.Context) bool {
	now := time.Now()
	e.mu.Lock()
	lease, due, valid := e.election.Lease(), e.election.NextRenewal(), e.election.LeaseValid(now)
	e.mu.Unlock()
	return lease != 0 && (now.Before(due) || e.renew(ctx, lease, now, valid))
}

// renew renews the lease and reports whether that succeeded. wasValid tells whether the lease was still valid at now.
func (e *Elector) renew(ctx context.Context, lease uint64, now time.Time, wasValid bool) bool {
	err := e.state.Client.RenewLease(ctx, lease)
	switch {
	case err == nil:
		e.mu.Lock()
		e.election.LeaseRenewed(now)
		e.mu.Unlock()
		if !wasValid {
			e.OnChange()
		}
		return true
	case errors.Is(err, store.ErrLeaseNotFound):
		e.log.Warn("lease expired", "lease", lease)
		e.mu.Lock()
		e.election.LeaseLost()
		e.mu.Unlock()
		e.OnChange()
	default:
		e.log.Info("lease renewal failed", "lease", lease, "err", err)
		store.Backoff(ctx, renewRetryDelay)
	}
	return false
}
