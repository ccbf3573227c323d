package worker

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

const addr = "10.4.0.1:9000"

// fakeWorker is a worker that accepts commands only for its own incarnation.
type fakeWorker struct {
	incarnation, token uint64
	calls              []string
}

func (w *fakeWorker) serve(_ context.Context, req *httpwire.Request) *httpwire.Response {
	w.calls = append(w.calls, req.Path)
	status := 200
	if req.Path == wire.PathCommands {
		var cmd wire.CommandRequest
		if wire.Decode(req.Body, &cmd) != nil {
			return &httpwire.Response{Status: 400}
		}
		if cmd.Incarnation == w.incarnation {
			w.token = max(w.token, cmd.FencingToken)
		} else {
			status = 409
		}
	}
	return &httpwire.Response{Status: status, Body: wire.Encode(wire.Heartbeat{Machine: "n-1", Incarnation: w.incarnation, Seq: 1, FencingToken: w.token})}
}

// TestFence checks that the token is raised in the worker's current incarnation, whichever one the caller assumes.
func TestFence(t *testing.T) {
	for _, c := range []struct {
		name               string
		assumedIncarnation uint64
		calls              int
	}{
		{"known", 3, 1},
		{"unknown", 0, 2},
		{"an older one", 2, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			net := simulator.NewNetwork()
			fake := &fakeWorker{incarnation: 3, token: 4}
			go net.Host("10.4.0.1").Listen(ctx, addr, 0, transport.HTTP(1<<20, time.Minute, fake.serve))
			synctest.Wait()
			h := NewClient(net.Host("10.0.0.1"), 4).Fence(ctx, addr, 5, c.assumedIncarnation)
			if h == nil || h.FencingToken != 5 || fake.token != 5 || len(fake.calls) != c.calls {
				t.Errorf("%s: %+v after %v", c.name, h, fake.calls)
			}
			if h := NewClient(net.Host("10.0.0.1"), 4).Fence(ctx, "10.4.0.9:9000", 5, 3); h != nil {
				t.Errorf("%s: nobody answers %+v", c.name, h)
			}
			stop()
			net.Close()
			synctest.Wait()
		})
	}
}

// TestHandler checks that a heartbeat is answered, or redirected to the leader.
func TestHandler(t *testing.T) {
	result := HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 7}}
	handle := HeartbeatHandler(func(context.Context, *wire.Heartbeat) HeartbeatResult { return result }, slog.New(slog.DiscardHandler))
	send := func(method string, body []byte) *httpwire.Response {
		return handle(context.Background(), &httpwire.Request{Method: method, Path: wire.PathHeartbeat, Body: body})
	}
	good := wire.Encode(wire.Heartbeat{Machine: "n-1", Incarnation: 1, Seq: 1})
	var answer wire.HeartbeatResponse
	if resp := send("POST", good); resp.Status != 200 || wire.Decode(resp.Body, &answer) != nil || answer.FencingToken != 7 {
		t.Errorf("status %d, %+v", resp.Status, answer)
	}
	if get, bad := send("GET", good).Status, send("POST", []byte("x")).Status; get != 405 || bad != 400 {
		t.Errorf("GET: %d, malformed: %d", get, bad)
	}
	result = HeartbeatResult{Leader: "c-2"}
	var redirect wire.Redirect
	if resp := send("POST", good); resp.Status != 421 || wire.Decode(resp.Body, &redirect) != nil || redirect.Leader != "c-2" {
		t.Errorf("status %d, %+v", resp.Status, redirect)
	}
}
