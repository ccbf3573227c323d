package controller

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/forward"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/writers"
)

// writerChoiceInterval is the time between two choices of who writes.
const writerChoiceInterval = 250 * time.Millisecond

// writerChoice is who writes, as last chosen.
type writerChoice struct {
	names     []string
	olderPeer bool // a sibling that is alive does not take what is forwarded: nobody forwards yet
	at        time.Time
}

// setUpForwarding sets up how submissions and cancellations reach those who write them.
func (c *Controller) setUpForwarding() {
	server := &forward.Server{Admission: c.admission, Log: c.log}
	c.peers.Handlers[forward.StreamKind] = server.Serve
	c.forwarder = &forward.Client{OpenStream: c.peers.OpenStream, Writer: c.writerOf, Log: c.log}
	if policy := c.cfg.Writers(); policy.Forwards() {
		c.admission.Forwarder = c.forwarder
		c.admission.Intake.MaxQueue *= max(1, policy.Controllers/policy.MaxWriters/2) // a writer's users are those of several
	}
}

// writers gives the controllers that write for all, none where each writes by itself or where too
// few are heard here.
func (c *Controller) writers(now time.Time) writerChoice {
	policy := c.cfg.Writers()
	if !policy.Forwards() {
		return writerChoice{}
	}
	c.mu.Lock()
	last := c.writerChoice
	alive := c.detector.Alive(now)
	c.mu.Unlock()
	if !last.at.IsZero() && now.Sub(last.at) < writerChoiceInterval {
		return last
	}
	beats := c.peers.Latest(3 * peer.Interval)
	next := writerChoice{at: now, olderPeer: slices.ContainsFunc(alive, func(name string) bool { return !beats[name].Writes })}
	if !c.storePartitioned(2 * time.Second) {
		alive = append(alive, c.cfg.Name)
	}
	if !next.olderPeer {
		next.names = policy.Choose(alive, c.leads)
	}
	c.mu.Lock()
	c.writerChoice = next
	c.mu.Unlock()
	if last.names == nil && next.names != nil && !slices.Contains(next.names, c.cfg.Name) {
		c.admission.Intake.Reroute() // its share of the changes is about to fall
	}
	return next
}

// writerOf names the sibling that writes a job, none where this controller does.
func (c *Controller) writerOf(job string, avoid func(name string) bool) string {
	name := writers.WriterOf(c.writers(time.Now()).names, job, avoid)
	if name == c.cfg.Name {
		return ""
	}
	return name
}
