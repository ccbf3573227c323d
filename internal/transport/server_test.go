package transport

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
)

// pipe is an accepted connection for tests.
type pipe struct {
	net.Conn
	idle time.Duration
}

func (p *pipe) SetIdle(d time.Duration) { p.idle = d }

func (p *pipe) Read(b []byte) (int, error) {
	_ = p.SetReadDeadline(time.Now().Add(p.idle))
	return p.Conn.Read(b)
}

func echo(_ context.Context, r *httpwire.Request) *httpwire.Response {
	return &httpwire.Response{Status: 200, Body: []byte(r.Path)}
}

// TestSlowPeers: a peer that sends a byte now and then, or nothing at all, is
// closed within bounds; it can't hold a connection for ever.
func TestSlowPeers(t *testing.T) {
	for name, every := range map[string]time.Duration{"slow": time.Second, "silent": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := net.Pipe()
				over := make(chan time.Duration, 1)
				begun := time.Now()
				go func() {
					HTTP(1024, 30*time.Second, echo)(t.Context(), &pipe{Conn: b})
					b.Close()
					over <- time.Since(begun)
				}()
				go func() {
					defer a.Close()
					for time.Since(begun) < 2*time.Minute {
						time.Sleep(every)
						if _, err := a.Write([]byte("G")); err != nil {
							return
						}
					}
				}()
				if took := <-over; took > 31*time.Second {
					t.Errorf("open for %v", took)
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// freeAddr gives an address on loopback that nobody listens on.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestRealConnections serves real connections: requests one after the other, two at
// once in one packet, a malformed one, and the end of the context.
func TestRealConnections(t *testing.T) {
	addr := freeAddr(t)
	ctx, stop := context.WithCancel(t.Context())
	network, done := Sockets{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, make(chan error, 1)
	go func() { done <- network.Listen(ctx, addr, 10, HTTP(64, time.Minute, echo)) }()
	caller := &Caller{MaxBody: 1024, Dial: network.Dial}
	call, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for _, path := range []string{"/a", "/b"} {
		resp, err := caller.Call(call, addr, "GET", path, nil)
		for err != nil && call.Err() == nil { // until the listener is there
			resp, err = caller.Call(call, addr, "GET", path, nil)
		}
		if err != nil || string(resp.Body) != path {
			t.Fatalf("%s: %v, %v", path, resp, err)
		}
	}
	for text, want := range map[string]int{
		"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n": 2,
		"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n":                        1,
	} {
		conn, err := network.Dial(call, addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, text)
		got, _ := io.ReadAll(conn)
		if n := strings.Count(string(got), "HTTP/1.1 200 OK"); n != want {
			t.Errorf("%q: %d answers in %q", text, n, got)
		}
	}
	conn, err := network.Dial(call, addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nContent-Length: 65\r\n\r\n")
	if got, _ := io.ReadAll(conn); !strings.HasPrefix(string(got), "HTTP/1.1 413") {
		t.Errorf("too large: %q", got)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestHangingPeersUseFewThreads: a thousand peers that never answer and a thousand that never ask cost
// goroutines, and hardly a thread: a process may have 2,000 of them at the most.
func TestHangingPeersUseFewThreads(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	network, addr := Sockets{Log: slog.New(slog.DiscardHandler)}, freeAddr(t)
	var hanging atomic.Int64
	done := make(chan error, 1)
	go func() {
		done <- network.Listen(ctx, addr, 5000, HTTP(64, time.Minute, func(ctx context.Context, _ *httpwire.Request) *httpwire.Response {
			hanging.Add(1)
			<-ctx.Done()
			return &httpwire.Response{Status: 503}
		}))
	}()
	call, cancel := context.WithTimeout(ctx, time.Minute)
	caller := &Caller{MaxBody: 64, Dial: network.Dial}
	var group sync.WaitGroup
	for range 1000 {
		group.Add(1)
		go func() {
			defer group.Done()
			for call.Err() == nil { // until the listener is there
				_, _ = caller.Call(call, addr, "GET", "/", nil)
			}
		}()
	}
	for hanging.Load() < 1000 && call.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if n := pprof.Lookup("threadcreate").Count(); n > 200 || hanging.Load() < 1000 {
		t.Errorf("%d threads while %d calls hang", n, hanging.Load())
	}
	cancel()
	group.Wait()
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestRejectedConnections: peers that are turned away by their first bytes get their answer and are
// closed, whoever else is connected; others are served.
func TestRejectedConnections(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	network, addr := Sockets{Log: slog.New(slog.DiscardHandler)}, freeAddr(t)
	done := make(chan error, 1)
	go func() {
		done <- network.ListenRejecting(ctx, addr, 10, HTTP(64, time.Minute, echo), func(first []byte) []byte {
			if bytes.HasPrefix(first, []byte("POST /crowd ")) {
				return httpwire.AppendResponse(nil, &httpwire.Response{Status: 421, Close: true})
			}
			return nil
		})
	}()
	caller := &Caller{MaxBody: 1024, Dial: network.Dial}
	call, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for _, c := range []struct {
		method, path string
		want         int
	}{{"GET", "/a", 200}, {"POST", "/crowd", 421}, {"POST", "/crowd", 421}, {"GET", "/b", 200}} {
		fresh := &Caller{MaxBody: 1024, Dial: network.Dial}
		if c.want == 200 {
			fresh = caller
		}
		resp, err := fresh.Call(call, addr, c.method, c.path, nil)
		for err != nil && call.Err() == nil { // until the listener is there
			resp, err = fresh.Call(call, addr, c.method, c.path, nil)
		}
		if err != nil || resp.Status != c.want || resp.Close != (c.want == 421) {
			t.Errorf("%s: %+v, %v", c.path, resp, err)
		}
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
