package simulator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
)

// TestHeldMessages checks that the last messages of a process arrive after its end, and some of
// them twice.
func TestHeldMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		n, begun, received := NewNetwork(), time.Now(), []string{}
		go n.Host("10.0.0.2").Listen(t.Context(), "10.0.0.2:1", 0, func(_ context.Context, s transport.Stream) {
			for b := make([]byte, 9); ; {
				k, err := s.Read(b)
				if err != nil {
					return
				}
				mu.Lock()
				received = append(received, fmt.Sprint(string(b[:k]), " ", time.Since(begun)))
				mu.Unlock()
			}
		})
		synctest.Wait()
		life := n.StartIncarnation("10.0.0.1")
		c, err := life.Dial(t.Context(), "10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("one"))
		n.Hold("10.0.0.1", 3*time.Second)
		n.Duplicate(func(from, _ string) time.Duration { return 9 * time.Second })
		_, _ = c.Write([]byte("two"))
		time.Sleep(time.Second)
		life.End()
		if _, err := c.Write([]byte("three")); err == nil {
			t.Error("the dead write")
		}
		if _, err := life.Dial(t.Context(), "10.0.0.2:1"); err == nil {
			t.Error("the dead dial")
		}
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		if got := fmt.Sprint(received); got != "[one 0s two 3s two 9s]" {
			t.Errorf("received: %s", got)
		}
		n.Close()
	})
}
