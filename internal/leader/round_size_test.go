package leader

import (
	"fmt"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/config"
)

// TestRoundFitsTheBurst: far more jobs have ended than a round has changes for, as after a change of
// the leader in a flood of small jobs. A round takes no more of them than a leader's share of the changes
// has for a second: what is more is refused by the service again and again, while the others spend their own.
func TestRoundFitsTheBurst(t *testing.T) {
	for _, c := range []struct {
		rps            float64
		siblings, most int
		parts          string
	}{
		{12.5, 2, 8, "fleet"}, // two thirds of it, of three controllers
		{25, 2, 16, "fleet"},
		{17.5, 4, 10, "fleet"},
		{35, 4, 7, "a b c d"}, // a tenth, and half by shards
		{4, 2, 4, "fleet"},
	} {
		t.Run(fmt.Sprint(c.rps, " of ", c.siblings+1, " in ", c.parts), func(t *testing.T) {
			driver := newTraceDriver(t)
			driver.cfg.Store.WriteRPS, driver.cfg.Store.TxnOps = c.rps, 24
			driver.cfg.Peers = make([]config.Peer, c.siblings)
			var tasks []string
			for i := range 40 {
				driver.step(fmt.Sprintf("job wk-%d sweep team=blue tasks=1 gpus=0.1", i))
				tasks = append(tasks, fmt.Sprintf("wk-%d/0#1.%d ended done", i, i+1))
			}
			if c.parts != "fleet" {
				driver.step("parts " + c.parts)
			}
			driver.step("claim term=2")
			driver.step("report n-1 1/1 term=2: " + strings.Join(tasks, ", "))
			driver.step("round")
			if driver.draft == nil || len(driver.draft.done) == 0 {
				t.Fatal("no job has ended in this round")
			}
			if n := len(driver.draft.Txn.Then); n > c.most {
				t.Errorf("%d changes in a round, of which %d surely pass", n, c.most)
			}
		})
	}
}
