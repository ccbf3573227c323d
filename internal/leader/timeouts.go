package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/config"
)

// timeouts holds what the holder waits for, as it follows from how often workers
// report: give or take a quarter of that, and a second or more for the way.
type timeouts struct {
	launchWithin          time.Duration // age of a report up to which a machine is launched on
	directLaunchWithin    time.Duration // and up to which the launch goes straight to it
	suspectAfter          time.Duration // age from which on a machine is asked by a direct call
	unreachableAfter      time.Duration // age from which on a machine is given up
	missingHeartbeatAfter time.Duration // for which one that answers calls may send no report
}

func timeoutsOf(c *config.Config) timeouts {
	late := c.Workers.HeartbeatInterval * 5 / 4
	return timeouts{launchWithin: late + 2250*time.Millisecond, directLaunchWithin: late + 1250*time.Millisecond,
		suspectAfter: c.Workers.HeartbeatInterval * 7 / 5, unreachableAfter: c.HeartbeatTimeout(),
		missingHeartbeatAfter: late + 5*time.Second} // a report may be lost, which takes 4 s and another
}

// maxAnswerTime bounds how long after its last confirmed renewal a holder answers at all. Siblings
// may end its lease at any time after that renewal, so that a claim may follow at once.
func maxAnswerTime(c *config.Config) time.Duration {
	return max(c.Workers.MaxCancelStaleness(), c.Tuning.Lease)
}
