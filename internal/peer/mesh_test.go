package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"log/slog"
	"testing"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/transport"
)

// TestStreamOfSupersededIncarnation checks that a stream opened by an earlier incarnation of a peer is
// not served if it arrives after a heartbeat of the current one: it would end the current stream.
func TestStreamOfSupersededIncarnation(t *testing.T) {
	served := 0
	mesh := &Mesh{Peers: map[string]string{"c-1": ""}, Log: slog.New(slog.DiscardHandler),
		Handlers: map[string]StreamHandler{"reports": func(context.Context, string, transport.Stream, *gob.Decoder) { served++ }}}
	receive := func(heartbeat Heartbeat) {
		var buf bytes.Buffer
		_ = gob.NewEncoder(&buf).Encode(heartbeat)
		mesh.Receive(t.Context(), testStream{Reader: &buf})
	}
	receive(Heartbeat{From: "c-1", Begun: 200, Number: 1})
	receive(Heartbeat{From: "c-1", Begun: 100, Number: 9, Stream: "reports"})
	if served > 0 {
		t.Error("the stream of the earlier incarnation was served")
	}
	receive(Heartbeat{From: "c-1", Begun: 200, Number: 2, Stream: "reports"})
	if served != 1 {
		t.Error("the stream of the current incarnation was not served")
	}
}

// BenchmarkHeartbeat measures the encoded size of a shard leader's heartbeat by the number of teams.
func BenchmarkHeartbeat(b *testing.B) {
	for _, teams := range []int{5, 100, 530, 2000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			status := leader.ShardStatus{Term: 9, Used: map[string][2]float64{}, Stays: map[string]scheduler.Resources{}, Wants: map[string]scheduler.QuotaDemand{}}
			for i := range teams {
				name := fmt.Sprintf("team-%04d", i)
				status.Used[name] = [2]float64{123.5, 17}
				status.Stays[name] = scheduler.Resources{CPUs: 20, GPUs: 4, MemoryGB: 100}
			}
			heartbeat := Heartbeat{From: "c-1", StoreOK: true, Term: 9, Parts: map[string]leader.ShardStatus{"a": status}}
			var out bytes.Buffer
			enc := gob.NewEncoder(&out)
			if err := enc.Encode(heartbeat); err != nil { // the first message also carries the type definitions
				b.Fatal(err)
			}
			out.Reset()
			for b.Loop() {
				out.Reset()
				if err := enc.Encode(heartbeat); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(out.Len()), "bytes")
		})
	}
}
