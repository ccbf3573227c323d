package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
)

// A job does not return at once to a machine on which it failed, and later only if it finds no other place. A job that
// fails on several machines is likely at fault itself: it may use any machine, but its next attempt is delayed. Each of
// these memories ends, or a job could wait beside free capacity for as long as the leader leads.
const (
	// failureDelay is how long a job strictly avoids a machine on which it failed.
	failureDelay = 30 * time.Second
	// delayAfterMachines is the number of machines on which a job must fail before its next attempt is delayed:
	// with fewer, the machines may be at fault.
	delayAfterMachines = 3
	// maxJobBackoff bounds the delay before the next attempt of a job that fails repeatedly: the job must not
	// wait long while there are machines on which it may succeed.
	maxJobBackoff = 45 * time.Second
	// maxJobBackoffShift bounds the number of doublings to prevent an overflow.
	maxJobBackoffShift = 7
)

// recordFailure records that the job failed on a machine. Each additional machine doubles the delay.
func (j *jobState) recordFailure(now time.Time, machine string) {
	j.failures[machine] = now
	if n := j.failuresSinceSuccess(now); n >= delayAfterMachines {
		j.notBefore = now.Add(min(maxJobBackoff, time.Second<<min(n, maxJobBackoffShift)))
	}
}

// failuresSinceSuccess returns on how many machines the job has failed lately, since one of its tasks was last done.
func (j *jobState) failuresSinceSuccess(now time.Time) (machines int) {
	for machine, failedAt := range j.failures {
		if now.Sub(failedAt) >= failureRetention {
			delete(j.failures, machine)
			continue
		}
		if failedAt.After(j.lastSuccess) {
			machines++
		}
	}
	return machines
}

// avoidances returns the machines that the job avoids: none if it fails everywhere.
func (j *jobState) avoidances(now time.Time) scheduler.Avoidances {
	if len(j.failures) == 0 || j.failuresSinceSuccess(now) >= delayAfterMachines {
		return nil
	}
	out := make(scheduler.Avoidances, len(j.failures))
	for machine, failedAt := range j.failures {
		out[machine] = scheduler.AvoidIfPossible
		if now.Sub(failedAt) < failureDelay {
			out[machine] = scheduler.AvoidStrictly
		}
	}
	return out
}
