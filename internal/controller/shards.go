package controller

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/shard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Where the fleet is in several parts, what each holder says of its own reaches the
// others in the beats of the mesh.

// aliveAge is how old the beat of a sibling that lives may be.
const aliveAge = 3 * peer.Every

// statuses gives what the parts have last said, from here and by the mesh. The map is
// shared and never changed: users' questions ask for it all the time.
func (c *Controller) statuses() map[string]leader.PartStatus {
	c.mu.Lock()
	all, at := c.stands, c.stood
	c.mu.Unlock()
	if all != nil && time.Since(at) < peer.Every/4 {
		return all
	}
	all = c.gather()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stands, c.stood = all, time.Now()
	return all
}

func (c *Controller) gather() map[string]leader.PartStatus {
	out := make(map[string]leader.PartStatus)
	for _, b := range c.mesh.Last(2 * aliveAge) {
		for part, s := range b.Parts {
			if s.Term > out[part].Term {
				out[part] = s
			}
		}
	}
	now := time.Now()
	for _, h := range c.holding() {
		out[h.claim.Part] = h.Status(now)
	}
	return out
}

// tellHolders tells the holders here how the other parts stand.
func (c *Controller) tellHolders() {
	all, edges := c.statuses(), len(c.hub.Edges(2*time.Second))
	for _, h := range c.holding() {
		others := make(map[string]leader.PartStatus, len(all))
		for part, s := range all {
			if part != h.claim.Part {
				others[part] = s
			}
		}
		h.SetOthers(others, edges)
	}
}

// route gives the shares of a new job, and the number of the grouping that they are of. One
// that comes while the state is divided otherwise is dealt out later.
func (c *Controller) route(j *wire.Job, types []wire.MachineType) ([]store.Share, uint64) {
	g := c.view.Grouping().Record
	if c.group.Whole() || g.Text != c.group.String() {
		return nil, 0
	}
	return c.router.Route(time.Now(), j, types), g.Number
}

// agreed names a sibling that is set to divide the fleet, or its work, otherwise, or that may
// yet be heard.
func (c *Controller) agreed() (other string, heard bool) {
	beats := c.mesh.Last(aliveAge)
	for _, sib := range c.cfg.Siblings {
		b, heard := beats[sib.Name]
		if heard && (b.Groups != c.group.String() || b.Tiers != c.tiers) || !heard && time.Since(c.begun) < patience {
			return sib.Name, heard
		}
	}
	return "", true
}

// claims says whether this controller is to claim a part that has been free for a while.
func (c *Controller) claims(part string, free time.Duration) bool {
	if !c.fit(free) {
		return false
	}
	if c.group.Whole() || free >= patience {
		return true
	}
	candidates := append(c.candidates(), c.self())
	if time.Since(c.begun) < patience { // those that have not been heard yet may just have begun too
		seen := make(map[string]bool)
		for _, x := range candidates {
			seen[x.Name] = true
		}
		for _, sib := range c.cfg.Siblings {
			if !seen[sib.Name] {
				candidates = append(candidates, shard.Controller{Name: sib.Name, Zone: sib.Zone, Holds: c.load(sib.Name)})
			}
		}
	}
	var open []shard.Part
	for _, p := range c.group.Parts() {
		if _, held := c.view.Part(p); !held {
			open = append(open, shard.Part{Name: p, Zones: c.group.Zones(p)})
		}
	}
	return shard.Assign(open, candidates, len(c.group.Parts()))[part] == c.cfg.Name
}

// candidates lists the siblings that could hold parts.
func (c *Controller) candidates() (out []shard.Controller) {
	c.mu.Lock()
	alive := c.members.Alive(time.Now())
	c.mu.Unlock()
	for _, sib := range c.cfg.Siblings {
		if slices.Contains(alive, sib.Name) {
			out = append(out, shard.Controller{Name: sib.Name, Zone: sib.Zone, Holds: c.load(sib.Name)})
		}
	}
	return out
}

func (c *Controller) self() shard.Controller {
	return shard.Controller{Name: c.cfg.Name, Zone: c.cfg.Zone, Holds: c.load(c.cfg.Name)}
}

// load counts the parts that a controller holds, by the store.
func (c *Controller) load(name string) (n int) {
	for _, part := range c.group.Parts() {
		if rec, ok := c.view.Part(part); ok && rec.Record.Holder == name {
			n++
		}
	}
	return n
}

// Parts move only in quiet times, one after the other.
const (
	balanceAfter = 10 * time.Second // since a part last moved, and since the other began
)

// balance gives one part back where a sibling holds far fewer. Its duties end first: once
// another has claimed it, nothing is said here any more.
func (c *Controller) balance() {
	now := time.Now()
	c.mu.Lock()
	calm := now.Sub(c.moved) >= balanceAfter
	c.mu.Unlock()
	if !calm {
		return
	}
	var others []shard.Controller
	beats := c.mesh.Last(aliveAge)
	for _, o := range c.candidates() {
		if time.Duration(beats[o.Name].UpS)*time.Second >= balanceAfter {
			others = append(others, o)
		}
	}
	var mine []shard.Part
	for _, h := range c.holding() {
		if !h.Rebuilt() {
			return
		}
		mine = append(mine, shard.Part{Name: h.claim.Part, Zones: c.group.Zones(h.claim.Part)})
	}
	part, ok := shard.Spare(c.self(), mine, others)
	if !ok {
		return
	}
	c.mu.Lock()
	h := c.holders[part]
	c.mu.Unlock()
	if h == nil {
		return
	}
	c.log.Info("giving a part back", "part", part, "term", h.claim.Term, "why", "a sibling holds fewer")
	c.end(part, h)
	c.keeper.Leave(part)
}
