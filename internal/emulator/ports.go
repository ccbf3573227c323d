package emulator

// portLayout holds the offsets of a cluster's ports from its first port. The first ports are those at which the
// controllers serve users and machines. Each controller has its own ports for the state service and the cloud, and one
// for each peer, so that a single controller can be cut off.
type portLayout struct {
	stride                                                                   int // distance between the first ports of two kinds
	mesh, state, cloud, control, metrics, builds, blobs, peerLinks, machines int
}

// Each kind has enough ports for MaxControllers controllers, or for a small cluster's if there are few.
const (
	maxControllersOfSmallLayout = 9
	smallStride                 = 10
	largeStride                 = 32
)

// newPortLayout returns the port layout of a cluster with a number of controllers.
func newPortLayout(controllers int) portLayout {
	step := smallStride
	if controllers > maxControllersOfSmallLayout {
		step = largeStride
	}
	return portLayout{stride: step, mesh: step, state: 2 * step, cloud: 3 * step, control: 4 * step, metrics: 5 * step, builds: 6 * step, blobs: 7 * step,
		peerLinks: 10 * step, machines: 10*step + step*step}
}

// peerLink returns the offset of the port by which a controller reaches a peer.
func (p portLayout) peerLink(from, to int) int { return p.peerLinks + p.stride*from + to }
