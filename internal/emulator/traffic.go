package emulator

import "sync/atomic"

// Direction is a direction of traffic between two ends. An end is the name of a controller, or one of the constants
// below. Controllers that connect to a machine are not told apart: their end is Controllers.
type Direction struct{ From, To string }

// Ends of a Direction that are not the name of a controller.
const (
	Machines    = "machines"
	Controllers = "controllers"
	StateName   = "state"
	CloudName   = "cloud"
)

// Flow is the amount of traffic in one direction. Each read or write of a socket counts as a message.
type Flow struct{ Bytes, Messages uint64 }

// Sub returns the traffic since an earlier reading.
func (f Flow) Sub(earlier Flow) Flow {
	return Flow{f.Bytes - earlier.Bytes, f.Messages - earlier.Messages}
}

// Add returns the sum of two flows.
func (f Flow) Add(other Flow) Flow {
	return Flow{f.Bytes + other.Bytes, f.Messages + other.Messages}
}

// counter counts the traffic of one direction.
type counter struct{ bytes, messages atomic.Uint64 }

func (c *counter) add(n int) {
	c.bytes.Add(uint64(n))
	c.messages.Add(1)
}

// directionEnd returns the name of an endpoint in a Direction.
func (e endpoint) directionEnd() string {
	if e.kind == Machines || e.name == "" {
		return e.kind
	}
	return e.name
}

// counter returns the counter of a direction. The caller holds the lock.
func (l *links) counter(from, to endpoint) *counter {
	direction := Direction{from.directionEnd(), to.directionEnd()}
	if l.traffic[direction] == nil {
		l.traffic[direction] = new(counter)
	}
	return l.traffic[direction]
}

// Traffic returns the traffic in each direction since the cluster started. Connections of users and of machines that
// are not emulated go to the controllers directly and are not counted.
func (cluster *Cluster) Traffic() map[Direction]Flow {
	cluster.links.mu.Lock()
	defer cluster.links.mu.Unlock()
	out := make(map[Direction]Flow, len(cluster.links.traffic))
	for direction, c := range cluster.links.traffic {
		out[direction] = Flow{c.bytes.Load(), c.messages.Load()}
	}
	return out
}
