package peer

import (
	"bytes"
	"encoding/gob"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/zone"
)

// testStream is a connection that delivers the bytes of a reader and then ends.
type testStream struct {
	net.Conn
	io.Reader
}

func (s testStream) Read(b []byte) (int, error) { return s.Reader.Read(b) }
func (testStream) Close() error                 { return nil }
func (testStream) SetIdleTimeout(time.Duration) {}

// FuzzHeartbeat checks that arbitrary input does not crash the process, and that heartbeats are
// accepted only from configured peers.
func FuzzHeartbeat(f *testing.F) {
	for _, heartbeat := range []Heartbeat{
		{From: "c-1", StoreOK: true, Heard: 3, Says: membership.HeartbeatAges{"c-2": time.Second}},
		{From: "c-1", Parts: map[string]leader.ShardStatus{"a": {Term: 3, Rooms: map[string]scheduler.FreeCapacity{"x": {Now: 2}}, Zones: map[string]reachability.ZoneHealth{"a": {Up: 3}}}}},
		{From: "c-2", Sights: map[string]zone.Observation{"a": {Heard: 3, Vain: 1}}},
		{From: "stranger"},
	} {
		var buf bytes.Buffer
		_ = gob.NewEncoder(&buf).Encode(heartbeat)
		f.Add(buf.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		mesh := &Mesh{Peers: map[string]string{"c-1": "", "c-2": ""}, Log: slog.New(slog.DiscardHandler), OnHeartbeat: func(s Status) {
			if s.Name != "c-1" && s.Name != "c-2" {
				t.Errorf("a heartbeat from %q was accepted", s.Name)
			}
		}}
		mesh.Receive(t.Context(), testStream{Reader: bytes.NewReader(data)})
	})
}
