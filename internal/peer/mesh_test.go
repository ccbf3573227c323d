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

// TestStreamOfSupersededIncarnation: a controller is back, and the stream that its earlier incarnation
// opened arrives after its first heartbeat. It is not served, or it would end that of the present one.
func TestStreamOfSupersededIncarnation(t *testing.T) {
	served := 0
	m := &Mesh{Peers: map[string]string{"c-1": ""}, Log: slog.New(slog.DiscardHandler),
		Handlers: map[string]StreamHandler{"reports": func(context.Context, string, transport.Stream, *gob.Decoder) { served++ }}}
	say := func(b Heartbeat) {
		var buf bytes.Buffer
		_ = gob.NewEncoder(&buf).Encode(b)
		m.Receive(t.Context(), testStream{Reader: &buf})
	}
	say(Heartbeat{From: "c-1", Begun: 200, Number: 1})
	say(Heartbeat{From: "c-1", Begun: 100, Number: 9, Stream: "reports"})
	if served > 0 {
		t.Error("the stream of the earlier incarnation was served")
	}
	say(Heartbeat{From: "c-1", Begun: 200, Number: 2, Stream: "reports"})
	if served != 1 {
		t.Error("that of the present one was not")
	}
}

// BenchmarkHeartbeat tells what the heartbeat of a shard's leader takes on the wire, by the number of teams.
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
			if err := enc.Encode(heartbeat); err != nil { // the first tells the types too
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
