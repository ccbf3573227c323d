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

// pipe is an in-memory Stream for tests.
type pipe struct {
	net.Conn
	idle time.Duration
}

func (p *pipe) SetIdleTimeout(d time.Duration) { p.idle = d }

func (p *pipe) Read(b []byte) (int, error) {
	_ = p.SetReadDeadline(time.Now().Add(p.idle))
	return p.Conn.Read(b)
}

func echo(_ context.Context, r *httpwire.Request) *httpwire.Response {
	return &httpwire.Response{Status: 200, Body: []byte(r.Path)}
}

// TestSlowPeers checks that the connection of a peer that sends a byte now and then, or nothing
// at all, is closed after a limited time instead of staying open indefinitely.
func TestSlowPeers(t *testing.T) {
	for name, every := range map[string]time.Duration{"slow": time.Second, "silent": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				closedAfter := make(chan time.Duration, 1)
				start := time.Now()
				go func() {
					HTTP(1024, 30*time.Second, echo)(t.Context(), &pipe{Conn: server})
					server.Close()
					closedAfter <- time.Since(start)
				}()
				go func() {
					defer client.Close()
					for time.Since(start) < 2*time.Minute {
						time.Sleep(every)
						if _, err := client.Write([]byte("G")); err != nil {
							return
						}
					}
				}()
				if elapsed := <-closedAfter; elapsed > 31*time.Second {
					t.Errorf("open for %v", elapsed)
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestRealConnections serves TCP connections: requests one after the other, two requests in one
// packet, one whose body is too large, and the end of the context.
func TestRealConnections(t *testing.T) {
	addr := freeAddr(t)
	ctx, stop := context.WithCancel(t.Context())
	network, done := TCPNetwork{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, make(chan error, 1)
	go func() { done <- network.Listen(ctx, addr, 10, HTTP(64, time.Minute, echo)) }()
	caller := &Client{MaxBody: 1024, Dial: network.Dial}
	callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for _, path := range []string{"/a", "/b"} {
		resp, err := caller.Call(callCtx, addr, "GET", path, nil)
		for err != nil && callCtx.Err() == nil { // until the listener is open
			resp, err = caller.Call(callCtx, addr, "GET", path, nil)
		}
		if err != nil || string(resp.Body) != path {
			t.Fatalf("%s: %v, %v", path, resp, err)
		}
	}
	for text, want := range map[string]int{
		"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n": 2,
		"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n":                        1,
	} {
		conn, err := network.Dial(callCtx, addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, text)
		got, _ := io.ReadAll(conn)
		if n := strings.Count(string(got), "HTTP/1.1 200 OK"); n != want {
			t.Errorf("%q: %d answers in %q", text, n, got)
		}
	}
	conn, err := network.Dial(callCtx, addr)
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

// TestHangingPeersUseFewThreads checks that a thousand calls that wait for a response and a thousand connections whose
// handler does not return use goroutines but hardly any threads: a process may have at most 2,000 threads.
func TestHangingPeersUseFewThreads(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	network, addr := TCPNetwork{Log: slog.New(slog.DiscardHandler)}, freeAddr(t)
	var hanging atomic.Int64
	done := make(chan error, 1)
	go func() {
		done <- network.Listen(ctx, addr, 5000, HTTP(64, time.Minute, func(ctx context.Context, _ *httpwire.Request) *httpwire.Response {
			hanging.Add(1)
			<-ctx.Done()
			return &httpwire.Response{Status: 503}
		}))
	}()
	callCtx, cancel := context.WithTimeout(ctx, time.Minute)
	caller := &Client{MaxBody: 64, Dial: network.Dial}
	var group sync.WaitGroup
	for range 1000 {
		group.Add(1)
		go func() {
			defer group.Done()
			for callCtx.Err() == nil { // until the listener is open
				_, _ = caller.Call(callCtx, addr, "GET", "/", nil)
			}
		}()
	}
	for hanging.Load() < 1000 && callCtx.Err() == nil {
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

// TestRejectedConnections checks that connections that are rejected by their first bytes get the response and are
// closed, and that the others are served.
func TestRejectedConnections(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	network, addr := TCPNetwork{Log: slog.New(slog.DiscardHandler)}, freeAddr(t)
	done := make(chan error, 1)
	go func() {
		done <- network.ListenRejecting(ctx, addr, 10, HTTP(64, time.Minute, echo), func(first []byte) []byte {
			if bytes.HasPrefix(first, []byte("POST /crowd ")) {
				return httpwire.AppendResponse(nil, &httpwire.Response{Status: 421, Close: true})
			}
			return nil
		})
	}()
	caller := &Client{MaxBody: 1024, Dial: network.Dial}
	callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for _, c := range []struct {
		method, path string
		want         int
	}{{"GET", "/a", 200}, {"POST", "/crowd", 421}, {"POST", "/crowd", 421}, {"GET", "/b", 200}} {
		fresh := &Client{MaxBody: 1024, Dial: network.Dial}
		if c.want == 200 {
			fresh = caller
		}
		resp, err := fresh.Call(callCtx, addr, c.method, c.path, nil)
		for err != nil && callCtx.Err() == nil { // until the listener is open
			resp, err = fresh.Call(callCtx, addr, c.method, c.path, nil)
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
