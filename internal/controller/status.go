package controller

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/metrics"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/zone"
)

// count gives a job's counts for display, from the holders wherever they are.
func (c *Controller) count(job string) (sum leader.Count) {
	if !c.group.Whole() {
		for _, s := range c.statuses() {
			n := s.Counts[job]
			sum.Running += n.Running
			sum.Done += n.Done
		}
		return sum
	}
	for _, h := range c.holding() {
		if n, ok := h.Counts(time.Now())[job]; ok {
			return n
		}
	}
	var best peer.Beat
	for _, b := range c.mesh.Last(6 * time.Second) {
		if b.Term > best.Term {
			best = b
		}
	}
	return best.Counts[job]
}

func (c *Controller) beat() peer.Beat {
	at, failing := c.follow.Reached()
	b := peer.Beat{From: c.cfg.Name, StoreOK: !failing && time.Since(at) < 15*time.Second, Heard: c.reception.Heard(), Passes: c.edge.Passes(), Format: store.Format,
		Groups: c.group.String(), Tiers: c.tiers, Writes: true, UpS: int(time.Since(c.begun).Seconds()), Begun: c.begun.UnixNano()}
	c.mu.Lock()
	c.beats++
	b.Number = c.beats
	b.Says = c.members.Says(time.Now())
	c.mu.Unlock()
	b.Sights = c.observations()
	if !c.group.Whole() {
		b.Ways, b.Parts = c.edge.Open(), make(map[string]leader.PartStatus)
	}
	for _, h := range c.holding() {
		b.Term = max(b.Term, h.Term())
		if c.group.Whole() {
			b.Counts = h.Counts(time.Now())
		} else {
			b.Parts[h.claim.Part] = h.Status(time.Now())
		}
	}
	return b
}

// sights gives what this controller sees of each zone by itself.
func (c *Controller) observations() map[string]zone.Observation {
	now := time.Now()
	out := c.reception.Observations(now, c.cfg.Workers.Report*7/5)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls.Count(now, out)
	return out
}

// tellObservations tells the holders here what siblings see of each zone.
func (c *Controller) tellObservations() {
	witnesses, beats := make(map[string]zone.Witness), c.mesh.Last(aliveAge)
	for _, sib := range c.cfg.Siblings {
		if b, heard := beats[sib.Name]; heard {
			witnesses[sib.Name] = zone.Witness{Zone: sib.Zone, Sights: b.Sights}
		}
	}
	for _, h := range c.holding() {
		h.SetWitnesses(witnesses)
	}
}

// ready says whether users are served here. A controller that alone can't
// reach the store steps aside. In an outage that all share it stays: users get
// the same answer everywhere, and a controller that was taken out is brought
// back late, the later the more often that happens.
func (c *Controller) ready() bool {
	if open, _ := c.format.Open(); !open && c.view.Loaded() {
		return false
	}
	return !c.apart(2 * time.Second)
}

// vain reports whether questions that the store must answer are not even worth a try. A store
// that is slow, or refuses a call now and then, is still of use.
func (c *Controller) vain() bool { return c.apart(5 * time.Second) }

// apart reports whether the store has been out of reach here for so long while others may reach
// it. Whoever hears less than most controllers can't know that all share its outage, and is rather
// cut off itself: as long as it called itself ready, its users stayed and asked in vain.
func (c *Controller) apart(quiet time.Duration) bool {
	at, failing := c.follow.Reached()
	if c.view.Loaded() && (!failing || time.Since(at) < quiet) {
		return false
	}
	beats := c.mesh.Last(3 * time.Second)
	for _, b := range beats {
		if b.StoreOK {
			return true
		}
	}
	if alone := (len(beats)+1)*2 <= len(c.cfg.Siblings)+1; alone {
		return true
	}
	return time.Since(c.begun) <= loadTime
}

// measure gathers what the metrics tell.
func (c *Controller) measure() metrics.Reading {
	r := metrics.Reading{Begun: c.begun, Loaded: c.follow.Loaded(), Calls: c.client.SpentBy(), Cache: c.history.Counts(),
		Broken: len(c.view.Broken()), Revision: c.view.Revision()}
	r.Live, r.Over, r.Homes, r.Recent = c.view.Size()
	r.OldestOver = c.view.OldestOver()
	passed := c.edge.Counts()
	r.Passed, r.Unpassed, r.Moved, r.Window = passed.Passed, passed.Lost, c.reception.Moved(), c.pace.Window()
	forwarded := c.forward.Counts()
	r.Forwarded, r.ForwardLost = forwarded.Forwarded, forwarded.Lost
	r.Heard, r.Edges = c.reception.Here(), len(c.hub.Edges(2*time.Second))
	for _, h := range c.holding() { // not under our lock: a holder that decides keeps its own for long
		r.Parts++
		r.Term = max(r.Term, h.Term())
		if s, stalled := h.Stall(time.Now()); stalled {
			r.Stalled = max(r.Stalled, time.Since(s.Since))
		}
		odd := h.Odd()
		r.Late, r.Impossible = r.Late+odd.Late, r.Impossible+odd.Impossible
		if r.Zones == nil {
			r.Zones = make(map[string]zone.Record)
		}
		maps.Copy(r.Zones, h.ZoneStates())
		for name, s := range h.Status(time.Now()).Tiers {
			if r.Tiers == nil {
				r.Tiers = make(map[string]tier.Status)
			}
			r.Tiers[name] = r.Tiers[name].Plus(s)
		}
		if h.folder != nil {
			r.Folds = h.folder.Counts()
		}
	}
	return r
}

// loadTime is how long loading the view may take where the store answers.
const loadTime = 2 * time.Second
