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
	// vacancyPollInterval is how often a vacant shard is looked at: whether this controller
	// should campaign for it also depends on what does not show in the state.
	vacancyPollInterval = 300 * time.Millisecond
	// grantRetryDelay is the pause after a lease was not granted.
	grantRetryDelay = 400 * time.Millisecond
	// renewRetryDelay is the pause after a renewal without an answer.
	renewRetryDelay = 300 * time.Millisecond
	// campaignRetryDelay is the pause after a campaign without an answer.
	campaignRetryDelay = 200 * time.Millisecond
	// revokeTimeout bounds the last call of a controller that shuts down.
	revokeTimeout = time.Second
)

// State is the state service as one controller reaches it.
type State struct {
	Client *store.Client
	View   *store.View
	Follow *store.Follower
}

// Elector runs an Election: it renews the lease and campaigns for every vacant shard.
type Elector struct {
	// ShouldCampaign reports whether this controller is to campaign for a shard that has been
	// vacant for some time.
	ShouldCampaign func(shard string, vacant time.Duration) bool
	// OnChange is called when a shard may have been won or lost.
	OnChange func()

	gate  *SettingsGate
	state State
	log   *slog.Logger
	wake  chan struct{}
	// vacantSince says since when a shard has had no leader. Only Run's goroutine uses it.
	vacantSince map[string]time.Time

	mu       sync.Mutex
	election *Election
}

// NewElector returns an elector for the shards of the gate's sharding.
func NewElector(election *Election, gate *SettingsGate, state State, log *slog.Logger) *Elector {
	return &Elector{election: election, gate: gate, state: state, log: log,
		wake: make(chan struct{}, 1), vacantSince: make(map[string]time.Time)}
}

// Standing is what this controller knows of its leadership of a shard at some time.
type Standing struct {
	Tenure  Tenure
	Leading bool // it leads the shard, as far as it knows
	// LeaseValid says that its lease cannot have expired.
	LeaseValid bool
	// LastRenewal is when the last renewal that succeeded was sent.
	LastRenewal time.Time
}

// Standing returns what this controller knows of its leadership of a shard.
func (e *Elector) Standing(shard string, now time.Time) Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	tenure, leading := e.election.Tenure(shard)
	return Standing{Tenure: tenure, Leading: leading, LeaseValid: e.election.LeaseValid(now), LastRenewal: e.election.LastRenewal()}
}

// Run takes part in the elections until the context ends. Then it revokes the lease, so that a
// peer can take over at once.
func (e *Elector) Run(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeLeadership)
	for ctx.Err() == nil {
		e.step(ctx)
		t := time.NewTimer(e.untilNextStep())
		select {
		case <-ctx.Done():
		case <-e.state.View.Changed():
		case <-e.wake:
		case <-t.C:
		}
		t.Stop()
	}
	lease := e.election.Lease()
	if lease == 0 {
		return nil
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := e.state.Client.RevokeLease(end, lease); err != nil {
		return fmt.Errorf("revoke the lease at shutdown: %w", err)
	}
	return nil
}

// untilNextStep returns how long to wait where nothing changes.
func (e *Elector) untilNextStep() time.Duration {
	e.mu.Lock()
	wait := time.Until(e.election.NextRenewal())
	e.mu.Unlock()
	if len(e.vacantSince) > 0 {
		wait = min(wait, vacancyPollInterval)
	}
	return max(wait, minStepInterval)
}

// step does what is due: the lease first, then shards to give up, then campaigns.
func (e *Elector) step(ctx context.Context) {
	if !e.obtainLease(ctx) || !e.ensureLease(ctx) {
		return
	}
	e.releaseShards(ctx)
	unchanged, match := e.gate.Conditions(ctx)
	// Campaigns that get no answer, one after the other, take longer than a lease lasts: every
	// shard that was won would be lost with it, and won again, without end.
	for shards := e.gate.Sharding.Shards(); len(shards) > 0 && e.ensureLease(ctx); shards = shards[1:] {
		e.campaign(ctx, shards[0], match, unchanged)
	}
}

// Resign revokes the lease, because another controller can lead better.
func (e *Elector) Resign(ctx context.Context, reason string) {
	e.mu.Lock()
	lease := e.election.Lease()
	e.election.LeaseLost()
	e.mu.Unlock()
	e.log.Warn("leadership resigned", "lease", lease, "reason", reason)
	e.OnChange()
	if lease != 0 {
		_ = e.state.Client.RevokeLease(ctx, lease) // or it expires
	}
}

// StepDown gives up one shard, once its duties have ended here. The tenure is over from now on.
func (e *Elector) StepDown(shard string) {
	e.mu.Lock()
	e.election.StepDown(shard)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// releaseShards frees the shards that were given up, and repeats that until the state shows it.
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
