package simulator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// The users' rules call a job forgotten in two cases: every poll of it remains unanswered for
// unansweredLimit while most polls of other jobs are answered; or, while no fault is active, no poll of
// it is answered for faultFreeUnansweredLimit, regardless of other jobs.
const (
	unansweredLimit          = 90 * time.Second
	faultFreeUnansweredLimit = 75 * time.Second
)

// LivenessChecker checks the users' rules that accepted jobs must not be forgotten. It does no I/O:
// times, answers and the end of all faults are passed in.
type LivenessChecker struct {
	// MaxPending bounds how long a job may be reported as pending while no fault is active: a job that
	// never starts is of no more use than a forgotten one. 0 means no bound.
	MaxPending time.Duration

	mu             sync.Mutex
	jobs           map[string]*trackedJob
	recentPolls    []pollCounts // polls of all users within unansweredLimit
	faultFreeSince time.Time
	violations     []string
}

// trackedJob is the state of a job that was accepted and not cancelled.
type trackedJob struct {
	lastAnswered time.Time   // when a poll was last answered, or the job accepted
	failedPolls  []time.Time // unanswered polls since then, within unansweredLimit
	pendingSince time.Time   // since when the job is reported as pending; zero while it is not
	reported     bool
}

// pollCounts counts the polls of all jobs within one second.
type pollCounts struct {
	at              time.Time
	polls, answered int
}

// SetFaultFreeSince sets since when no fault has been active. The zero time means that a fault is active.
func (c *LivenessChecker) SetFaultFreeSince(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultFreeSince = since
}

// Accepted is called when a user was told that a job is accepted.
func (c *LivenessChecker) Accepted(now time.Time, job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs == nil {
		c.jobs = make(map[string]*trackedJob)
	}
	if c.jobs[job] == nil {
		c.jobs[job] = &trackedJob{lastAnswered: now, pendingSince: now}
	}
}

// Cancelled is called when a user has cancelled a job and no longer polls it.
func (c *LivenessChecker) Cancelled(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, job)
}

// ObserveAnswer handles an answer to any request of a user. cancelRequested is true if the user has asked
// to cancel the job, isPoll if the request was a poll.
func (c *LivenessChecker) ObserveAnswer(now time.Time, job string, status int, stage wire.Stage, cancelRequested, isPoll bool) {
	switch {
	case cancelRequested || stage == wire.Cancelled:
		c.Cancelled(job)
	case isPoll:
		c.ObservePoll(now, job, status, stage)
	case status == 200 || status == 201:
		c.Accepted(now, job)
	}
}

// ObservePoll handles the answer to a poll. Status 0 means that there was none in time.
func (c *LivenessChecker) ObservePoll(now time.Time, job string, status int, stage wire.Stage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.jobs[job]
	if tracked == nil {
		return
	}
	answered := status == 200 || status == 404
	c.countPoll(now, answered)
	if status == 404 {
		c.recordViolation(tracked, "%s was accepted and is answered 404", job)
	}
	if !answered {
		tracked.failedPolls = append(tracked.failedPolls, now)
		c.checkUnanswered(now, job, tracked)
		return
	}
	tracked.lastAnswered, tracked.failedPolls = now, nil
	switch {
	case stage != wire.Pending:
		tracked.pendingSince = time.Time{}
	case tracked.pendingSince.IsZero():
		tracked.pendingSince = now
	}
	if since := latest(tracked.pendingSince, c.faultFreeSince); c.MaxPending > 0 && !c.faultFreeSince.IsZero() && !tracked.pendingSince.IsZero() && now.Sub(since) > c.MaxPending {
		c.recordViolation(tracked, "%s is called pending for %v and runs nowhere", job, now.Sub(since))
	}
}

// countPoll adds a poll to the recent ones and drops those older than unansweredLimit.
func (c *LivenessChecker) countPoll(now time.Time, answered bool) {
	if n := len(c.recentPolls); n == 0 || now.Sub(c.recentPolls[n-1].at) >= time.Second {
		c.recentPolls = append(c.recentPolls, pollCounts{at: now})
	}
	second := &c.recentPolls[len(c.recentPolls)-1]
	if second.polls++; answered {
		second.answered++
	}
	c.recentPolls = slices.DeleteFunc(c.recentPolls, func(second pollCounts) bool { return now.Sub(second.at) > unansweredLimit })
}

// checkUnanswered applies both rules to a job that has just had an unanswered poll.
func (c *LivenessChecker) checkUnanswered(now time.Time, job string, tracked *trackedJob) {
	if unanswered := now.Sub(latest(tracked.lastAnswered, c.faultFreeSince)); !c.faultFreeSince.IsZero() && unanswered >= faultFreeUnansweredLimit {
		c.recordViolation(tracked, "no question about %s is answered for %v, and all troubles are over", job, unanswered)
	}
	if now.Sub(tracked.lastAnswered) < unansweredLimit {
		return
	}
	tracked.failedPolls = slices.DeleteFunc(tracked.failedPolls, func(at time.Time) bool { return now.Sub(at) > unansweredLimit })
	others, othersAnswered := -len(tracked.failedPolls), 0
	for _, second := range c.recentPolls {
		others, othersAnswered = others+second.polls, othersAnswered+second.answered
	}
	if othersAnswered*2 > others {
		c.recordViolation(tracked, "no question about %s is answered for %v, %d of %d about others are", job, now.Sub(tracked.lastAnswered), othersAnswered, others)
	}
}

// recordViolation records a violation unless one was already recorded for the job.
func (c *LivenessChecker) recordViolation(tracked *trackedJob, format string, args ...any) {
	if !tracked.reported {
		c.violations = append(c.violations, "forgotten: "+fmt.Sprintf(format, args...))
	}
	tracked.reported = true
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Violations lists the forgotten jobs.
func (c *LivenessChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}
