package simulator

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// CloudFaults are the faults of a cloud.
type CloudFaults struct {
	Unavailable          bool          // every call is answered 503
	BootFactor           float64       // multiple of the boot time; 0 stands for 1
	NeverBootShare       float64       // share of machines that never come up
	MissingCapacityShare float64       // share of the capacity that is not available
	RentDelay            time.Duration // machines are rented this much later, without an answer
}

// SetFaults changes the injected faults.
func (c *Cloud) SetFaults(change func(*CloudFaults)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.Faults)
}

// crashedListingTime is how long a crashed machine is still listed as running.
const crashedListingTime = 30 * time.Second

// Crash ends a machine on its own; it remains listed.
func (c *Cloud) Crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	if m == nil || m.worker == nil || !m.deletedAt.IsZero() || !m.crashedAt.IsZero() {
		return
	}
	m.crashedAt = time.Now()
	m.worker.Kill()
	time.AfterFunc(crashedListingTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.Stage = wire.MachineFailed
	})
}

// Preempt takes a spot machine back, after a notice or at once.
func (c *Cloud) Preempt(id string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	if m == nil {
		return
	}
	if w, ok := m.worker.(NoticeReceiver); ok && notice > 0 {
		w.Notice(notice)
	}
	time.AfterFunc(notice, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.remove(id)
	})
}

// RemoveNth takes the n-th running machine back without a notice.
func (c *Cloud) RemoveNth(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.running(); len(w) > 0 {
		c.remove(w[n%len(w)].ID)
	}
}
