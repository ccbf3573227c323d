package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/stall"
)

// Stall returns the current stall of the leader, if there is one.
func (l *Leader) Stall(now time.Time) (stall.Stall, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalls.Current(now)
}

// logStall logs the current stall when a log line is due.
func (l *Leader) logStall(now time.Time) {
	if s, stalled := l.stalls.ToLog(now); stalled {
		l.log.Warn("nothing is launched although jobs wait and capacity is free", "duration", now.Sub(s.Since).Round(time.Second), "cause", s.Cause, "job", s.Job)
	}
}

// recordUnwrittenRound records that the state service has refused or not answered a round. Only one with launches counts as
// blocked.
func (l *Leader) recordUnwrittenRound(now time.Time, d *Draft, cause stall.Cause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(d.launches) > 0 {
		l.stalls.Blocked(now, cause, d.launches[0].Task.Job)
	}
	l.logStall(now)
}
