// Package stall notices that a leader launches nothing although jobs wait and there is capacity for
// them. Such a leader looks healthy from outside: it holds its lease, answers heartbeats and
// decides rounds. The detector is told what each round did and why, and reports a stall only
// after it has lasted, so that a single refused round is no alarm.
package stall

import "time"

// Cause says why a leader launches nothing. Its text is shown to operators and kept in logs.
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

// Stall is a period in which a leader could launch something and does not.
type Stall struct {
	Since time.Time
	Cause Cause
	Job   string // one that could be launched; empty if the cause concerns no single job
}

const (
	// reportAfter is how long a stall lasts before it is reported, and the time between two log
	// lines about it. A busy fleet may rightly go without launches for some seconds.
	reportAfter = 30 * time.Second
	// checkAfter is how long nothing has been launched before the detector asks whether anything
	// could be. The question costs the scheduler a search, so it is not put in every round.
	checkAfter = 15 * time.Second
	// forgetAfter is how long nothing could be launched before an earlier stall is over. Machines
	// on which nothing is launched are returned and others requested, which takes less.
	forgetAfter = 2 * time.Minute
)

// Detector notices stalls. Any launch ends a stall, and so does a long time without work or without
// capacity for it. It is not safe for concurrent use.
type Detector struct {
	lastProgress time.Time // when something was launched last, or nothing could be
	stalledSince time.Time // when something could be launched first and was not; zero without a stall
	lastBlocked  time.Time // when that was last so
	cause        Cause
	job          string
	loggedAt     time.Time
}

// NewDetector returns a detector of a leader that begins now.
func NewDetector(now time.Time) Detector { return Detector{lastProgress: now} }

// CheckDue reports whether it is time to find out whether anything could be launched.
func (d *Detector) CheckDue(now time.Time) bool { return now.Sub(d.lastProgress) >= checkAfter }

// Launched records that something was launched.
func (d *Detector) Launched(now time.Time) { *d = Detector{lastProgress: now} }

// Idle records that nothing could be launched.
func (d *Detector) Idle(now time.Time) {
	if d.stalledSince.IsZero() || now.Sub(d.lastBlocked) >= forgetAfter {
		d.Launched(now)
	}
}

// Blocked records that nothing was launched although a job could have been. Of several causes at
// the same time the first counts.
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

// ToLog returns the stall if it is to be logged now. Each is logged again at intervals for as long
// as it lasts.
func (d *Detector) ToLog(now time.Time) (Stall, bool) {
	s, stalled := d.Current(now)
	if !stalled || now.Sub(d.loggedAt) < reportAfter {
		return Stall{}, false
	}
	d.loggedAt = now
	return s, true
}
