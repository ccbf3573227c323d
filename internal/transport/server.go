package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

const (
	// firstByteTimeout limits how long a new connection may stay open before its first byte arrives.
	firstByteTimeout = 30 * time.Second
	// refusalLogInterval is the minimum time between two log lines about refused connections:
	// a line for each would cost more than the refusal.
	refusalLogInterval = 10 * time.Second
	// stopTimeout limits how long gnet may take to stop its event loop.
	stopTimeout = 2 * time.Second

	readBufferBytes  = 16 << 10
	writeBufferBytes = 64 << 10
)

// server implements gnet's callbacks for one listening address.
type server struct {
	gnet.BuiltinEventEngine
	addr     string
	maxConns int64
	serve    ServeConn
	reject   Rejecter
	log      *slog.Logger

	// ctx is the context of run: gnet's callbacks take none.
	ctx     context.Context
	engine  gnet.Engine
	started atomic.Bool
	open    atomic.Int64
	serving sync.WaitGroup
	// refused counts the connections refused since lastWarning. Both are used on the event loop only.
	refused     int
	lastWarning time.Time
}

// run serves the address until the context ends, and returns once no connection is served
// any more.
func (s *server) run(ctx context.Context) error {
	s.ctx = ctx
	done := make(chan error, 1)
	go func() {
		done <- gnet.Run(s, "tcp://"+s.addr, gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(readBufferBytes), gnet.WithWriteBufferCap(writeBufferBytes),
			gnet.WithLogger(gnetLogger{s.log}), gnet.WithLogLevel(logging.ErrorLevel))
	}()
	select {
	case err := <-done:
		if err == nil {
			err = errors.New("listener ended")
		}
		return fmt.Errorf("listen on %s: %w", s.addr, err)
	case <-ctx.Done():
	}
	if s.started.Load() {
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		_ = s.engine.Stop(stop)
	}
	s.serving.Wait()
	return nil
}

// OnBoot is called by gnet once the listener is open.
func (s *server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	s.started.Store(true)
	return gnet.None
}

// OnOpen is called by gnet for each new connection.
func (s *server) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	if s.open.Add(1) > s.maxConns {
		s.refused++
		if now := time.Now(); now.Sub(s.lastWarning) > refusalLogInterval {
			s.log.Warn("connections refused: too many are open", "addr", s.addr, "limit", s.maxConns, "refused", s.refused)
			s.lastWarning, s.refused = now, 0
		}
		return nil, gnet.Close
	}
	c := &Conn{conn: g, wake: make(chan struct{}, 1)}
	c.firstByteTimer = time.AfterFunc(firstByteTimeout, func() { _ = c.Close() })
	g.SetContext(c)
	return nil, gnet.None
}

// startServing starts the goroutine that serves a connection.
func (s *server) startServing(c *Conn) {
	c.serving = true
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		defer c.Close()
		s.serve(s.ctx, c)
	}()
}

// OnClose is called by gnet when a connection is closed.
func (s *server) OnClose(g gnet.Conn, _ error) gnet.Action {
	s.open.Add(-1)
	if c, ok := g.Context().(*Conn); ok {
		c.firstByteTimer.Stop()
		c.markClosed()
	}
	return gnet.None
}

// OnTraffic is called by gnet when bytes have arrived.
func (s *server) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	b, _ := g.Next(-1)
	if !c.serving {
		c.firstByteTimer.Stop()
		if response := s.rejection(b); response != nil {
			_, _ = g.Write(response)
			return gnet.Close
		}
		s.startServing(c)
	}
	if !c.feed(b) {
		return gnet.Close
	}
	return gnet.None
}

// rejection returns the response that rejects a connection with these first bytes, or nil.
func (s *server) rejection(first []byte) []byte {
	if s.reject == nil {
		return nil
	}
	return s.reject(first)
}

// gnetLogger writes gnet's own messages to the log: warnings and errors at debug level, fatal errors at error level.
type gnetLogger struct{ log *slog.Logger }

func (l gnetLogger) Debugf(string, ...any)     {}
func (l gnetLogger) Infof(string, ...any)      {}
func (l gnetLogger) Warnf(f string, a ...any)  { l.log.Debug("gnet", "warn", f, "args", a) }
func (l gnetLogger) Errorf(f string, a ...any) { l.log.Debug("gnet", "error", f, "args", a) }
func (l gnetLogger) Fatalf(f string, a ...any) { l.log.Error("gnet", "fatal", f, "args", a) }
