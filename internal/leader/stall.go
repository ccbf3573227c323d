package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/stall"
)

// Stall returns the stall that the leader is in, if it is in one.
func (h *Leader) Stall(now time.Time) (stall.Stall, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stalls.Current(now)
}

// logStall logs a stall.
func (h *Leader) logStall(now time.Time) {
	if s, stalled := h.stalls.ToLog(now); stalled {
		h.log.Warn("nothing is launched although jobs wait and capacity is free", "duration", now.Sub(s.Since).Round(time.Second), "cause", s.Cause, "job", s.Job)
	}
}

// roundUnwritten records that a round with launches was refused, or got no answer.
func (h *Leader) roundUnwritten(now time.Time, d *Draft, cause stall.Cause) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(d.launches) > 0 {
		h.stalls.Blocked(now, cause, d.launches[0].Task.Job)
	}
	h.logStall(now)
}
