package emulator

// ports are the offsets of a world's ports from its first one, at which the controllers serve users
// and machines. Each controller has ports of its own for the state service and the cloud, and one
// for each sibling, so that one can be cut off alone.
type ports struct {
	step                                                                     int // between two kinds
	mesh, state, cloud, control, metrics, builds, blobs, peerLinks, machines int
}

// Between two kinds of ports is room for as many controllers as there may be in a world, or in an
// ordinary one.
const (
	usualControllers = 9
	usualStep        = 10
	largeStep        = 32
)

// layOutPorts lays out the ports of a world with so many controllers.
func layOutPorts(controllers int) ports {
	step := usualStep
	if controllers > usualControllers {
		step = largeStep
	}
	return ports{step: step, mesh: step, state: 2 * step, cloud: 3 * step, control: 4 * step, metrics: 5 * step, builds: 6 * step, blobs: 7 * step,
		peerLinks: 10 * step, machines: 10*step + step*step}
}

// between gives the port by which a controller reaches a sibling.
func (p ports) between(from, to int) int { return p.peerLinks + p.step*from + to }
