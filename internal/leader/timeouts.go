package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/config"
)

// timeouts are limits on the age of a machine's last heartbeat. Most are the heartbeat interval plus a quarter of it as
// tolerance, and a second or more for the network.
type timeouts struct {
	launchWithin          time.Duration // maximum age at which tasks are launched on the machine
	directLaunchWithin    time.Duration // maximum age at which launches are sent by direct calls
	suspectAfter          time.Duration // age from which the machine is probed by a direct call
	unreachableAfter      time.Duration // age from which the machine counts as unreachable
	missingHeartbeatAfter time.Duration // how long a machine that answers calls may send no heartbeat
}

// newTimeouts derives the timeouts from the configuration.
func newTimeouts(c *config.Config) timeouts {
	late := c.Workers.HeartbeatInterval * 5 / 4
	return timeouts{launchWithin: late + 2250*time.Millisecond, directLaunchWithin: late + 1250*time.Millisecond,
		suspectAfter: c.Workers.HeartbeatInterval * 7 / 5, unreachableAfter: c.HeartbeatTimeout(),
		missingHeartbeatAfter: late + 5*time.Second} // a lost heartbeat is noticed after 4 s and sent again
}

// maxAnswerTime bounds how long after the last confirmed renewal of its lease a leader answers any request. Peers may
// revoke the lease at any time after that renewal, so a new leader may be elected right away.
func maxAnswerTime(c *config.Config) time.Duration {
	return max(c.Workers.MaxCancelStaleness(), c.Tuning.Lease)
}
