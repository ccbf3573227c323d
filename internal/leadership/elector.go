package leadership

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

const (
	// minStepInterval bounds how often the elector acts while a renewal is overdue.
	minStepInterval = 100 * time.Millisecond
	// vacancyPollInterval is how often a vacant shard is checked: whether this controller should
	// campaign for it also depends on conditions that are not part of the state.
	vacancyPollInterval = 300 * time.Millisecond
	// grantRetryDelay is the delay after a failed request for a lease.
	grantRetryDelay = 400 * time.Millisecond
	// renewRetryDelay is the delay after a renewal without a response.
	renewRetryDelay = 300 * time.Millisecond
	// campaignRetryDelay is the delay after a campaign without a response.
	campaignRetryDelay = 200 * time.Millisecond
	// revokeTimeout limits how long revoking the lease at shutdown may take.
	revokeTimeout = time.Second
)

// State gives access to the state service.
type State struct {
	Client *store.Client
	View   *store.View
	Follow *store.Follower
}

// Elector runs an Election against the state service: it keeps the lease renewed and campaigns for vacant shards.
type Elector struct {
	// ShouldCampaign reports whether this controller should campaign for a shard that has been
	// vacant for the given time.
	ShouldCampaign func(shard string, vacant time.Duration) bool
	// OnChange is called when a shard may have been won or lost.
	OnChange func()

	gate  *SettingsGate
	state State
	log   *slog.Logger
	wake  chan struct{}
	// vacantSince holds, by shard, since when it has had no leader. Only Run's goroutine uses it.
	vacantSince map[string]time.Time

	mu       sync.Mutex
	election *Election
}

// NewElector returns an elector for the shards of the gate's sharding.
func NewElector(election *Election, gate *SettingsGate, state State, log *slog.Logger) *Elector {
	return &Elector{election: election, gate: gate, state: state, log: log,
		wake: make(chan struct{}, 1), vacantSince: make(map[string]time.Time)}
}

// Standing describes this controller's leadership of a shard at a given time.
type Standing struct {
	Tenure  Tenure
	Leading bool // whether it leads the shard, as far as it knows
	// LeaseValid tells that its lease cannot have expired.
	LeaseValid bool
	// LastRenewal is when the last successful renewal was sent.
	LastRenewal time.Time
}

// Standing returns this controller's standing for a shard, as far as this controller knows.
func (e *Elector) Standing(shard string, now time.Time) Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	tenure, leading := e.election.Tenure(shard)
	return Standing{Tenure: tenure, Leading: leading, LeaseValid: e.election.LeaseValid(now), LastRenewal: e.election.LastRenewal()}
}

// Run takes part in the elections until the context ends. It then revokes the lease, so that a peer
// can take over at once.
func (e *Elector) Run(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeLeadership)
	for ctx.Err() == nil {
		e.step(ctx)
		timer := time.NewTimer(e.untilNextStep())
		select {
		case <-ctx.Done():
		case <-e.state.View.Changed():
		case <-e.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	lease := e.election.Lease()
	if lease == 0 {
		return nil
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := e.state.Client.RevokeLease(revokeCtx, lease); err != nil {
		return fmt.Errorf("revoke the lease at shutdown: %w", err)
	}
	return nil
}

// untilNextStep returns how long to wait for the next step if nothing changes earlier.
func (e *Elector) untilNextStep() time.Duration {
	e.mu.Lock()
	wait := time.Until(e.election.NextRenewal())
	e.mu.Unlock()
	if len(e.vacantSince) > 0 {
		wait = min(wait, vacancyPollInterval)
	}
	return max(wait, minStepInterval)
}

// step obtains or renews the lease, then releases shards that were given up, then campaigns.
func (e *Elector) step(ctx context.Context) {
	if !e.obtainLease(ctx) || !e.ensureLease(ctx) {
		return
	}
	e.releaseShards(ctx)
	conditions, match := e.gate.Conditions(ctx)
	// Several campaigns in a row without a response take longer than the TTL of the lease. Unless the
	// lease is renewed in between, every shard that was won is lost with it and won again, endlessly.
	for shards := e.gate.Sharding.Shards(); len(shards) > 0 && e.ensureLease(ctx); shards = shards[1:] {
		e.campaign(ctx, shards[0], match, conditions)
	}
}

// Resign revokes the lease and with it gives up all shards, because another controller can lead better.
func (e *Elector) Resign(ctx context.Context, reason string) {
	e.mu.Lock()
	lease := e.election.Lease()
	e.election.LeaseLost()
	e.mu.Unlock()
	e.log.Warn("leadership resigned", "lease", lease, "reason", reason)
	e.OnChange()
	if lease != 0 {
		_ = e.state.Client.RevokeLease(ctx, lease) // on failure the lease expires
	}
}

// StepDown gives up one shard. The caller must have stopped the shard's leader. The tenure ends immediately.
func (e *Elector) StepDown(shard string) {
	e.mu.Lock()
	e.election.StepDown(shard)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// releaseShards deletes the leader records of shards that were given up. Every step repeats this until the state
// reflects it.
func (e *Elector) releaseShards(ctx context.Context) {
	e.mu.Lock()
	releases := e.election.PendingReleases()
	e.mu.Unlock()
	for shard, txn := range releases {
		_, err := e.state.Client.Txn(ctx, txn)
		e.log.Info("shard released", "shard", shard, "err", err)
		if err := e.state.Follow.Barrier(ctx); err != nil {
			return
		}
		rec, known := e.state.View.Leader(shard)
		e.mu.Lock()
		e.election.Observe(shard, rec, known, e.state.View.Revision())
		e.mu.Unlock()
	}
}
