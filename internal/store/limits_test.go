package store

import (
	"math"
	"testing"
)

// TestLeaderBurst: what a leader may surely make at once is its share of the leaders' half of
// all changes and its share of acceptance, but never less than a round needs.
func TestLeaderBurst(t *testing.T) {
	for _, c := range []struct {
		writeRPS, acceptance float64
		shards, want         int
	}{
		{0, 0.5, 3, math.MaxInt},     // no limit
		{100, 0, 1, 50},              // the only leader, without acceptance
		{100, 0.5, 1, 75},            // and with half of it
		{100, 0.5, 5, 35},            // one of five leaders
		{10, 0.1, 10, minBurst},      // less than a round needs
		{1000, 1. / 4, 4, 125 + 125}, // even shares
	} {
		if got := LeaderBurst(c.writeRPS, c.acceptance, c.shards); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// TestEvenAllowances: the allowances of all controllers together are the whole of the limits,
// with and without leaders.
func TestEvenAllowances(t *testing.T) {
	const controllers = 4
	even := EvenAllowance(controllers)
	if got := even.Requests * controllers; got != 1 {
		t.Errorf("%v of all requests", got)
	}
	if got := even.writeShare() * controllers; got != 1 {
		t.Errorf("%v of all changes without a leader", got)
	}
	leader, other := even, even
	leader.Leading, leader.HasLeader, other.HasLeader = 1, true, true
	if got := leader.writeShare() + (controllers-1)*other.writeShare(); got != 1 {
		t.Errorf("%v of all changes with a leader", got)
	}
}
