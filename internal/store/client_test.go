package store

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
)

// unreachableNetwork is a network on which nothing is reached.
type unreachableNetwork struct{ transport.Network }

func (unreachableNetwork) Dial(context.Context, string) (net.Conn, error) {
	return nil, transport.ErrNotSent
}

// TestBackgroundWritesMakeProgress has rounds take every change that a leader may make, without a
// pause. Background writes still get an eighth of them, and are made at once where there is room.
func TestBackgroundWritesMakeProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(unreachableNetwork{}, "", 1000, 12, EvenAllowance(3), slog.New(slog.NewTextHandler(io.Discard, nil)))
		c.Allow(Allowance{Requests: 1. / 3, Acceptance: 1. / 3, Leading: 1, HasLeader: true}) // 8 a second
		time.Sleep(2 * time.Second)
		begun := time.Now()
		if _ = c.WaitForSpareWrites(t.Context(), 4); time.Since(begun) > 0 {
			t.Errorf("a background write waited for %v beside no others", time.Since(begun))
		}
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for c.writeLimiter.WaitN(ctx, 1) == nil {
			}
		}()
		time.Sleep(2 * time.Second)
		begun = time.Now()
		for range 10 {
			_ = c.WaitForSpareWrites(ctx, 4)
		}
		if took := time.Since(begun); took < 39*time.Second || took > 42*time.Second { // 4 of one a second, with the time between two looks
			t.Errorf("40 changes that can wait took %v", took)
		}
		stop()
		synctest.Wait()
	})
}
