package emulator

import "sync/atomic"

// Direction is a direction of traffic: from and to a controller by its name, or all machines, the state
// service or the cloud. A controller that calls a machine is not known by name.
type Direction struct{ From, To string }

// The ends of ways that are no controllers by name.
const (
	Machines    = "machines"
	Controllers = "controllers"
	StateName   = "state"
	CloudName   = "cloud"
)

// Flow is what has gone one way. A message is what was handed over or taken at once.
type Flow struct{ Bytes, Messages uint64 }

// Sub gives what has gone since an earlier count.
func (f Flow) Sub(earlier Flow) Flow {
	return Flow{f.Bytes - earlier.Bytes, f.Messages - earlier.Messages}
}

// Add adds two flows.
func (f Flow) Add(other Flow) Flow {
	return Flow{f.Bytes + other.Bytes, f.Messages + other.Messages}
}

// counter counts a flow.
type counter struct{ bytes, messages atomic.Uint64 }

func (c *counter) add(n int) {
	c.bytes.Add(uint64(n))
	c.messages.Add(1)
}

// end names a side as an end of ways.
func (s side) end() string {
	if s.kind == Machines || s.name == "" {
		return s.kind
	}
	return s.name
}

// counter gives the count of a way; the lock is held.
func (l *links) counter(from, to side) *counter {
	w := Direction{from.end(), to.end()}
	if l.traffic[w] == nil {
		l.traffic[w] = new(counter)
	}
	return l.traffic[w]
}

// Traffic counts what has gone each way since the world began. Users reach controllers directly,
// and so do machines that are not emulated: what they send is not in it.
func (w *Cluster) Traffic() map[Direction]Flow {
	w.links.mu.Lock()
	defer w.links.mu.Unlock()
	out := make(map[Direction]Flow, len(w.links.traffic))
	for way, c := range w.links.traffic {
		out[way] = Flow{c.bytes.Load(), c.messages.Load()}
	}
	return out
}
