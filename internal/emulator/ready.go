package emulator

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// readyTimeout bounds how long controllers may take to become ready.
const readyTimeout = 30 * time.Second

// Ready waits until all controllers at the addresses are ready.
func Ready(ctx context.Context, caller *transport.Caller, addrs []string) error {
	for begun := time.Now(); ; {
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
		case time.Since(begun) > readyTimeout:
			return fmt.Errorf("%d of %d controllers came up within 30 s", n, len(addrs))
		}
		time.Sleep(50 * time.Millisecond)
	}
}
