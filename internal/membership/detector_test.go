package membership

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
)

// cluster simulates controllers, each with a detector for the others, and partitions between them.
type cluster struct {
	now              time.Time
	names            []string
	detectors        map[string]*Detector
	cut              map[[2]string]bool // from, to
	down             map[string]bool
	storeUnreachable map[string]bool // controllers that get no answers from the state service
	incarnations     Incarnations    // of the heartbeats that one controller receives
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1e9, 0), detectors: map[string]*Detector{}, cut: map[[2]string]bool{}, down: map[string]bool{}, storeUnreachable: map[string]bool{}}
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("c-%d", i))
	}
	for _, name := range c.names {
		c.detectors[name] = New(slices.DeleteFunc(slices.Clone(c.names), func(o string) bool { return o == name }))
	}
	return c
}

// heartbeatRound advances the clock by HeartbeatInterval and has every controller that is up send its
// heartbeats.
func (c *cluster) heartbeatRound() {
	c.now = c.now.Add(HeartbeatInterval)
	for _, from := range c.names {
		for _, to := range c.names {
			if from != to && !c.down[from] && !c.down[to] && !c.cut[[2]string{from, to}] {
				c.detectors[to].RecordHeartbeat(c.now, from, !c.storeUnreachable[from], c.detectors[from].HeartbeatAges(c.now))
			}
		}
	}
}

// step executes one line of a trace and returns the output that the trace expects.
func (c *cluster) step(line string) []string {
	fields, options := simulator.ParseStep(line)
	switch fields[0] {
	case "controllers":
		n, _ := strconv.Atoi(fields[1])
		*c = *newCluster(n)
	case "beats":
		n, _ := strconv.Atoi(fields[1])
		for range n {
			c.heartbeatRound()
		}
	case "down", "up":
		c.down[fields[1]] = fields[0] == "down"
	case "refused", "served":
		c.storeUnreachable[fields[1]] = fields[0] == "refused"
	case "cut", "heal": // the links between one controller and the named ones, or all others
		others := fields[2:]
		if len(others) == 0 {
			others = c.names
		}
		for _, o := range others {
			if options["way"] != "in" {
				c.cut[[2]string{fields[1], o}] = fields[0] == "cut"
			}
			if options["way"] != "out" {
				c.cut[[2]string{o, fields[1]}] = fields[0] == "cut"
			}
		}
	case "wait":
		d, _ := time.ParseDuration(fields[1])
		c.now = c.now.Add(d)
	case "hear": // a heartbeat arrives; begun is its sender's start time by the sender's clock
		begun, _ := strconv.ParseInt(options["begun"], 10, 64)
		number, _ := strconv.ParseUint(options["number"], 10, 64)
		if c.incarnations.Accept(c.now, fields[1], begun, number) {
			return []string{"news"}
		}
		return []string{"old"}
	case "what": // the state of one controller as each other one sees it
		var out []string
		for _, name := range c.names {
			if name != fields[1] && !c.down[name] {
				out = append(out, fmt.Sprintf("%s: %v", name, c.detectors[name].State(c.now, fields[1])))
			}
		}
		return out
	case "first":
		for _, name := range c.names {
			if !c.down[name] && c.detectors[name].FirstAlive(c.now, name) {
				return []string{name}
			}
		}
	}
	return nil
}

// TestTraces replays the recorded traces of how controllers see each other's state.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string { return newCluster(3).step })
}
