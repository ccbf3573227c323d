// Package stall detects that a leader launches nothing although jobs wait and there is capacity for them. Such a leader
// looks healthy from outside: it holds its lease, answers heartbeats and decides rounds. The leader tells the detector
// the outcome of each round and its cause. A stall is reported only after it has lasted for some time, so that a single
// refused round raises no alarm.
package stall

import "time"

// Cause is the reason why a leader launches nothing. Its text is shown to operators and written to logs.
type Cause string

// The causes of a stall.
const (
	CausePlan       Cause = "the plan starts nothing"
	CauseLedger     Cause = "no launch fits into the ledger"
	CauseConditions Cause = "a round may have no more conditions"
	CauseScaleOut   Cause = "no rental fits into the ledger"
	CauseMachines   Cause = "machines name too many tasks"
	CauseTooLarge   Cause = "rounds are too large to be written"
	CauseRefused    Cause = "the state service refuses rounds"
	CauseUnanswered Cause = "the state service does not answer"
)

// Stall is a period in which a leader could launch a task but does not.
type Stall struct {
	Since time.Time
	Cause Cause
	Job   string // a job that could be launched; empty if the cause does not concern a single job
}

const (
	// reportAfter is how long a stall lasts before it is reported, and the interval between log messages about it. In a
	// busy fleet it is normal that nothing is launched for some seconds.
	reportAfter = 30 * time.Second
	// checkAfter is how long nothing must have been launched before the leader checks whether anything could be. The
	// check costs the scheduler a search, so it is not made in every round.
	checkAfter = 15 * time.Second
	// forgetAfter is how long there must have been nothing to launch, or no capacity, before an earlier stall is over. In
	// a stall, unused machines are released and others requested; the gap in capacity while they boot is shorter.
	forgetAfter = 2 * time.Minute
)

// Detector detects stalls. Any launch ends a stall, and so does a long period without work or without capacity for it.
// It is not safe for concurrent use.
type Detector struct {
	lastProgress time.Time // when something was last launched, or nothing could be launched
	stalledSince time.Time // when Blocked was first called in this stall; zero without a stall
	lastBlocked  time.Time // when Blocked was last called
	cause        Cause
	job          string
	loggedAt     time.Time
}

// NewDetector returns a detector for a leader that starts now.
func NewDetector(now time.Time) Detector { return Detector{lastProgress: now} }

// CheckDue reports whether it is time to check whether anything could be launched.
func (d *Detector) CheckDue(now time.Time) bool { return now.Sub(d.lastProgress) >= checkAfter }

// Launched records that something was launched.
func (d *Detector) Launched(now time.Time) { *d = Detector{lastProgress: now} }

// Idle records that nothing could be launched.
func (d *Detector) Idle(now time.Time) {
	if d.stalledSince.IsZero() || now.Sub(d.lastBlocked) >= forgetAfter {
		d.Launched(now)
	}
}

// Blocked records that nothing was launched although a job could have been. If it is called several times with the same
// time, the first cause is kept.
func (d *Detector) Blocked(now time.Time, cause Cause, job string) {
	if now.Equal(d.lastBlocked) {
		return
	}
	if d.stalledSince.IsZero() {
		d.stalledSince = now
	}
	d.lastBlocked, d.cause, d.job = now, cause, job
}

// Current returns the stall that the leader is in, if it has lasted long enough to be reported.
func (d *Detector) Current(now time.Time) (Stall, bool) {
	if d.stalledSince.IsZero() || now.Sub(d.lastBlocked) >= forgetAfter {
		return Stall{}, false
	}
	if d.lastBlocked.Sub(d.stalledSince) < reportAfter {
		return Stall{}, false
	}
	return Stall{Since: d.stalledSince, Cause: d.cause, Job: d.job}, true
}

// ToLog returns the current stall if it should be logged now. A stall is logged again every reportAfter for as long as
// it lasts.
func (d *Detector) ToLog(now time.Time) (Stall, bool) {
	s, stalled := d.Current(now)
	if !stalled || now.Sub(d.loggedAt) < reportAfter {
		return Stall{}, false
	}
	d.loggedAt = now
	return s, true
}
