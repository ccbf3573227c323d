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

// failingNetwork is a network on which every dial fails.
type failingNetwork struct{ transport.Network }

func (failingNetwork) Dial(context.Context, string) (net.Conn, error) {
	return nil, transport.ErrNotSent
}

// TestBackgroundWritesMakeProgress guards against starvation of background writes while rounds use up
// every change that a leader may make. Background writes must still get an eighth of the changes, and
// must not wait while there is spare capacity.
func TestBackgroundWritesMakeProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(failingNetwork{}, "", 1000, 12, EvenAllowance(3), slog.New(slog.NewTextHandler(io.Discard, nil)))
		c.SetAllowance(Allowance{Requests: 1. / 3, Acceptance: 1. / 3, Leading: 1, AnyShardHasLeader: true}) // 8 changes per second
		time.Sleep(2 * time.Second)
		start := time.Now()
		if _ = c.WaitForSpareWrites(t.Context(), 4); time.Since(start) > 0 {
			t.Errorf("a background write waited for %v although there were no other writes", time.Since(start))
		}
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for c.changeLimiter.WaitN(ctx, 1) == nil {
			}
		}()
		time.Sleep(2 * time.Second)
		start = time.Now()
		for range 10 {
			_ = c.WaitForSpareWrites(ctx, 4)
		}
		// Each write of 4 changes takes 4 s at 1 change per second, plus up to one poll interval.
		if took := time.Since(start); took < 39*time.Second || took > 42*time.Second {
			t.Errorf("40 background changes took %v", took)
		}
		stop()
		synctest.Wait()
	})
}
