package simtest

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// TestMalformedRoundEndsLeadership guards against a leader that sends a round which the state service calls malformed again and
// again, so that its shard starts nothing for as long as it leads. It has to give the shard up after the first answer.
func TestMalformedRoundEndsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 64, 0, nil)
		malformed, refusedToken := 0, uint64(0)
		w.store.Configure(func(s *simulator.StateService) {
			s.OutcomeOf = func(values map[string]wire.Raw) simulator.TxnOutcome {
				for key, value := range values {
					var segment store.SegmentRecord
					if !strings.HasPrefix(key, store.StatePrefix+"ledger/") || wire.DecodeValue(value, &segment) != nil {
						continue
					}
					if refusedToken == 0 {
						refusedToken = segment.FencingToken
					}
					if segment.FencingToken == refusedToken {
						malformed++
						return simulator.TxnMalformed
					}
				}
				return simulator.TxnAnswered
			}
		})
		w.startUser(&wire.Job{ID: "wk-1", Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 1, GPUs: 1, MemoryGB: 4,
			Image: "img", ImageGB: 1, EstimateS: 5}, 5*time.Second, 0)
		time.Sleep(time.Minute)
		if w.checker.Stage("wk-1") != wire.Done || malformed != 1 {
			t.Errorf("after a minute, wk-1 is %s; %d rounds were answered as malformed, want 1", w.checker.Stage("wk-1"), malformed)
		}
		w.finishAndCheck(5 * time.Minute)
	})
}
