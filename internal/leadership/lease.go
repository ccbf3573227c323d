package leadership

import (
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// ensureLease renews the lease where that is due, and says whether it goes on.
func (k *Elector) ensureLease(ctx context.Context) bool {
	now := time.Now()
	k.mu.Lock()
	lease, due, valid := k.Election.Lease(), k.Election.NextRenewal(), k.Election.LeaseValid(now)
	k.mu.Unlock()
	return lease != 0 && (now.Before(due) || k.renew(ctx, lease, now, valid))
}

func (k *Elector) renew(ctx context.Context, lease uint64, now time.Time, valid bool) bool {
	err := k.Client.RenewLease(ctx, lease)
	switch {
	case err == nil:
		k.mu.Lock()
		k.Election.LeaseRenewed(now)
		k.mu.Unlock()
		if !valid {
			k.OnChange()
		}
		return true
	case errors.Is(err, store.ErrLeaseNotFound):
		k.Log.Warn("lease has ended", "lease", lease)
		k.mu.Lock()
		k.Election.LeaseLost()
		k.mu.Unlock()
		k.OnChange()
	default:
		k.Log.Info("renewal failed", "lease", lease, "error", err)
		store.Backoff(ctx, 300*time.Millisecond)
	}
	return false
}
