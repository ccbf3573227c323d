package controller

import (
	"encoding/gob"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/simulator"
)

// newTestController returns the first of three controllers, without running it.
func newTestController() *Controller {
	cfg := &config.Config{Name: "c-0", Zones: []string{"a"}, Store: config.Store{RPS: 120, WriteRPS: 35, ValueBytes: 8192, TxnOps: 20},
		Cloud: config.Cloud{RPS: 10}, Limits: config.Limits{OpenFiles: 500}, Tuning: config.DefaultTuning(),
		Peers: []config.Peer{{Name: "c-1"}, {Name: "c-2"}}}
	cfg.Workers.HeartbeatInterval = 5 * time.Second
	return New(simulator.NewNetwork().Host("10.0.0.1"), cfg, slog.New(slog.DiscardHandler))
}

// receive delivers a peer's heartbeat to a controller.
func receive(t *testing.T, c *Controller, h peer.Heartbeat) {
	local, remote := net.Pipe()
	go func() {
		_ = gob.NewEncoder(remote).Encode(h)
		remote.Close()
	}()
	c.mesh.Receive(t.Context(), pipe{local})
}

// TestSettingsMismatch checks that settingsMismatch names a peer whose settings differ, and also one that may still be
// starting.
func TestSettingsMismatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		expect := func(what, name string, known bool) {
			t.Helper()
			if n, k := c.candidacy.settingsMismatch(); n != name || k != known {
				t.Errorf("%s: %q, %v", what, n, k)
			}
		}
		expect("at the start", "c-1", false)
		receive(t, c, peer.Heartbeat{From: "c-1", Begun: 1, Number: 1})
		expect("after a heartbeat of the first", "c-2", false)
		receive(t, c, peer.Heartbeat{From: "c-2", Begun: 1, Number: 1, Groups: "zone"})
		expect("with another sharding", "c-2", true)
		receive(t, c, peer.Heartbeat{From: "c-2", Begun: 1, Number: 2, Tiers: "other"})
		expect("with other tiers", "c-2", true)
		receive(t, c, peer.Heartbeat{From: "c-2", Begun: 1, Number: 3})
		expect("with the same settings", "", true)
		time.Sleep(preferredLeaderDelay)
		expect("once the peers are gone", "", true)
	})
}

// TestCanLead checks that a controller that few machines reach leaves a vacant shard for a while to a peer that reaches
// the state service and that more machines reach.
func TestCanLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		operational, offered := true, 10
		c.candidacy.operational = func() bool { return operational }
		c.candidacy.offered = func() int { return offered }
		expect := func(what string, vacant time.Duration, want bool) {
			t.Helper()
			if got := c.candidacy.canLead(vacant); got != want {
				t.Errorf("%s: %v", what, got)
			}
		}
		expect("without peers", 0, true)
		operational = false
		expect("where it can't lead at all", time.Minute, false)
		operational = true
		receive(t, c, peer.Heartbeat{From: "c-1", Begun: 1, Number: 1, StoreOK: true, Heard: 22})
		expect("beside a peer with about twice as many", 0, true)
		receive(t, c, peer.Heartbeat{From: "c-1", Begun: 1, Number: 2, StoreOK: true, Heard: 23})
		expect("beside a peer with more", 0, false)
		expect("beside a peer that does not take it", preferredLeaderDelay, true)
		receive(t, c, peer.Heartbeat{From: "c-1", Begun: 1, Number: 3, Heard: 23})
		expect("beside a peer without the state service", 0, true)
		receive(t, c, peer.Heartbeat{From: "c-1", Begun: 1, Number: 4, StoreOK: true, Heard: 3})
		expect("beside a peer with fewer", 0, true)
		c.candidacy.partitionedAt = time.Now()
		expect("having resigned just now", 0, false)
		time.Sleep(2 * c.cfg.Workers.HeartbeatInterval)
		receive(t, c, peer.Heartbeat{From: "c-1", Begun: 1, Number: 5, StoreOK: true, Heard: 3})
		expect("having resigned a while ago", 0, true)
	})
}

// TestShardRegistry checks that a shard counts as led from the time it is added until it is removed.
func TestShardRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newShardRegistry()
		if r.get("a") != nil || len(r.all()) != 0 || r.unchangedFor(time.Now()) < time.Hour {
			t.Error("a new registry is not empty, or has changed")
		}
		s := &ledShard{}
		s.tenure.Shard = "a"
		r.add(time.Now(), s)
		time.Sleep(time.Second)
		if r.get("a") != s || r.get("b") != nil || len(r.all()) != 1 || r.unchangedFor(time.Now()) != time.Second {
			t.Error("a shard that was added is not led since then")
		}
		r.remove("a")
		if r.get("a") != nil || len(r.all()) != 0 || r.unchangedFor(time.Now()) != 0 {
			t.Error("a shard that was removed is led, or the change does not show")
		}
	})
}
