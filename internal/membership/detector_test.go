package membership

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
)

// cluster is some controllers, each with a detector of the others, and the links that are cut.
type cluster struct {
	now              time.Time
	names            []string
	detectors        map[string]*Detector
	cut              map[[2]string]bool // from, to
	down             map[string]bool
	storeUnreachable map[string]bool // the state service does not answer them
	incarnations     Incarnations    // as one of the controllers tells them apart
}

func newCluster(n int) *cluster {
	w := &cluster{now: time.Unix(1e9, 0), detectors: map[string]*Detector{}, cut: map[[2]string]bool{}, down: map[string]bool{}, storeUnreachable: map[string]bool{}}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("c-%d", i))
	}
	for _, name := range w.names {
		w.detectors[name] = New(slices.DeleteFunc(slices.Clone(w.names), func(o string) bool { return o == name }))
	}
	return w
}

// heartbeatRound lets a second pass in which every controller sends its heartbeats.
func (w *cluster) heartbeatRound() {
	w.now = w.now.Add(HeartbeatInterval)
	for _, from := range w.names {
		for _, to := range w.names {
			if from != to && !w.down[from] && !w.down[to] && !w.cut[[2]string{from, to}] {
				w.detectors[to].RecordHeartbeat(w.now, from, !w.storeUnreachable[from], w.detectors[from].HeartbeatAges(w.now))
			}
		}
	}
}

func (w *cluster) step(line string) []string {
	f, kv := simulator.Words(line)
	switch f[0] {
	case "controllers":
		n, _ := strconv.Atoi(f[1])
		*w = *newCluster(n)
	case "beats":
		n, _ := strconv.Atoi(f[1])
		for range n {
			w.heartbeatRound()
		}
	case "down", "up":
		w.down[f[1]] = f[0] == "down"
	case "refused", "served":
		w.storeUnreachable[f[1]] = f[0] == "refused"
	case "cut", "heal": // between a controller and others, or all
		others := f[2:]
		if len(others) == 0 {
			others = w.names
		}
		for _, o := range others {
			if kv["way"] != "in" {
				w.cut[[2]string{f[1], o}] = f[0] == "cut"
			}
			if kv["way"] != "out" {
				w.cut[[2]string{o, f[1]}] = f[0] == "cut"
			}
		}
	case "wait":
		d, _ := time.ParseDuration(f[1])
		w.now = w.now.Add(d)
	case "hear": // a heartbeat of a controller, of an incarnation that started at a time by its own clock
		begun, _ := strconv.ParseInt(kv["begun"], 10, 64)
		number, _ := strconv.ParseUint(kv["number"], 10, 64)
		if w.incarnations.Accept(w.now, f[1], begun, number) {
			return []string{"news"}
		}
		return []string{"old"}
	case "what": // each thinks of one
		var out []string
		for _, name := range w.names {
			if name != f[1] && !w.down[name] {
				out = append(out, fmt.Sprintf("%s: %v", name, w.detectors[name].State(w.now, f[1])))
			}
		}
		return out
	case "first":
		for _, name := range w.names {
			if !w.down[name] && w.detectors[name].FirstAlive(w.now, name) {
				return []string{name}
			}
		}
	}
	return nil
}

// TestTraces plays the kept traces of what each controller believes of the others.
func TestTraces(t *testing.T) {
	simulator.Traces(t, func(t *testing.T) func(string) []string { return newCluster(3).step })
}
