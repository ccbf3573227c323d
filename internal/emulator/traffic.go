package emulator

import "sync/atomic"

// Direction is a direction of traffic. Its ends are a controller's name, all machines, the state
// service or the cloud. A controller that calls a machine is not known by name.
type Direction struct{ From, To string }

// The ends of directions that are not controllers.
const (
	Machines    = "machines"
	Controllers = "controllers"
	StateName   = "state"
	CloudName   = "cloud"
)

// Flow is the traffic of one direction. A message is what was read or written at once.
type Flow struct{ Bytes, Messages uint64 }

// Sub returns the traffic since an earlier count.
func (f Flow) Sub(earlier Flow) Flow {
	return Flow{f.Bytes - earlier.Bytes, f.Messages - earlier.Messages}
}

// Add adds two flows.
func (f Flow) Add(other Flow) Flow {
	return Flow{f.Bytes + other.Bytes, f.Messages + other.Messages}
}

// flowCounter counts a flow.
type flowCounter struct{ bytes, messages atomic.Uint64 }

func (c *flowCounter) add(n int) {
	c.bytes.Add(uint64(n))
	c.messages.Add(1)
}

// directionEnd returns the name of a side in a Direction.
func (s endpoint) directionEnd() string {
	if s.kind == Machines || s.name == "" {
		return s.kind
	}
	return s.name
}

// counter returns the counter of a direction; the lock is held.
func (l *links) counter(from, to endpoint) *flowCounter {
	direction := Direction{from.directionEnd(), to.directionEnd()}
	if l.traffic[direction] == nil {
		l.traffic[direction] = new(flowCounter)
	}
	return l.traffic[direction]
}

// Traffic returns the traffic of each direction since the cluster started. Connections of users
// and of machines that are not emulated go to controllers directly and are not counted.
func (cluster *Cluster) Traffic() map[Direction]Flow {
	cluster.links.mu.Lock()
	defer cluster.links.mu.Unlock()
	out := make(map[Direction]Flow, len(cluster.links.traffic))
	for direction, c := range cluster.links.traffic {
		out[direction] = Flow{c.bytes.Load(), c.messages.Load()}
	}
	return out
}
