package leader

import (
	"fmt"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/config"
)

// TestRoundFitsChangeBudget checks that a round makes no more changes than the leader's share of the state service's rate
// limit allows in a second. Far more jobs have ended than fit into a round, as after a failover under a flood of small
// jobs. The service would reject a larger round again and again, because the other controllers use up their own shares.
func TestRoundFitsChangeBudget(t *testing.T) {
	for _, c := range []struct {
		rps               float64
		peers, maxChanges int
		shards            string
	}{
		{12.5, 2, 8, "fleet"}, // two thirds of the rate: half for the leader, a sixth for one of three controllers
		{25, 2, 16, "fleet"},
		{17.5, 4, 10, "fleet"},
		{35, 4, 7, "a b c d"}, // a tenth of the rate for one of five controllers, and a shard's part of the leaders' half
		{4, 2, 4, "fleet"},
	} {
		t.Run(fmt.Sprint(c.rps, " of ", c.peers+1, " in ", c.shards), func(t *testing.T) {
			driver := newTraceDriver(t)
			driver.cfg.Store.WriteRPS, driver.cfg.Store.TxnOps = c.rps, 24
			driver.cfg.Peers = make([]config.Peer, c.peers)
			var tasks []string
			for i := range 40 {
				driver.step(fmt.Sprintf("job wk-%d sweep team=blue tasks=1 gpus=0.1", i))
				tasks = append(tasks, fmt.Sprintf("wk-%d/0#1.%d ended done", i, i+1))
			}
			if c.shards != "fleet" {
				driver.step("parts " + c.shards)
			}
			driver.step("claim term=2")
			driver.step("report n-1 1/1 term=2: " + strings.Join(tasks, ", "))
			driver.step("round")
			if driver.draft == nil || len(driver.draft.done) == 0 {
				t.Fatal("no job has ended in this round")
			}
			if n := len(driver.draft.Txn.Then); n > c.maxChanges {
				t.Errorf("%d changes in a round, want at most %d", n, c.maxChanges)
			}
		})
	}
}
