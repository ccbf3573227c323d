package controller

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/forward"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/writers"
)

// writersGap is the time between two choices of who writes.
const writersGap = 250 * time.Millisecond

// chosen is who writes, as last chosen.
type chosen struct {
	names []string
	older bool // a sibling that is alive does not take what is forwarded: nobody forwards yet
	at    time.Time
}

// forwardWrites sets up how submissions and cancellations reach those who write them.
func (c *Controller) forwardWrites() {
	server := &forward.Server{Admission: c.admission, Log: c.log}
	c.mesh.Streams[forward.Kind] = server.Serve
	c.forward = &forward.Client{Open: c.mesh.Open, Writer: c.writerOf, Log: c.log}
	if policy := c.cfg.Writers(); policy.Forwards() {
		c.admission.Forward = c.forward
		c.admission.Intake.MaxQueue *= max(1, policy.Controllers/policy.Most/2) // a writer's users are those of several
	}
}

// writers gives the controllers that write for all, none where each writes by itself or where too
// few are heard here.
func (c *Controller) writers(now time.Time) chosen {
	policy := c.cfg.Writers()
	if !policy.Forwards() {
		return chosen{}
	}
	c.mu.Lock()
	last := c.chosen
	alive := c.members.Alive(now)
	c.mu.Unlock()
	if !last.at.IsZero() && now.Sub(last.at) < writersGap {
		return last
	}
	beats := c.mesh.Last(3 * peer.Every)
	next := chosen{at: now, older: slices.ContainsFunc(alive, func(name string) bool { return !beats[name].Writes })}
	if !c.apart(2 * time.Second) {
		alive = append(alive, c.cfg.Name)
	}
	if !next.older {
		next.names = policy.Choose(alive, c.holds)
	}
	c.mu.Lock()
	c.chosen = next
	c.mu.Unlock()
	if last.names == nil && next.names != nil && !slices.Contains(next.names, c.cfg.Name) {
		c.admission.Intake.Reroute() // its share of the changes is about to fall
	}
	return next
}

// writerOf names the sibling that writes a job, none where this controller does.
func (c *Controller) writerOf(job string, avoid func(name string) bool) string {
	name := writers.For(c.writers(time.Now()).names, job, avoid)
	if name == c.cfg.Name {
		return ""
	}
	return name
}
