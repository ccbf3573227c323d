package zonerecovery

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
)

// recoveryModel holds a leader's plans and observations, and executes the steps of a trace.
type recoveryModel struct {
	now      time.Time
	plans    map[string]*Plan
	observed map[string]Observation
}

func (r *recoveryModel) step(line string) []string {
	words, kv := simulator.ParseStep(line)
	switch words[0] {
	case "see": // sets the observation of a zone, for example: see b dark work=100 waits
		n, _ := strconv.ParseUint(kv["number"], 10, 64)
		work, _ := strconv.ParseFloat(kv["work"], 64)
		has := func(word string) bool { return slices.Contains(words[2:], word) }
		r.observed[words[1]] = Observation{Unreachable: has("dark"), Number: n, Work: work, HasQueued: has("waits"), OtherZoneBusy: has("busy"), Unbalanced: has("uneven"),
			SettleTime: 8 * time.Second, BootTime: 40 * time.Second, IdleTimeout: 25 * time.Second}
	case "wait":
		d, _ := time.ParseDuration(words[1])
		r.now = r.now.Add(d)
	case "takeover": // a new leader has only the stored plans
		for name, p := range r.plans {
			q := *p
			r.plans[name] = &q
		}
	}
	var out []string
	for _, name := range []string{"a", "b"} {
		observation, known := r.observed[name]
		if !known {
			continue
		}
		p := r.plans[name]
		next := Next(r.now, p, observation)
		if next == p {
			continue
		}
		if next == nil {
			delete(r.plans, name)
			out = append(out, name+" is done")
			continue
		}
		r.plans[name] = next
		out = append(out, fmt.Sprintf("%s, of number %d: %v", name, next.Number, next))
	}
	return out
}

// TestRecoveryTraces replays the traces of zone recoveries in testdata.
func TestRecoveryTraces(t *testing.T) {
	simulator.RunTraces(t, func(*testing.T) func(string) []string {
		return (&recoveryModel{time.Unix(1e9, 0), map[string]*Plan{}, map[string]Observation{}}).step
	})
}
