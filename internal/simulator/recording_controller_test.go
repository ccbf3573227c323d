package simulator

import (
	"sync"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// recordingController answers and records all heartbeats, on behalf of one or more controllers.
type recordingController struct {
	mu         sync.Mutex
	heartbeats map[string][]wire.Heartbeat // by controller
}

// serve returns the handler of the named controller.
func (c *recordingController) serve(controller string) transport.ServeConn {
	return serveHTTP(func(_, _ string, _ map[string]string, body []byte) (int, any) {
		var heartbeat wire.Heartbeat
		_ = wire.Decode(body, &heartbeat)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.heartbeats[controller] = append(c.heartbeats[controller], heartbeat)
		return 200, wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}}
	})
}

// takeHeartbeats returns the heartbeats recorded since the last call, by controller.
func (c *recordingController) takeHeartbeats() (out map[string][]wire.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, c.heartbeats = c.heartbeats, map[string][]wire.Heartbeat{}
	return out
}
