package emulator

// portLayout are the offsets of a cluster's ports from its first one, at which the controllers serve
// users and machines. Each controller has its own ports for the state service and the cloud, and
// one for each peer, so that one controller alone can be cut off.
type portLayout struct {
	stride                                                                   int // distance between two kinds of ports
	mesh, state, cloud, control, metrics, builds, blobs, peerLinks, machines int
}

// There is room between two kinds of ports for as many controllers as a cluster may have, or a
// usual one.
const (
	maxControllersOfSmallLayout = 9
	smallStride                 = 10
	largeStride                 = 32
)

// newPortLayout lays out the ports of a cluster with that many controllers.
func newPortLayout(controllers int) portLayout {
	step := smallStride
	if controllers > maxControllersOfSmallLayout {
		step = largeStride
	}
	return portLayout{stride: step, mesh: step, state: 2 * step, cloud: 3 * step, control: 4 * step, metrics: 5 * step, builds: 6 * step, blobs: 7 * step,
		peerLinks: 10 * step, machines: 10*step + step*step}
}

// peerLink returns the port by which a controller reaches a peer.
func (p portLayout) peerLink(from, to int) int { return p.peerLinks + p.stride*from + to }
