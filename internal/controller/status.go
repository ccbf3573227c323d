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

// taskCounts gives a job's counts for display, from the holders wherever they are.
func (c *Controller) taskCounts(job string) (sum leader.TaskCount) {
	if !c.sharding.IsSingle() {
		for _, s := range c.statuses() {
			n := s.Counts[job]
			sum.Running += n.Running
			sum.Done += n.Done
		}
		return sum
	}
	for _, h := range c.ledShards() {
		if n, ok := h.TaskCounts(time.Now())[job]; ok {
			return n
		}
	}
	var best peer.Heartbeat
	for _, b := range c.peers.Latest(6 * time.Second) {
		if b.Term > best.Term {
			best = b
		}
	}
	return best.Counts[job]
}

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

// ready says whether users are served here. A controller that alone can't
// reach the store steps aside. In an outage that all share it stays: users get
// the same answer everywhere, and a controller that was taken out is brought
// back late, the later the more often that happens.
func (c *Controller) ready() bool {
	if open, _ := c.format.Writable(); !open && c.view.Loaded() {
		return false
	}
	return !c.storePartitioned(2 * time.Second)
}

// storeOutOfReach reports whether questions that the store must answer are not even worth a try. A store
// that is slow, or refuses a call now and then, is still of use.
func (c *Controller) storeOutOfReach() bool { return c.storePartitioned(5 * time.Second) }

// storePartitioned reports whether the store has been out of reach here for so long while others may reach
// it. Whoever hears less than most controllers can't know that all share its outage, and is rather
// cut off itself: as long as it called itself ready, its users stayed and asked in vain.
func (c *Controller) storePartitioned(unreachableFor time.Duration) bool {
	at, failing := c.follow.LastContact()
	if c.view.Loaded() && (!failing || time.Since(at) < unreachableFor) {
		return false
	}
	beats := c.peers.Latest(3 * time.Second)
	for _, b := range beats {
		if b.StoreOK {
			return true
		}
	}
	if alone := (len(beats)+1)*2 <= len(c.cfg.Peers)+1; alone {
		return true
	}
	return time.Since(c.startedAt) <= viewLoadTime
}

// readMetrics gathers what the metrics tell.
func (c *Controller) readMetrics() metrics.Reading {
	r := metrics.Reading{Started: c.startedAt, LastList: c.follow.LastLoad(), StoreCalls: c.client.CallStatsByPurpose(), BlockCache: c.history.Stats(),
		UnreadableRecords: len(c.view.UnreadableRecords()), Revision: c.view.Revision()}
	r.LiveJobs, r.EndedJobs, r.Batches, r.RecentJobs = c.view.Size()
	r.OldestEnd = c.view.OldestEnd()
	passed := c.uplinks.Counts()
	r.HeartbeatsForwarded, r.HeartbeatsUnanswered, r.MachinesMoved, r.CallWindow = passed.Forwarded, passed.Unanswered, c.gateway.Rebalanced(), c.callThrottle.Window()
	forwarded := c.forwarder.Counts()
	r.RequestsForwarded, r.ForwardsUnanswered = forwarded.Forwarded, forwarded.Unanswered
	r.ReportingMachines, r.ForwardingPeers = c.gateway.Reporting(), len(c.receiver.ForwardingPeers(2*time.Second))
	for _, h := range c.ledShards() { // not under our lock: a holder that decides keeps its own for long
		r.Shards++
		r.FencingToken = max(r.FencingToken, h.FencingToken())
		if s, stalled := h.Stall(time.Now()); stalled {
			r.StalledFor = max(r.StalledFor, time.Since(s.Since))
		}
		odd := h.RejectedHeartbeats()
		r.LateHeartbeats, r.ImpossibleHeartbeats = r.LateHeartbeats+odd.Stale, r.ImpossibleHeartbeats+odd.Impossible
		if r.Zones == nil {
			r.Zones = make(map[string]zone.Record)
		}
		maps.Copy(r.Zones, h.ZoneRecords())
		for name, s := range h.Status(time.Now()).Tiers {
			if r.Tiers == nil {
				r.Tiers = make(map[string]tier.Status)
			}
			r.Tiers[name] = r.Tiers[name].Add(s)
		}
		if h.compactor != nil {
			r.Compaction = h.compactor.Stats()
		}
	}
	return r
}

// viewLoadTime is how long loading the view may take where the store answers.
const viewLoadTime = 2 * time.Second
