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

// traceModel executes the steps of the traces in testdata.
type traceModel struct {
	t              *testing.T
	now            time.Time
	tiers          []Tier
	preemption     *Preemption
	attemptMachine map[string]string // the machine of each running attempt, by task
	unusable       map[string]bool
}

func (m *traceModel) step(line string) []string {
	words, kv := simulator.ParseStep(line)
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
	switch words[0] {
	case "tier":
		t := Tier{Name: words[1], Order: int(num("order")), Share: share(kv["cards"]), Zones: map[string]Share{}}
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
		m.tiers = append(m.tiers, t)
	case "work": // the tier that admits such work
		s := New(m.tiers)
		return []string{s.Tiers[s.IndexOf(Workload{Priority: wire.Priority(kv["priority"]), Class: kv["class"], Guaranteed: kv["in_team"] != ""})].Name}
	case "fit": // the guarantees, given the number of cards in each zone
		cards := make(map[string]float64)
		for zone := range kv {
			cards[zone] = num(zone)
		}
		s, out := New(m.tiers), []string{}
		for i, h := range s.Guarantees(cards) {
			if len(m.tiers) > 0 && s.Tiers[i].Name != catchAllName {
				out = append(out, fmt.Sprintf("%s holds %.4g, by zone %v", s.Tiers[i].Name, h.Total, h.Zones))
			}
		}
		return out
	case "claim": // reserve capacity on a machine: which tasks are stopped, and which are awaited
		r := Reservation{Machine: words[1], Tier: "live", Tasks: int(num("tasks")), Deadline: m.now.Add(30 * time.Second).UnixMilli(), Stops: map[string]uint64{}, Awaits: map[string]uint64{}}
		for key, attempts := range map[string]map[string]uint64{"stops": r.Stops, "awaits": r.Awaits} {
			for _, task := range strings.FieldsFunc(kv[key], func(r rune) bool { return r == ',' }) {
				attempts[task], m.attemptMachine[task] = 1, words[1]
			}
		}
		m.preemption = m.preemption.Add(r)
	case "left": // the attempts of these tasks have ended
		for _, task := range words[1:] {
			delete(m.attemptMachine, task)
		}
	case "gone":
		m.unusable[words[1]] = true
	case "placed":
		m.preemption = m.preemption.WithPlaced(words[1])
	case "wait":
		d, _ := time.ParseDuration(words[1])
		m.now = m.now.Add(d)
	case "review": // with the given number of waiting tasks, -1 if the job has ended
		next, stuck := m.preemption.Review("wk-9", ReviewInput{Now: m.now, WaitingTasks: func(string) (int, bool) { return int(num("waiting")), kv["rebuilding"] == "" },
			MachineUsable: func(machine string) bool { return !m.unusable[machine] }, MayOccupy: func(task string, _ uint64, machine string) bool { return m.attemptMachine[task] == machine }})
		m.preemption = next
		var out []string
		for _, r := range next.Reservations {
			out = append(out, fmt.Sprintf("room for %d on %s", r.Tasks, r.Machine))
		}
		for _, task := range slices.Sorted(maps.Keys(stuck)) {
			out = append(out, task+" does not stop")
		}
		for _, v := range next.DueVictims(m.now, func(string) time.Duration { return time.Second }) {
			if m.attemptMachine[v.Task] != "" {
				out = append(out, "stop "+v.Task)
			}
		}
		if len(out) == 0 {
			out = []string{"nothing"}
		}
		return out
	default:
		m.t.Fatalf("unknown step: %s", line)
	}
	return nil
}

// TestTraces replays the traces in testdata.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string {
		return (&traceModel{t: t, now: time.Unix(1e9, 0), preemption: &Preemption{}, attemptMachine: map[string]string{}, unusable: map[string]bool{}}).step
	})
}

// TestGuaranteesNeverExceedCards checks that for any configuration the guarantees never exceed the existing cards, in
// total and in each zone, and that a tier never gets less because of a tier that is served after it.
func TestGuaranteesNeverExceedCards(t *testing.T) {
	for i := range 4000 {
		n := func(k, most int) float64 { return float64((i*7919 + k*104729 + i/7*k) % most) }
		tiers := []Tier{{Name: "x", Order: 1, Share: Share{Cards: n(1, 40)}, Zones: map[string]Share{"a": {Cards: n(2, 20)}}},
			{Name: "y", Order: 1 + i%2, Share: Share{Fraction: n(3, 60) / 100}, Zones: map[string]Share{"a": {Fraction: n(4, 80) / 100}, "b": {Cards: n(5, 30)}}}}
		cards := map[string]float64{"a": n(6, 40), "b": n(7, 40)}
		guarantees := New(tiers).Guarantees(cards)
		alone := New(tiers[:1]).Guarantees(cards)
		if guarantees[0].Total+guarantees[1].Total > cards["a"]+cards["b"]+epsilon || i%2 == 1 && guarantees[0].Total < alone[0].Total-epsilon {
			t.Fatalf("%v: %+v, alone %+v", cards, guarantees, alone[0])
		}
		for z, c := range cards {
			if guarantees[0].Zones[z]+guarantees[1].Zones[z] > c+epsilon {
				t.Fatalf("%v: %+v", cards, guarantees)
			}
		}
	}
}
