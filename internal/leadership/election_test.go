package leadership

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
)

// TestTraces plays the kept traces of an election.
func TestTraces(t *testing.T) {
	simulator.Traces(t, func(t *testing.T) func(string) []string {
		zero := time.Unix(1e9, 0)
		c, now := New("me", 9*time.Second, 3*time.Second), zero
		return func(step string) []string {
			w, kv := simulator.Words(step)
			num := func(key string) uint64 {
				n, _ := strconv.ParseUint(kv[key], 10, 64)
				return n
			}
			switch w[0] {
			case "at":
				d, _ := time.ParseDuration(w[1])
				now = zero.Add(d)
			case "granted":
				c.LeaseGranted(num("lease"), now)
			case "renewed":
				c.LeaseRenewed(now)
			case "lost":
				c.LeaseLost()
			case "attempt":
				txn, token := c.Campaign("fleet", store.Versioned[uint64]{Record: num("term"), Version: num("version")})
				out := []string{fmt.Sprintf("term %d", token)}
				for _, cond := range txn.If {
					out = append(out, fmt.Sprintf("if %s is at %d", cond.Key, cond.Version))
				}
				for _, ch := range txn.Then {
					out = append(out, fmt.Sprintf("put %s %v under lease %d", ch.Put, ch.Value, ch.Lease))
				}
				return out
			case "won":
				c.Won("fleet", num("term"), num("revision"))
			case "see":
				rec := store.Versioned[store.LeaderRecord]{Version: num("version"),
					Record: store.LeaderRecord{Leader: kv["holder"], FencingToken: num("term"), Lease: num("lease")}}
				if old := c.Observe("fleet", rec, kv["holder"] != "", num("revision")); old != 0 {
					return []string{fmt.Sprintf("end lease %d", old)}
				}
			case "leave": // give the shard up
				c.StepDown("fleet")
			case "releases":
				var out []string
				for shard, txn := range c.PendingReleases() {
					out = append(out, fmt.Sprintf("drop %s if %s is at %d", shard, txn.If[0].Key, txn.If[0].Version))
				}
				return out
			default:
				t.Fatalf("no such step: %s", step)
			}
			held, ok := c.Tenure("fleet")
			if !ok {
				return []string{fmt.Sprintf("holds nothing, valid=%v", c.LeaseValid(now))}
			}
			return []string{fmt.Sprintf("holds the fleet with term %d at version %d, valid=%v", held.FencingToken, held.Version, c.LeaseValid(now))}
		}
	})
}
