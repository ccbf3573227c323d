package controller

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
)

// Where the fleet is in several parts, what each holder says of its own reaches the
// others in the beats of the mesh.

// heartbeatMaxAge is how old the beat of a sibling that lives may be.
const heartbeatMaxAge = 3 * peer.Interval

func (c *Controller) localHeartbeat() peer.Heartbeat {
	at, failing := c.follow.LastContact()
	b := peer.Heartbeat{From: c.cfg.Name, StoreOK: !failing && time.Since(at) < 15*time.Second, Heard: c.gateway.Offered(), Passes: c.uplinks.ForwardsTo(), Format: store.Format,
		Groups: c.sharding.String(), Tiers: c.tiersDigest, Writes: true, UpS: int(time.Since(c.startedAt).Seconds()), Begun: c.startedAt.UnixNano()}
	c.mu.Lock()
	c.heartbeatsSent++
	b.Number = c.heartbeatsSent
	b.Says = c.detector.HeartbeatAges(time.Now())
	c.mu.Unlock()
	b.Sights = c.observations()
	if !c.sharding.IsSingle() {
		b.Ways, b.Parts = c.uplinks.ConnectedLeaders(), make(map[string]leader.ShardStatus)
	}
	for _, h := range c.ledShards() {
		b.Term = max(b.Term, h.FencingToken())
		if c.sharding.IsSingle() {
			b.Counts = h.TaskCounts(time.Now())
		} else {
			b.Parts[h.tenure.Shard] = h.Status(time.Now())
		}
	}
	return b
}

// sights gives what this controller sees of each zone by itself.
func (c *Controller) observations() map[string]zone.Observation {
	now := time.Now()
	out := c.gateway.Observations(now, c.cfg.Workers.HeartbeatInterval*7/5)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencingCalls.AddTo(now, out)
	return out
}

// shareObservations tells the holders here what siblings see of each zone.
func (c *Controller) shareObservations() {
	observers, beats := make(map[string]zone.Observer), c.peers.Latest(heartbeatMaxAge)
	for _, sib := range c.cfg.Peers {
		if b, heard := beats[sib.Name]; heard {
			observers[sib.Name] = zone.Observer{Zone: sib.Zone, Observations: b.Sights}
		}
	}
	for _, h := range c.ledShards() {
		h.SetObservers(observers)
	}
}

// recordHeartbeat takes in a sibling's beat.
func (c *Controller) recordHeartbeat(b peer.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.RecordHeartbeat(time.Now(), b.From, b.StoreOK, b.Says)
}
