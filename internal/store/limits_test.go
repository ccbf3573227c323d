package store

import (
	"math"
	"testing"
)

// TestLeaderBurst checks that a leader's burst is its share of the half of all changes that is reserved
// for leaders, plus its share of the half for accepting jobs, but never less than a round needs.
func TestLeaderBurst(t *testing.T) {
	for _, c := range []struct {
		writeRPS, acceptance float64
		shards, want         int
	}{
		{0, 0.5, 3, math.MaxInt},      // no limit
		{100, 0, 1, 50},               // the only leader, which accepts no jobs
		{100, 0.5, 1, 75},             // the only leader, with half of the changes for accepting jobs
		{100, 0.5, 5, 35},             // one of five leaders
		{10, 0.1, 10, minLeaderBurst}, // less than a round needs
		{1000, 1. / 4, 4, 125 + 125},  // even shares
	} {
		if got := LeaderBurst(c.writeRPS, c.acceptance, c.shards); got != c.want {
			t.Errorf("%+v: got %d", c, got)
		}
	}
}

// TestEvenAllowances checks that the allowances of all controllers add up to the whole limits, with and
// without a leader.
func TestEvenAllowances(t *testing.T) {
	const controllers = 4
	even := EvenAllowance(controllers)
	if got := even.Requests * controllers; got != 1 {
		t.Errorf("the allowances add up to %v of all requests, want 1", got)
	}
	if got := even.writeShare() * controllers; got != 1 {
		t.Errorf("without a leader, the allowances add up to %v of all changes, want 1", got)
	}
	leader, other := even, even
	leader.Leading, leader.AnyShardHasLeader, other.AnyShardHasLeader = 1, true, true
	if got := leader.writeShare() + (controllers-1)*other.writeShare(); got != 1 {
		t.Errorf("with a leader, the allowances add up to %v of all changes, want 1", got)
	}
}
