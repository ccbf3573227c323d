package emulator

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestHeldMessages checks that messages sent during a cut with mode hold are delivered in order when the cut ends, even
// though the sender has closed the connection, and that those sent during a cut with mode lose never are.
func TestHeldMessages(t *testing.T) {
	l := newLinks()
	local, peer := endpoint{"n-1", "machines", "a"}, endpoint{"c-0", "controllers", "a"}
	for _, mode := range []string{"hold", "lose"} {
		a, b := net.Pipe()
		k := l.wrap(a, local, peer)
		lift := l.add(&rule{from: "machines", to: "c-0", mode: mode})
		for _, text := range []string{"one ", "two ", "three"} {
			if _, err := k.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
		}
		k.Close()
		got := make(chan string, 1)
		go func() {
			var out []byte
			buf := make([]byte, 64)
			for {
				n, err := b.Read(buf)
				out = append(out, buf[:n]...)
				if err != nil {
					got <- string(out)
					return
				}
			}
		}()
		lift()
		if text, want := <-got, map[string]string{"hold": "one two three", "lose": ""}[mode]; text != want {
			t.Errorf("%s: %q was delivered", mode, text)
		}
	}
}

// TestDialNeedsBothDirections checks that dialing fails while responses are lost, as on a real network.
func TestDialNeedsBothDirections(t *testing.T) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	l := newLinks()
	h := host{l, endpoint{"n-1", "machines", "a"}, func(string) endpoint { return endpoint{"c-0", "controllers", "a"} }}
	dial := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		c, err := h.Dial(ctx, lis.Addr().String())
		if err == nil {
			c.Close()
		}
		return err
	}
	lift := l.add(&rule{from: "c-0", to: "machines", mode: "lose"})
	if dial() == nil {
		t.Error("connected although packets of the peer are lost")
	}
	lift()
	if err := dial(); err != nil {
		t.Error(err)
	}
}
