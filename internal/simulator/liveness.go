package simulator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// By the users' rules a job is forgotten if every poll of it remains unanswered for
// unansweredLimit while most others are answered; and, once no fault is active, if none is
// answered for faultFreeUnansweredLimit, whatever others get.
const (
	unansweredLimit          = 90 * time.Second
	faultFreeUnansweredLimit = 75 * time.Second
)

// LivenessChecker checks by the users' rules that accepted jobs remain known. It does no I/O:
// times, answers and the end of all faults are passed in.
type LivenessChecker struct {
	// MaxPending bounds how long a job may be reported as pending once no fault is active: a job that
	// never starts is as good as forgotten. 0 stands for no bound.
	MaxPending time.Duration

	mu             sync.Mutex
	jobs           map[string]*trackedJob
	recentPolls    []pollCounts // of all users, for as long as the first rule needs them
	faultFreeSince time.Time
	violations     []string
}

// trackedJob is a job that was accepted and not cancelled.
type trackedJob struct {
	lastAnswered time.Time   // or accepted
	failedPolls  []time.Time // since then, as far back as the first rule needs them
	pendingSince time.Time   // since when it is reported as pending; zero while it is not
	reported     bool
}

// pollCounts counts the polls of one second.
type pollCounts struct {
	at              time.Time
	polls, answered int
}

// SetQuietSince sets since when no fault is active; a zero time means that there are faults.
func (f *LivenessChecker) SetQuietSince(since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultFreeSince = since
}

// Accepted is called when a user was told that a job is accepted.
func (f *LivenessChecker) Accepted(now time.Time, job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs == nil {
		f.jobs = make(map[string]*trackedJob)
	}
	if f.jobs[job] == nil {
		f.jobs[job] = &trackedJob{lastAnswered: now, pendingSince: now}
	}
}

// Cancelled is called when a job's user no longer follows it.
func (f *LivenessChecker) Cancelled(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.jobs, job)
}

// ObserveAnswer handles any answer to a user. cancels is true if the user has asked to cancel the
// job, poll that the request was a poll.
func (f *LivenessChecker) ObserveAnswer(now time.Time, job string, status int, stage wire.Stage, cancels, poll bool) {
	switch {
	case cancels || stage == wire.Cancelled:
		f.Cancelled(job)
	case poll:
		f.ObservePoll(now, job, status, stage)
	case status == 200 || status == 201:
		f.Accepted(now, job)
	}
}

// ObservePoll handles the answer to a poll, with status 0 if none came in time.
func (f *LivenessChecker) ObservePoll(now time.Time, job string, status int, stage wire.Stage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.jobs[job]
	if k == nil {
		return
	}
	answered := status == 200 || status == 404
	f.countPoll(now, answered)
	if status == 404 {
		f.recordViolation(k, "%s was accepted and is answered 404", job)
	}
	if !answered {
		k.failedPolls = append(k.failedPolls, now)
		f.checkUnanswered(now, job, k)
		return
	}
	k.lastAnswered, k.failedPolls = now, nil
	switch {
	case stage != wire.Pending:
		k.pendingSince = time.Time{}
	case k.pendingSince.IsZero():
		k.pendingSince = now
	}
	if since := latest(k.pendingSince, f.faultFreeSince); f.MaxPending > 0 && !f.faultFreeSince.IsZero() && !k.pendingSince.IsZero() && now.Sub(since) > f.MaxPending {
		f.recordViolation(k, "%s is called pending for %v and runs nowhere", job, now.Sub(since))
	}
}

// countPoll adds a poll to the recent ones and drops those that no rule needs.
func (f *LivenessChecker) countPoll(now time.Time, answered bool) {
	if n := len(f.recentPolls); n == 0 || now.Sub(f.recentPolls[n-1].at) >= time.Second {
		f.recentPolls = append(f.recentPolls, pollCounts{at: now})
	}
	s := &f.recentPolls[len(f.recentPolls)-1]
	if s.polls++; answered {
		s.answered++
	}
	f.recentPolls = slices.DeleteFunc(f.recentPolls, func(s pollCounts) bool { return now.Sub(s.at) > unansweredLimit })
}

// checkUnanswered applies both rules to a job after an unanswered poll.
func (f *LivenessChecker) checkUnanswered(now time.Time, job string, k *trackedJob) {
	if quiet := now.Sub(latest(k.lastAnswered, f.faultFreeSince)); !f.faultFreeSince.IsZero() && quiet >= faultFreeUnansweredLimit {
		f.recordViolation(k, "no question about %s is answered for %v, and all troubles are over", job, quiet)
	}
	if now.Sub(k.lastAnswered) < unansweredLimit {
		return
	}
	k.failedPolls = slices.DeleteFunc(k.failedPolls, func(at time.Time) bool { return now.Sub(at) > unansweredLimit })
	others, answered := -len(k.failedPolls), 0
	for _, s := range f.recentPolls {
		others, answered = others+s.polls, answered+s.answered
	}
	if answered*2 > others {
		f.recordViolation(k, "no question about %s is answered for %v, %d of %d about others are", job, now.Sub(k.lastAnswered), answered, others)
	}
}

// recordViolation records a violation, one for each job.
func (f *LivenessChecker) recordViolation(k *trackedJob, format string, args ...any) {
	if !k.reported {
		f.violations = append(f.violations, "forgotten: "+fmt.Sprintf(format, args...))
	}
	k.reported = true
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Violations lists the forgotten jobs.
func (f *LivenessChecker) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}
