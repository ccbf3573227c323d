package leader

import (
	"testing"
)

// TestLeaderResignsBeforeAttemptsRunOut guards against attempts that carry another leader's fencing token, because more have been
// numbered under one token than its bits allow: machines' heartbeats then count as impossible, or numbers come twice.
func TestLeaderResignsBeforeAttemptsRunOut(t *testing.T) {
	const token = 2
	for _, used := range []uint64{0, attemptsPerToken - 1, attemptsPerToken, 1<<attemptBits - 3} {
		driver := newTraceDriver(t)
		driver.step("job wk-1 sweep team=blue tasks=4")
		driver.step("claim term=2")
		driver.step("report n-1 1/1 term=2")
		driver.leader.attemptSequence = used
		launched := 0
		for range 3 {
			if driver.leader.ResignReason() != "" {
				break
			}
			driver.step("round")
			for _, p := range driver.leader.fleet.Machine("n-1").Placements() {
				launched++
				if got, _ := splitAttempt(p.Attempt); got != token {
					t.Errorf("after %d attempts under token %d, one has token %d", used, token, got)
				}
			}
		}
		if resigned := driver.leader.ResignReason() != ""; resigned != (used+4 >= attemptsPerToken) || launched == 0 && used < attemptsPerToken {
			t.Errorf("after %d attempts: resigned %v, %d tasks launched", used, resigned, launched)
		}
	}
}
