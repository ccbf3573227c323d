package leader

import "time"

// StallCause says why a holder starts nothing although there is work and room for it.
type StallCause string

// The causes of a stall.
const (
	StallPlan       StallCause = "the plan starts nothing"
	StallLedger     StallCause = "no launch fits into the ledger"
	StallConditions StallCause = "a round may have no more conditions"
	StallScaleOut   StallCause = "no rental fits into the ledger"
	StallMachines   StallCause = "machines name too many tasks"
	StallTooLarge   StallCause = "rounds are too large to be written"
	StallRefused    StallCause = "the state service refuses rounds"
	StallUnanswered StallCause = "the state service does not answer"
)

// Stall is a time in which a holder with work and room starts nothing.
type Stall struct {
	Since time.Time
	Cause StallCause
	Job   string // one that could start
}

const (
	// stallAfter is how long nothing starts before that is a stall.
	stallAfter = 30 * time.Second
	// stallCheckAfter is how long nothing has started before it is asked whether anything could.
	stallCheckAfter = 15 * time.Second
	// stallForgetAfter is how long nothing could start before an earlier stall is over. Machines that
	// nothing is started on are returned and rented again, which takes less.
	stallForgetAfter = 2 * time.Minute
)

// stallDetector notices stalls. It is pure. Any start ends what it has noticed, and so does a long
// time without work, or without room for it.
type stallDetector struct {
	lastProgress time.Time // when something started last, or nothing could
	stalledSince time.Time // when something could start first and did not; zero while all is well
	lastBlocked  time.Time // and when it could last
	cause        StallCause
	job          string
	loggedAt     time.Time
}

// checkDue reports whether it is time to find out whether anything could start.
func (s *stallDetector) checkDue(now time.Time) bool {
	return now.Sub(s.lastProgress) >= stallCheckAfter
}

// started takes in that something has started.
func (s *stallDetector) started(now time.Time) { *s = stallDetector{lastProgress: now} }

// idle takes in that nothing could start.
func (s *stallDetector) idle(now time.Time) {
	if s.stalledSince.IsZero() || now.Sub(s.lastBlocked) >= stallForgetAfter {
		s.started(now)
	}
}

// blocked takes in that nothing was started although a job could have been. Of several causes in
// one decision the first counts.
func (s *stallDetector) blocked(now time.Time, cause StallCause, job string) {
	if now.Equal(s.lastBlocked) {
		return
	}
	if s.stalledSince.IsZero() {
		s.stalledSince = now
	}
	s.lastBlocked, s.cause, s.job = now, cause, job
}

// stall gives what there is to tell of now.
func (s *stallDetector) stall(now time.Time) (Stall, bool) {
	if s.stalledSince.IsZero() || s.lastBlocked.Sub(s.stalledSince) < stallAfter || now.Sub(s.lastBlocked) >= stallForgetAfter {
		return Stall{}, false
	}
	return Stall{Since: s.stalledSince, Cause: s.cause, Job: s.job}, true
}

// toLog gives a stall that is to be logged: each is again after as long as it took to be one.
func (s *stallDetector) toLog(now time.Time) (Stall, bool) {
	stall, is := s.stall(now)
	if !is || now.Sub(s.loggedAt) < stallAfter {
		return Stall{}, false
	}
	s.loggedAt = now
	return stall, true
}

// Stall gives the stall that the holder is in, if it is in one.
func (h *Leader) Stall(now time.Time) (Stall, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stalls.stall(now)
}

// logStall logs a stall.
func (h *Leader) logStall(now time.Time) {
	if s, is := h.stalls.toLog(now); is {
		h.log.Warn("nothing starts although there is work and room", "for", now.Sub(s.Since).Round(time.Second), "cause", s.Cause, "job", s.Job)
	}
}

// roundUnwritten takes in that a round with launches was refused, or got no answer.
func (h *Leader) roundUnwritten(now time.Time, d *Draft, cause StallCause) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(d.launches) > 0 {
		h.stalls.blocked(now, cause, d.launches[0].Task.Job)
	}
	h.logStall(now)
}
