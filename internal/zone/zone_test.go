package zone

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
)

// clusterModel is a few controllers and zones with machines, the links between them that are cut, and
// the records that the store holds.
type clusterModel struct {
	now, begun    time.Time
	names         []string
	zoneOf        map[string]string // controller to zone
	machines      map[string]int
	cut           map[[2]string]bool      // controller and zone from which it gets no heartbeats
	peerLinkCut   map[[2]string]bool      // pairs of controllers that are cut off from each other
	lastHeartbeat map[[2]string]time.Time // controller and zone
	evictedAt     map[string]time.Time    // zones whose machines were evicted
	lost          map[string]int
	store         map[string]Record
	storeDown     bool
	leader        string
	receiver      string // the one controller to which all heartbeats go, if it is set
	electedAt     time.Time
	zones         *Tracker
	zoneHeartbeat map[string]time.Time
}

func newClusterModel() *clusterModel {
	at := time.Unix(1e9, 0)
	return &clusterModel{now: at, begun: at, zoneOf: map[string]string{}, machines: map[string]int{}, cut: map[[2]string]bool{}, peerLinkCut: map[[2]string]bool{},
		lastHeartbeat: map[[2]string]time.Time{}, evictedAt: map[string]time.Time{}, lost: map[string]int{}, store: map[string]Record{}}
}

// hears reports whether a zone's heartbeats reach a controller now.
func (w *clusterModel) hears(c, zone string) bool {
	return w.machines[zone] > 0 && !w.cut[[2]string{c, zone}]
}

// observations is what a controller observes itself: the heartbeats of a zone go to all controllers in
// equal numbers, and to another one where a controller does not answer.
func (w *clusterModel) observations(c string) map[string]Observation {
	out := map[string]Observation{}
	if w.receiver != "" && c != w.receiver {
		return out
	}
	for zone, n := range w.machines {
		share := (n + len(w.names) - 1) / len(w.names)
		at, known := w.lastHeartbeat[[2]string{c, zone}]
		switch age := w.now.Sub(at); {
		case !known || age > 20*time.Second:
		case age > 4*time.Second:
			out[zone] = Observation{Quiet: share}
		default:
			out[zone] = Observation{Heard: share}
		}
	}
	return out
}

// evidence is what the leader has: its own heartbeats and those that peers forward to it.
func (w *clusterModel) evidence() *Evidence {
	e := &Evidence{Own: Observer{w.zoneOf[w.leader], map[string]Observation{}}, LastHeartbeat: w.zoneHeartbeat, CannotJudge: w.now.Sub(w.electedAt) < 7*time.Second,
		Peers: map[string]Observer{}, Controllers: len(w.names)}
	passed := w.observations(w.leader)
	for _, c := range w.names {
		if c == w.leader || w.peerLinkCut[[2]string{c, w.leader}] {
			continue
		}
		x := Observer{w.zoneOf[c], w.observations(c)}
		for zone, at := range w.machines {
			if w.zones.Record(zone).State == Suspected && at > 0 { // it is to call machines there, and elsewhere
				w.call(c, x.Observations)
			}
		}
		e.Peers[c] = x
	}
	for zone, n := range w.machines {
		s := Observation{Quiet: n, Lost: w.lost[zone]}
		if at := w.lastHeartbeat[[2]string{w.leader, zone}]; w.now.Sub(at) <= 4*time.Second || passed[zone].Heard > 0 {
			s = Observation{Heard: n}
		}
		if at, ok := w.evictedAt[zone]; ok {
			s.Quiet, s.Lost = 0, n
			if w.now.Sub(at) > 30*time.Second {
				s.Lost = 0
			}
		}
		e.Own.Observations[zone] = s
	}
	return e
}

// call has a controller call some machines of each zone.
func (w *clusterModel) call(c string, observations map[string]Observation) {
	var calls CallLog
	for zone := range w.machines {
		for range 2 {
			calls.Record(w.now, zone, w.hears(c, zone))
		}
	}
	calls.AddTo(w.now, observations)
}

func (w *clusterModel) second() (out []string) {
	w.now = w.now.Add(time.Second)
	for _, c := range w.names {
		for zone := range w.machines {
			if w.hears(c, zone) {
				w.lastHeartbeat[[2]string{c, zone}] = w.now
			}
		}
	}
	for zone := range w.machines {
		if w.hears(w.leader, zone) {
			w.zoneHeartbeat[zone] = w.now
			if w.evictedAt[zone].Before(w.now.Add(-time.Second)) {
				delete(w.evictedAt, zone)
			}
		}
	}
	changes := w.zones.Next(w.now, w.evidence())
	for _, c := range changes {
		if w.storeDown {
			out = append(out, fmt.Sprintf("%v: %s would be %s", w.now.Sub(w.begun), c.Zone, c.Record.State))
			continue
		}
		out = append(out, fmt.Sprintf("%v: %s is %s, number %d, falls %d: %s", w.now.Sub(w.begun), c.Zone, c.Record.State, c.Record.Number, c.Record.Outages, c.Reason))
		w.store[c.Zone] = c.Record
	}
	if !w.storeDown {
		w.zones.Commit(changes)
	}
	for _, zone := range slices.Sorted(maps.Keys(w.machines)) {
		if w.zones.ProbeDue(w.now, zone) {
			w.zones.MarkProbed(w.now, zone)
			out = append(out, fmt.Sprintf("%v: probe of %s", w.now.Sub(w.begun), zone))
		}
	}
	return out
}

func (w *clusterModel) seconds(n int) (out []string) {
	for range n {
		out = append(out, w.second()...)
	}
	if len(out) == 0 {
		out = []string{"nothing changes"}
	}
	return out
}

func (w *clusterModel) step(line string) []string {
	f, kv := simulator.Words(line)
	switch f[0] {
	case "controllers": // name/zone
		for _, x := range f[1:] {
			name, zone, _ := strings.Cut(x, "/")
			w.names = append(w.names, name)
			w.zoneOf[name] = zone
		}
	case "machines":
		for zone, n := range kv {
			w.machines[zone], _ = strconv.Atoi(n)
		}
	case "reports": // go to one controller
		w.receiver = f[1]
	case "claim": // a controller becomes leader and recovers what the store holds
		if w.leader == "" {
			for _, c := range w.names {
				for zone := range w.machines {
					w.lastHeartbeat[[2]string{c, zone}] = w.now
				}
			}
		}
		w.leader, w.electedAt, w.zoneHeartbeat = f[1], w.now, map[string]time.Time{}
		w.zones = New(w.now, maps.Clone(w.store))
	case "cut", "heal": // a zone from all that are outside, or one controller from a zone's machines
		is := f[0] == "cut"
		if _, one := w.zoneOf[f[1]]; one {
			for _, zone := range f[2:] {
				w.cut[[2]string{f[1], zone}] = is
			}
			break
		}
		for _, c := range w.names {
			if w.zoneOf[c] == f[1] {
				for zone := range w.machines {
					w.cut[[2]string{c, zone}] = is && zone != f[1] && kv["ways"] != "in"
				}
				for _, o := range w.names {
					if w.zoneOf[o] != f[1] && kv["mesh"] != "open" {
						w.peerLinkCut[[2]string{c, o}], w.peerLinkCut[[2]string{o, c}] = is, is
					}
				}
			} else {
				w.cut[[2]string{c, f[1]}] = is
			}
		}
	case "given": // up, all machines of a zone
		w.evictedAt[f[2]] = w.now
	case "ahead": // the clock of the leader that wrote a zone's record, by so many seconds
		n, _ := strconv.Atoi(f[2])
		r := w.store[f[1]]
		r.Since = r.Since.Add(time.Duration(n) * time.Second)
		w.store[f[1]] = r
	case "store":
		w.storeDown = f[1] == "out"
	case "seconds":
		n, _ := strconv.Atoi(f[1])
		return w.seconds(n)
	case "every": // so many seconds cut and healed by turns, for a while
		var out []string
		gap, _ := strconv.Atoi(f[1])
		for i := range 120 / gap {
			w.step([]string{"cut ", "heal "}[i%2] + f[2])
			for _, l := range w.seconds(gap) {
				if !strings.Contains(l, "nothing") {
					l, _, _ = strings.Cut(l, ":  ")
					out = append(out, l)
				}
			}
		}
		return out
	case "show":
		var out []string
		for _, zone := range slices.Sorted(maps.Keys(w.machines)) {
			r := w.zones.Record(zone)
			out = append(out, fmt.Sprintf("%s: %s, number %d, open %v", zone, r.State, r.Number, r.AcceptsScaleOut(w.now)))
		}
		return out
	}
	return nil
}

// TestTraces plays the kept traces of what the states of zones become.
func TestTraces(t *testing.T) {
	simulator.Traces(t, func(t *testing.T) func(string) []string { return newClusterModel().step })
}
