package simulator

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// CloudFaults are the faults that can be injected into a Cloud.
type CloudFaults struct {
	Unavailable          bool          // every request is answered 503
	BootFactor           float64       // multiple of the boot time; 0 stands for 1
	NeverBootShare       float64       // share of machines that never finish booting
	MissingCapacityShare float64       // share of the capacity that is not available
	RentDelay            time.Duration // machines are rented after this delay, and the request is not answered
}

// SetFaults changes the injected faults.
func (c *Cloud) SetFaults(change func(*CloudFaults)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.Faults)
}

// crashedListingTime is how long a crashed machine is still listed as running.
const crashedListingTime = 30 * time.Second

// Crash terminates a machine without deleting it. It remains listed, as failed after
// crashedListingTime.
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

// Preempt reclaims a spot machine after the given notice, or at once if notice is 0.
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

// RemoveNth deletes the n-th running machine without notice; n wraps around.
func (c *Cloud) RemoveNth(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if up := c.running(); len(up) > 0 {
		c.remove(up[n%len(up)].ID)
	}
}
