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

// agent is a worker in an incarnation, that takes commands for that one only.
type fakeWorker struct {
	incarnation, token uint64
	calls              []string
}

func (a *fakeWorker) serve(_ context.Context, req *httpwire.Request) *httpwire.Response {
	a.calls = append(a.calls, req.Path)
	status := 200
	if req.Path == wire.PathCommands {
		var cmd wire.CommandRequest
		if wire.Decode(req.Body, &cmd) != nil {
			return &httpwire.Response{Status: 400}
		}
		if cmd.Incarnation == a.incarnation {
			a.token = max(a.token, cmd.FencingToken)
		} else {
			status = 409
		}
	}
	return &httpwire.Response{Status: status, Body: wire.Encode(wire.Heartbeat{Machine: "n-1", Incarnation: a.incarnation, Seq: 1, FencingToken: a.token})}
}

// TestFence: the token is raised in the worker's own incarnation, whatever the caller knows of that.
func TestFence(t *testing.T) {
	for _, c := range []struct {
		name  string
		guess uint64
		calls int
	}{
		{"known", 3, 1},
		{"unknown", 0, 2},
		{"an older one", 2, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			net := simulator.NewNetwork()
			a := &fakeWorker{incarnation: 3, token: 4}
			go net.Host("10.4.0.1").Listen(ctx, addr, 0, transport.HTTP(1<<20, time.Minute, a.serve))
			synctest.Wait()
			h := NewClient(net.Host("10.0.0.1"), 4).Fence(ctx, addr, 5, c.guess)
			if h == nil || h.FencingToken != 5 || a.token != 5 || len(a.calls) != c.calls {
				t.Errorf("%s: %+v after %v", c.name, h, a.calls)
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

// TestHandler: a heartbeat is answered, or its worker sent to the leader.
func TestHandler(t *testing.T) {
	result := HeartbeatResult{Response: &wire.HeartbeatResponse{FencingToken: 7}}
	handle := Handler(func(context.Context, *wire.Heartbeat) HeartbeatResult { return result }, slog.New(slog.DiscardHandler))
	ask := func(method string, body []byte) *httpwire.Response {
		return handle(context.Background(), &httpwire.Request{Method: method, Path: wire.PathHeartbeat, Body: body})
	}
	good := wire.Encode(wire.Heartbeat{Machine: "n-1", Incarnation: 1, Seq: 1})
	var answer wire.HeartbeatResponse
	if resp := ask("POST", good); resp.Status != 200 || wire.Decode(resp.Body, &answer) != nil || answer.FencingToken != 7 {
		t.Errorf("status %d, %+v", resp.Status, answer)
	}
	if get, bad := ask("GET", good).Status, ask("POST", []byte("x")).Status; get != 405 || bad != 400 {
		t.Errorf("GET: %d, malformed: %d", get, bad)
	}
	result = HeartbeatResult{Leader: "c-2"}
	var to wire.Redirect
	if resp := ask("POST", good); resp.Status != 421 || wire.Decode(resp.Body, &to) != nil || to.Leader != "c-2" {
		t.Errorf("status %d, %+v", resp.Status, to)
	}
}
