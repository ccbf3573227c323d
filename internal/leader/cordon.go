package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
)

// A machine on which different jobs fail is cordoned: nothing new is placed there, and it is released once it is empty.
// It stays as long as anything else runs there, such as a replica, so each cordon has an end: it lapses cordonDuration
// after the latest failure, and earlier once too few of the failures still count against the machine. A failure no
// longer counts after a task was done on the machine, after failureRetention, once its job was cancelled, and while its
// job fails on other machines too without any success. After a cordon has lapsed the machine is on trial: it gets one
// task at a time for trialDuration, and any work after that. The next failure that counts renews the cordon.
const (
	// cordonAfterJobs is how many different jobs must fail on a machine before it is cordoned: with a single
	// one, the job itself may be at fault.
	cordonAfterJobs = 2
	// cordonDuration leaves a job that waits for a cordoned machine enough time to start there within the 90 s for
	// which users accept that a job waits beside free capacity.
	cordonDuration = 30 * time.Second
	// trialDuration is about the time in which a task starts and fails on a faulty machine.
	trialDuration = 15 * time.Second
	// failureRetention is for how long a failure counts against its machine or its job.
	failureRetention = 10 * time.Minute
	// minMachinesToBlameJob is on how many machines a job must fail, however small the fleet, before its failures
	// count against no machine.
	minMachinesToBlameJob = 2
)

// reviewCordon cordons a machine if the failures on it call for that, and otherwise ends its cordon.
func (l *Leader) reviewCordon(now time.Time, m *fleet.Machine) {
	jobs, latest := l.failuresOf(now, m)
	cordon := jobs >= cordonAfterJobs && now.Sub(latest) < cordonDuration
	if cordon == m.Cordoned {
		return
	}
	m.Cordoned = cordon
	if cordon {
		l.log.Warn("machine cordoned", "machine", m.ID, "reason", "different jobs fail on it")
		return
	}
	l.log.Info("machine uncordoned", "machine", m.ID, "failed_jobs", jobs)
	l.Wake()
}

// limitTrial restricts the free resources of a machine that is on trial to those of one task at a time.
func (l *Leader) limitTrial(now time.Time, m *fleet.Machine, free scheduler.Resources) scheduler.Resources {
	jobs, latest := l.failuresOf(now, m)
	trialStart := latest.Add(cordonDuration)
	if jobs < cordonAfterJobs || now.Sub(trialStart) >= trialDuration {
		return free
	}
	for _, p := range m.Placements() {
		if p.Active() && !p.PlacedAt.Before(trialStart) {
			return free.WithTaskLimit(0)
		}
	}
	return free.WithTaskLimit(1)
}

// failuresOf returns how many jobs have failures that count against a machine, and when the latest of them was.
func (l *Leader) failuresOf(now time.Time, m *fleet.Machine) (jobs int, latest time.Time) {
	for job, failedAt := range m.JobFailures {
		if now.Sub(failedAt) >= failureRetention {
			delete(m.JobFailures, job)
			continue
		}
		if l.failsEverywhere(now, job) {
			continue
		}
		jobs++
		if failedAt.After(latest) {
			latest = failedAt
		}
	}
	return jobs, latest
}

// failsEverywhere reports whether a job has failed on so many machines without any success that the job itself is
// likely at fault. In a small fleet these are all machines.
func (l *Leader) failsEverywhere(now time.Time, job string) bool {
	j := l.jobStates[job]
	if j == nil {
		return false
	}
	failed := j.failuresSinceSuccess(now)
	return failed >= delayAfterMachines || failed >= minMachinesToBlameJob && !l.moreMachinesUp(failed)
}

// moreMachinesUp reports whether more than n machines are up and not being released.
func (l *Leader) moreMachinesUp(n int) bool {
	up := 0
	for _, m := range l.fleet.Machines() {
		if m.Up && !m.Releasing {
			up++
		}
		if up > n {
			return true
		}
	}
	return false
}

// discardFailures drops the failures of a job that was cancelled from all machines. Users cancel jobs that they have
// submitted with a mistake, and such jobs fail on every machine.
func (l *Leader) discardFailures(job string) {
	for _, m := range l.fleet.Machines() {
		delete(m.JobFailures, job)
	}
}
