package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/config"
)

// timeouts are ages of a machine's last heartbeat, derived from the heartbeat interval: a quarter
// of it as tolerance, and a second or more for the network.
type timeouts struct {
	launchWithin          time.Duration // up to it, tasks are launched on the machine
	directLaunchWithin    time.Duration // up to it, launches are sent by direct calls
	suspectAfter          time.Duration // from it on, the machine is probed by a direct call
	unreachableAfter      time.Duration // from it on, the machine counts as unreachable
	missingHeartbeatAfter time.Duration // for which a machine that answers calls may send no heartbeat
}

func timeoutsOf(c *config.Config) timeouts {
	late := c.Workers.HeartbeatInterval * 5 / 4
	return timeouts{launchWithin: late + 2250*time.Millisecond, directLaunchWithin: late + 1250*time.Millisecond,
		suspectAfter: c.Workers.HeartbeatInterval * 7 / 5, unreachableAfter: c.HeartbeatTimeout(),
		missingHeartbeatAfter: late + 5*time.Second} // a heartbeat may be lost, which takes 4 s to notice, and be sent again
}

// maxAnswerTime bounds how long after the last confirmed renewal of its lease a leader answers at all.
// Peers may end the lease at any time after that renewal, so that a new leader may follow at once.
func maxAnswerTime(c *config.Config) time.Duration {
	return max(c.Workers.MaxCancelStaleness(), c.Tuning.Lease)
}
