package emulator

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// readyTimeout is the time within which all controllers have to become ready.
const readyTimeout = 30 * time.Second

// WaitReady waits until the controllers at all addresses are ready.
func WaitReady(ctx context.Context, caller *transport.Client, addrs []string) error {
	for startedAt := time.Now(); ; {
		n := 0
		for _, addr := range addrs {
			call, cancel := context.WithTimeout(ctx, time.Second)
			if resp, err := caller.Call(call, addr, "GET", wire.PathReady, nil); err == nil && resp.Status == 200 {
				n++
			}
			cancel()
		}
		switch {
		case n == len(addrs):
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Since(startedAt) > readyTimeout:
			return fmt.Errorf("%d of %d controllers became ready within 30 s", n, len(addrs))
		}
		time.Sleep(50 * time.Millisecond)
	}
}
