package controller

import (
	"encoding/gob"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/simulator"
)

// pipe is the accepted end of an in-memory connection.
type pipe struct{ net.Conn }

func (pipe) SetIdleTimeout(time.Duration) {}

// TestOlderPeers checks that no controller writes for others while a live peer accepts no forwarded requests, and that
// some do once all peers accept them or that peer no longer sends heartbeats.
func TestOlderPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := &config.Config{Name: "c-0", Zones: []string{"a"}, Store: config.Store{RPS: 120, WriteRPS: 35, ValueBytes: 8192, TxnOps: 20},
			Cloud: config.Cloud{RPS: 10}, Limits: config.Limits{OpenFiles: 500}, Tuning: config.DefaultTuning()}
		for i := 1; i < 7; i++ {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: fmt.Sprint("c-", i)})
		}
		c := New(simulator.NewNetwork().Host("10.0.0.1"), cfg, slog.New(slog.DiscardHandler))
		number := uint64(0)
		receive := func(writes func(i int) bool, peers ...int) writerChoice {
			number++
			for _, i := range peers {
				local, remote := net.Pipe()
				go func() {
					_ = gob.NewEncoder(remote).Encode(peer.Heartbeat{From: fmt.Sprint("c-", i), StoreOK: true, Writes: writes(i), Begun: 1, Number: number})
					remote.Close()
				}()
				c.mesh.Receive(t.Context(), pipe{local})
			}
			time.Sleep(time.Second)
			return c.writers.choose(time.Now())
		}
		all := []int{1, 2, 3, 4, 5, 6}
		if got := receive(func(i int) bool { return i != 3 }, all...); !got.olderPeer || got.names != nil {
			t.Errorf("beside an older version: %+v", got)
		}
		if got := receive(func(int) bool { return true }, all...); got.olderPeer || len(got.names) != 4 {
			t.Errorf("once all take it: %+v", got)
		}
		if got := receive(func(i int) bool { return i != 3 }, all...); !got.olderPeer || got.names != nil {
			t.Errorf("after one has gone back: %+v", got)
		}
		for range 4 {
			receive(func(int) bool { return true }, 1, 2, 4, 5, 6)
		}
		if got := c.writers.choose(time.Now()); got.olderPeer || len(got.names) != 4 {
			t.Errorf("once no heartbeats of the older one come: %+v", got)
		}
		if got := receive(func(int) bool { return true }, 1, 2); len(got.names) != 4 {
			t.Errorf("a moment later: %+v", got)
		}
		time.Sleep(4 * time.Second)
		if got := receive(func(int) bool { return true }, 1, 2); got.names != nil || got.olderPeer {
			t.Errorf("with no majority: %+v", got)
		}
	})
}
