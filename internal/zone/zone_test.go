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

// clusterModel models a few controllers, zones with machines, the links between them that are cut, and the records that
// the store holds.
type clusterModel struct {
	now, startedAt time.Time
	controllers    []string
	zoneOf         map[string]string // zone of each controller
	machines       map[string]int
	cut            map[[2]string]bool      // pairs of a controller and a zone whose heartbeats do not reach it
	peerLinkCut    map[[2]string]bool      // pairs of controllers that are partitioned from each other
	lastHeartbeat  map[[2]string]time.Time // by controller and zone
	evictedAt      map[string]time.Time    // when the machines of a zone were evicted
	lost           map[string]int
	store          map[string]Record
	storeDown      bool
	leader         string
	receiver       string // the controller that receives all heartbeats; empty if they are spread over all controllers
	electedAt      time.Time
	tracker        *Tracker
	zoneHeartbeat  map[string]time.Time
}

func newClusterModel() *clusterModel {
	at := time.Unix(1e9, 0)
	return &clusterModel{now: at, startedAt: at, zoneOf: map[string]string{}, machines: map[string]int{}, cut: map[[2]string]bool{}, peerLinkCut: map[[2]string]bool{},
		lastHeartbeat: map[[2]string]time.Time{}, evictedAt: map[string]time.Time{}, lost: map[string]int{}, store: map[string]Record{}}
}

// receivesFrom reports whether a zone's heartbeats reach a controller now.
func (m *clusterModel) receivesFrom(c, zone string) bool {
	return m.machines[zone] > 0 && !m.cut[[2]string{c, zone}]
}

// observations returns what a controller observes itself. The heartbeats of a zone are spread evenly over the
// controllers, and a machine whose controller does not answer sends them to another one.
func (m *clusterModel) observations(c string) map[string]Observation {
	out := map[string]Observation{}
	if m.receiver != "" && c != m.receiver {
		return out
	}
	for zone, n := range m.machines {
		share := (n + len(m.controllers) - 1) / len(m.controllers)
		at, known := m.lastHeartbeat[[2]string{c, zone}]
		switch age := m.now.Sub(at); {
		case !known || age > 20*time.Second:
		case age > 4*time.Second:
			out[zone] = Observation{Quiet: share}
		default:
			out[zone] = Observation{Heard: share}
		}
	}
	return out
}

// evidence returns the leader's evidence: heartbeats that it receives itself or from peers, and peers' observations.
func (m *clusterModel) evidence() *Evidence {
	e := &Evidence{Own: Observer{m.zoneOf[m.leader], map[string]Observation{}}, LastHeartbeat: m.zoneHeartbeat, CannotJudge: m.now.Sub(m.electedAt) < 7*time.Second,
		Peers: map[string]Observer{}, Controllers: len(m.controllers)}
	own := m.observations(m.leader)
	for _, c := range m.controllers {
		if c == m.leader || m.peerLinkCut[[2]string{c, m.leader}] {
			continue
		}
		observer := Observer{m.zoneOf[c], m.observations(c)}
		for zone, at := range m.machines {
			if m.tracker.Record(zone).State == Suspected && at > 0 { // controllers call machines in all zones then
				m.callMachines(c, observer.Observations)
			}
		}
		e.Peers[c] = observer
	}
	for zone, n := range m.machines {
		s := Observation{Quiet: n, Lost: m.lost[zone]}
		if at := m.lastHeartbeat[[2]string{m.leader, zone}]; m.now.Sub(at) <= 4*time.Second || own[zone].Heard > 0 {
			s = Observation{Heard: n}
		}
		if at, ok := m.evictedAt[zone]; ok {
			s.Quiet, s.Lost = 0, n
			if m.now.Sub(at) > 30*time.Second {
				s.Lost = 0
			}
		}
		e.Own.Observations[zone] = s
	}
	return e
}

// callMachines adds the results of a controller's calls to some machines of each zone.
func (m *clusterModel) callMachines(c string, observations map[string]Observation) {
	var calls CallLog
	for zone := range m.machines {
		for range 2 {
			calls.Record(m.now, zone, m.receivesFrom(c, zone))
		}
	}
	calls.AddTo(m.now, observations)
}

func (m *clusterModel) advanceSecond() (out []string) {
	m.now = m.now.Add(time.Second)
	for _, c := range m.controllers {
		for zone := range m.machines {
			if m.receivesFrom(c, zone) {
				m.lastHeartbeat[[2]string{c, zone}] = m.now
			}
		}
	}
	for zone := range m.machines {
		if m.receivesFrom(m.leader, zone) {
			m.zoneHeartbeat[zone] = m.now
			if m.evictedAt[zone].Before(m.now.Add(-time.Second)) {
				delete(m.evictedAt, zone)
			}
		}
	}
	changes := m.tracker.Next(m.now, m.evidence())
	for _, c := range changes {
		if m.storeDown {
			out = append(out, fmt.Sprintf("%v: %s would be %s", m.now.Sub(m.startedAt), c.Zone, c.Record.State))
			continue
		}
		out = append(out, fmt.Sprintf("%v: %s is %s, number %d, falls %d: %s", m.now.Sub(m.startedAt), c.Zone, c.Record.State, c.Record.Number, c.Record.Outages, c.Reason))
		m.store[c.Zone] = c.Record
	}
	if !m.storeDown {
		m.tracker.Commit(changes)
	}
	for _, zone := range slices.Sorted(maps.Keys(m.machines)) {
		if m.tracker.ProbeDue(m.now, zone) {
			m.tracker.MarkProbed(m.now, zone)
			out = append(out, fmt.Sprintf("%v: probe of %s", m.now.Sub(m.startedAt), zone))
		}
	}
	return out
}

func (m *clusterModel) advanceSeconds(n int) (out []string) {
	for range n {
		out = append(out, m.advanceSecond()...)
	}
	if len(out) == 0 {
		out = []string{"nothing changes"}
	}
	return out
}

func (m *clusterModel) step(line string) []string {
	f, kv := simulator.ParseStep(line)
	switch f[0] {
	case "controllers": // each as name/zone
		for _, x := range f[1:] {
			name, zone, _ := strings.Cut(x, "/")
			m.controllers = append(m.controllers, name)
			m.zoneOf[name] = zone
		}
	case "machines":
		for zone, n := range kv {
			m.machines[zone], _ = strconv.Atoi(n)
		}
	case "reports": // all heartbeats go to one controller
		m.receiver = f[1]
	case "claim": // a controller becomes leader and loads the records from the store
		if m.leader == "" {
			for _, c := range m.controllers {
				for zone := range m.machines {
					m.lastHeartbeat[[2]string{c, zone}] = m.now
				}
			}
		}
		m.leader, m.electedAt, m.zoneHeartbeat = f[1], m.now, map[string]time.Time{}
		m.tracker = New(m.now, maps.Clone(m.store))
	case "cut", "heal": // partitions a zone from all others, or one controller from the machines of zones
		cut := f[0] == "cut"
		if _, isController := m.zoneOf[f[1]]; isController {
			for _, zone := range f[2:] {
				m.cut[[2]string{f[1], zone}] = cut
			}
			break
		}
		for _, c := range m.controllers {
			if m.zoneOf[c] == f[1] {
				for zone := range m.machines {
					m.cut[[2]string{c, zone}] = cut && zone != f[1] && kv["ways"] != "in"
				}
				for _, o := range m.controllers {
					if m.zoneOf[o] != f[1] && kv["mesh"] != "open" {
						m.peerLinkCut[[2]string{c, o}], m.peerLinkCut[[2]string{o, c}] = cut, cut
					}
				}
			} else {
				m.cut[[2]string{c, f[1]}] = cut
			}
		}
	case "given": // given up: all machines of a zone are evicted
		m.evictedAt[f[2]] = m.now
	case "ahead": // moves the time of a zone's record ahead, as if the leader that wrote it had a fast clock, in seconds
		n, _ := strconv.Atoi(f[2])
		r := m.store[f[1]]
		r.Since = r.Since.Add(time.Duration(n) * time.Second)
		m.store[f[1]] = r
	case "store":
		m.storeDown = f[1] == "out"
	case "seconds":
		n, _ := strconv.Atoi(f[1])
		return m.advanceSeconds(n)
	case "every": // cuts and heals in turn, each for the given number of seconds, for 120 s
		var out []string
		gap, _ := strconv.Atoi(f[1])
		for i := range 120 / gap {
			m.step([]string{"cut ", "heal "}[i%2] + f[2])
			for _, l := range m.advanceSeconds(gap) {
				if !strings.Contains(l, "nothing") {
					l, _, _ = strings.Cut(l, ":  ")
					out = append(out, l)
				}
			}
		}
		return out
	case "show":
		var out []string
		for _, zone := range slices.Sorted(maps.Keys(m.machines)) {
			r := m.tracker.Record(zone)
			out = append(out, fmt.Sprintf("%s: %s, number %d, open %v", zone, r.State, r.Number, r.AcceptsScaleOut(m.now)))
		}
		return out
	}
	return nil
}

// TestTraces replays the traces of zone state changes in testdata.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string { return newClusterModel().step })
}
