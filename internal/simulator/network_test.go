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

// TestHeldMessages checks that withheld and duplicated messages of a process arrive after the process
// has ended, and that the process can then send nothing more.
func TestHeldMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		n, start, received := NewNetwork(), time.Now(), []string{}
		go n.Host("10.0.0.2").Listen(t.Context(), "10.0.0.2:1", 0, func(_ context.Context, s transport.Stream) {
			for b := make([]byte, 9); ; {
				k, err := s.Read(b)
				if err != nil {
					return
				}
				mu.Lock()
				received = append(received, fmt.Sprint(string(b[:k]), " ", time.Since(start)))
				mu.Unlock()
			}
		})
		synctest.Wait()
		host := n.StartIncarnation("10.0.0.1")
		c, err := host.Dial(t.Context(), "10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("one"))
		n.Hold("10.0.0.1", 3*time.Second)
		n.Duplicate(func(from, _ string) time.Duration { return 9 * time.Second })
		_, _ = c.Write([]byte("two"))
		time.Sleep(time.Second)
		host.End()
		if _, err := c.Write([]byte("three")); err == nil {
			t.Error("the ended incarnation could still write")
		}
		if _, err := host.Dial(t.Context(), "10.0.0.2:1"); err == nil {
			t.Error("the ended incarnation could still dial")
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
