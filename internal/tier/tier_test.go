package tier

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// traceModel is what the kept traces are played on.
type traceModel struct {
	t     *testing.T
	now   time.Time
	tiers []Tier
	claim *Preemption
	on    map[string]string // machine of each attempt that is still there
	dead  map[string]bool
}

func (b *traceModel) step(line string) []string {
	w, kv := simulator.Words(line)
	num := func(key string) float64 {
		n, _ := strconv.ParseFloat(kv[key], 64)
		return n
	}
	share := func(text string) Share {
		n, _ := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
		if strings.HasSuffix(text, "%") {
			return Share{Fraction: n / 100}
		}
		return Share{Cards: n}
	}
	switch w[0] {
	case "tier":
		t := Tier{Name: w[1], Order: int(num("order")), Share: share(kv["cards"]), Zones: map[string]Share{}}
		for _, zone := range []string{"a", "b"} {
			if kv[zone] != "" {
				t.Zones[zone] = share(kv[zone])
			}
		}
		if kv["priority"] != "" {
			t.Priorities = strings.Split(kv["priority"], ",")
		}
		if kv["class"] != "" {
			t.Classes = strings.Split(kv["class"], ",")
		}
		t.InTeam = kv["in_team"] != ""
		b.tiers = append(b.tiers, t)
	case "work": // which tier has it
		s := New(b.tiers)
		return []string{s.Tiers[s.IndexOf(Workload{Priority: wire.Priority(kv["priority"]), Class: kv["class"], Guaranteed: kv["in_team"] != ""})].Name}
	case "fit": // with so many cards in each zone
		cards := make(map[string]float64)
		for zone := range kv {
			cards[zone] = num(zone)
		}
		s, out := New(b.tiers), []string{}
		for i, h := range s.Guarantees(cards) {
			if len(b.tiers) > 0 && s.Tiers[i].Name != restName {
				out = append(out, fmt.Sprintf("%s holds %.4g, by zone %v", s.Tiers[i].Name, h.Total, h.Zones))
			}
		}
		return out
	case "claim": // room for a job on a machine: who is stopped, and who is waited for
		r := Reservation{Machine: w[1], Tier: "live", Tasks: int(num("tasks")), Deadline: b.now.Add(30 * time.Second).UnixMilli(), Stops: map[string]uint64{}, Awaits: map[string]uint64{}}
		for key, named := range map[string]map[string]uint64{"stops": r.Stops, "awaits": r.Awaits} {
			for _, task := range strings.FieldsFunc(kv[key], func(r rune) bool { return r == ',' }) {
				named[task], b.on[task] = 1, w[1]
			}
		}
		b.claim = b.claim.Add(r)
	case "left": // these attempts are gone
		for _, task := range w[1:] {
			delete(b.on, task)
		}
	case "gone":
		b.dead[w[1]] = true
	case "placed":
		b.claim = b.claim.WithPlaced(w[1])
	case "wait":
		d, _ := time.ParseDuration(w[1])
		b.now = b.now.Add(d)
	case "review": // with so many tasks waiting, -1 where the job is over
		next, stuck := b.claim.Review("wk-9", Facts{Now: b.now, WaitingTasks: func(string) (int, bool) { return int(num("waiting")), kv["rebuilding"] == "" },
			MachineUsable: func(m string) bool { return !b.dead[m] }, MayOccupy: func(task string, _ uint64, m string) bool { return b.on[task] == m }})
		b.claim = next
		var out []string
		for _, r := range next.Reservations {
			out = append(out, fmt.Sprintf("room for %d on %s", r.Tasks, r.Machine))
		}
		for _, task := range slices.Sorted(maps.Keys(stuck)) {
			out = append(out, task+" does not stop")
		}
		for _, v := range next.DueVictims(b.now, func(string) time.Duration { return time.Second }) {
			if b.on[v.Task] != "" {
				out = append(out, "stop "+v.Task)
			}
		}
		if len(out) == 0 {
			out = []string{"nothing"}
		}
		return out
	default:
		b.t.Fatalf("no such step: %s", line)
	}
	return nil
}

// TestTraces plays the kept traces.
func TestTraces(t *testing.T) {
	simulator.Traces(t, func(t *testing.T) func(string) []string {
		return (&traceModel{t: t, now: time.Unix(1e9, 0), claim: &Preemption{}, on: map[string]string{}, dead: map[string]bool{}}).step
	})
}

// TestFitNeverTooMuch: whatever is configured, the guarantees never exceed the cards that exist, in total
// and in each zone, and a tier never gets less because of one that is served after it.
func TestFitNeverTooMuch(t *testing.T) {
	for i := range 4000 {
		n := func(k, most int) float64 { return float64((i*7919 + k*104729 + i/7*k) % most) }
		tiers := []Tier{{Name: "x", Order: 1, Share: Share{Cards: n(1, 40)}, Zones: map[string]Share{"a": {Cards: n(2, 20)}}},
			{Name: "y", Order: 1 + i%2, Share: Share{Fraction: n(3, 60) / 100}, Zones: map[string]Share{"a": {Fraction: n(4, 80) / 100}, "b": {Cards: n(5, 30)}}}}
		cards := map[string]float64{"a": n(6, 40), "b": n(7, 40)}
		held := New(tiers).Guarantees(cards)
		alone := New(tiers[:1]).Guarantees(cards)
		if held[0].Total+held[1].Total > cards["a"]+cards["b"]+epsilon || i%2 == 1 && held[0].Total < alone[0].Total-epsilon {
			t.Fatalf("%v: %+v, alone %+v", cards, held, alone[0])
		}
		for z, c := range cards {
			if held[0].Zones[z]+held[1].Zones[z] > c+epsilon {
				t.Fatalf("%v: %+v", cards, held)
			}
		}
	}
}
