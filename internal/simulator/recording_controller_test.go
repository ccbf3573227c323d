package simulator

import (
	"sync"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// recordingController is two controllers that answer every report, and keep it.
type recordingController struct {
	mu         sync.Mutex
	heartbeats map[string][]wire.Heartbeat
}

func (a *recordingController) serve(node string) transport.ServeConn {
	return serveHTTP(func(_, _ string, _ map[string]string, body []byte) (int, any) {
		var r wire.Heartbeat
		_ = wire.Decode(body, &r)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.heartbeats[node] = append(a.heartbeats[node], r)
		return 200, wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}}
	})
}

func (a *recordingController) takeHeartbeats() (out map[string][]wire.Heartbeat) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out, a.heartbeats = a.heartbeats, map[string][]wire.Heartbeat{}
	return out
}
