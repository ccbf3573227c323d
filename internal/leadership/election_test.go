package leadership

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
)

// TestTraces replays the recorded traces of an election.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string {
		zero := time.Unix(1e9, 0)
		election, now := New("me", 9*time.Second, 3*time.Second), zero
		return func(step string) []string {
			words, fields := simulator.ParseStep(step)
			num := func(key string) uint64 {
				n, _ := strconv.ParseUint(fields[key], 10, 64)
				return n
			}
			switch words[0] {
			case "at":
				d, _ := time.ParseDuration(words[1])
				now = zero.Add(d)
			case "granted":
				election.LeaseGranted(num("lease"), now)
			case "renewed":
				election.LeaseRenewed(now)
			case "lost":
				election.LeaseLost()
			case "attempt":
				txn, token := election.Campaign("fleet", store.Versioned[uint64]{Record: num("term"), Version: num("version")})
				out := []string{fmt.Sprintf("term %d", token)}
				for _, cond := range txn.If {
					out = append(out, fmt.Sprintf("if %s is at %d", cond.Key, cond.Version))
				}
				for _, op := range txn.Then {
					out = append(out, fmt.Sprintf("put %s %v under lease %d", op.Put, op.Value, op.Lease))
				}
				return out
			case "won":
				election.Won("fleet", num("term"), num("revision"))
			case "see":
				rec := store.Versioned[store.LeaderRecord]{Version: num("version"),
					Record: store.LeaderRecord{Leader: fields["holder"], FencingToken: num("term"), Lease: num("lease")}}
				if staleLease := election.Observe("fleet", rec, fields["holder"] != "", num("revision")); staleLease != 0 {
					return []string{fmt.Sprintf("end lease %d", staleLease)}
				}
			case "leave": // gives up the shard
				election.StepDown("fleet")
			case "releases":
				var out []string
				for shard, txn := range election.PendingReleases() {
					out = append(out, fmt.Sprintf("drop %s if %s is at %d", shard, txn.If[0].Key, txn.If[0].Version))
				}
				return out
			default:
				t.Fatalf("no such step: %s", step)
			}
			tenure, ok := election.Tenure("fleet")
			if !ok {
				return []string{fmt.Sprintf("holds nothing, valid=%v", election.LeaseValid(now))}
			}
			return []string{fmt.Sprintf("holds the fleet with term %d at version %d, valid=%v", tenure.FencingToken, tenure.Version, election.LeaseValid(now))}
		}
	})
}
