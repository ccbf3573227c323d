package ingest

import (
	"context"
	"encoding/gob"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// streamConn adapts an accepted net.Conn to transport.Stream.
type streamConn struct{ net.Conn }

func (streamConn) SetIdleTimeout(time.Duration) {}

// newLoopbackPair returns an uplink that forwards heartbeats to a receiver over a loopback connection.
func newLoopbackPair(tb testing.TB, decide func(*wire.Heartbeat) worker.HeartbeatResult) (*Uplink, *Receiver) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	receiver := &Receiver{Decide: decide, Log: slog.New(slog.DiscardHandler),
		FencingCalls: func(int) []reachability.FencingCall { return nil }, FencingCallDone: func(string, *wire.Heartbeat) {}}
	uplink := &Uplink{Leader: func() string { return "c-0" }, Log: receiver.Log,
		OpenStream: func(ctx context.Context, _, _ string) (net.Conn, *gob.Encoder, error) {
			conn, err := net.Dial("tcp4", lis.Addr().String())
			return conn, gob.NewEncoder(conn), err
		}}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				receiver.Serve(ctx, "c-1", streamConn{conn}, gob.NewDecoder(conn))
			}()
		}
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = uplink.Run(ctx)
	}()
	tb.Cleanup(func() {
		stop()
		lis.Close()
		<-done
	})
	for uplink.ForwardsTo() == "" {
		time.Sleep(time.Millisecond)
	}
	return uplink, receiver
}

// newHeartbeats returns heartbeats of n machines with five tasks each.
func newHeartbeats(n int) []*wire.Heartbeat {
	heartbeats := make([]*wire.Heartbeat, n)
	for i := range heartbeats {
		heartbeat := &wire.Heartbeat{Machine: fmt.Sprintf("n-%06d", i), Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Incarnation: 1, FencingToken: 3}
		for k := range 5 {
			id := wire.TaskID{Job: fmt.Sprintf("wk-%06d", i), Index: k}
			heartbeat.Tasks = append(heartbeat.Tasks, wire.ReportedTask{Task: id.String(), ID: id, Attempt: 3 << 24, State: wire.TaskRunning})
		}
		heartbeats[i] = heartbeat
	}
	return heartbeats
}

// BenchmarkForward measures concurrent forwarding of heartbeats from 3,000 machines, as in a large
// deployment. One in eight heartbeats differs from the machine's previous one.
func BenchmarkForward(b *testing.B) {
	uplink, _ := newLoopbackPair(b, func(heartbeat *wire.Heartbeat) worker.HeartbeatResult {
		return worker.HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 3}}
	})
	heartbeats := newHeartbeats(3000)
	b.SetParallelism(200)
	next := make(chan *wire.Heartbeat, 1000)
	go func() {
		for i := 0; ; i++ {
			heartbeat := *heartbeats[i%len(heartbeats)]
			heartbeat.Seq = uint64(i)
			if i%8 == 0 {
				heartbeat.Tasks = append([]wire.ReportedTask(nil), heartbeat.Tasks...)
				heartbeat.Tasks[0].Attempt = uint64(i)
			}
			next <- &heartbeat
		}
	}()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, ok := uplink.Forward(context.Background(), <-next); !ok {
				b.Error("no stream")
			}
		}
	})
}
