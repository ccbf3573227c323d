package cas

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	bspb "google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// logs are what commands write while they run, for those who watch. They are no
// blobs: they grow, have no digest, and go some time after the last was written to
// them. A log that is begun anew, since its command is, sends its readers away.
type logs struct {
	dir       string
	retention time.Duration

	mu   sync.Mutex
	open map[string]*logFile
}

type logFile struct {
	path       string
	size       int64
	finished   bool
	lastWrite  time.Time
	changed    chan struct{} // closed at the next change
	superseded bool          // another has taken its place
}

// Bounds of logs.
const (
	maxLog    = 64 << 20
	maxLogs   = 10_000
	logPrefix = "logs"
)

// LogName names a log, as a ByteStream resource.
func LogName(instance, name string) string {
	return strings.TrimPrefix(instance+"/"+logPrefix+"/"+name, "/")
}

// parseLog reads the name of a log.
func parseLog(resource string) (string, bool) {
	at := strings.Index("/"+resource, "/"+logPrefix+"/")
	if at < 0 || len(resource) > 300 {
		return "", false
	}
	return resource[at+len(logPrefix)+1:], true
}

func newLogs(dir string, keep time.Duration) (*logs, error) {
	l := &logs{dir: filepath.Join(dir, logPrefix), retention: max(keep, time.Minute), open: make(map[string]*logFile)}
	// What an earlier run has left is of use to nobody.
	return l, errors.Join(os.RemoveAll(l.dir), os.MkdirAll(l.dir, 0o755))
}

// create starts a log, in the place of one of the same name.
func (l *logs) create(name string) (*logFile, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, g := range l.open {
		if time.Since(g.lastWrite) > l.retention {
			l.remove(other, g)
		}
	}
	if old := l.open[name]; old != nil {
		l.remove(name, old)
	}
	if len(l.open) >= maxLogs {
		return nil, fmt.Errorf("%w: %d logs", ErrFull, len(l.open))
	}
	f, err := os.CreateTemp(l.dir, "log-*")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	g := &logFile{path: f.Name(), lastWrite: time.Now(), changed: make(chan struct{})}
	l.open[name] = g
	return g, nil
}

// remove forgets a log and sends its readers away; the lock is held.
func (l *logs) remove(name string, g *logFile) {
	g.superseded = true
	close(g.changed)
	g.changed = make(chan struct{})
	delete(l.open, name)
	_ = os.Remove(g.path)
}

func (l *logs) find(name string) *logFile {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[name]
}

// appendTo appends to a log; what goes over the bound is left out.
func (l *logs) appendTo(g *logFile, data []byte, finished bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.superseded {
		return errSuperseded
	}
	data = data[:min(int64(len(data)), maxLog-g.size)]
	f, err := os.OpenFile(g.path, os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	g.size += int64(len(data))
	g.finished, g.lastWrite = g.finished || finished, time.Now()
	close(g.changed)
	g.changed = make(chan struct{})
	return nil
}

// errSuperseded means that another log has taken the place of this one.
var errSuperseded = errors.New("the log was begun anew")

// follow gives what is in a log from an offset on, as it grows, until it is
// finished.
func (l *logs) follow(ctx context.Context, name string, offset int64, w io.Writer) error {
	g := l.find(name)
	if g == nil {
		return fmt.Errorf("%w: log %s", ErrNotFound, name)
	}
	f, err := os.Open(g.path)
	if err != nil {
		return fmt.Errorf("%w: log %s", ErrNotFound, name)
	}
	defer f.Close()
	if _, err := f.Seek(offset, io.SeekStart); err != nil {
		return err
	}
	buf := make([]byte, 32<<10)
	for {
		l.mu.Lock()
		changed, finished, over := g.changed, g.finished, g.superseded
		l.mu.Unlock()
		for {
			n, err := f.Read(buf)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if err != nil {
				break
			}
		}
		switch {
		case over:
			return status.Error(codes.Aborted, errSuperseded.Error())
		case finished:
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// writeLog takes a log by ByteStream: offset 0 begins it anew.
func (s *Server) writeLog(name string, first *bspb.WriteRequest, in bspb.ByteStream_WriteServer) error {
	if first.WriteOffset != 0 {
		return status.Error(codes.OutOfRange, "write_offset: a log begins at 0")
	}
	g, err := s.disk.logs.create(name)
	if err != nil {
		return asStatus(err)
	}
	at := int64(0)
	for msg := first; ; {
		if msg.WriteOffset != at {
			return status.Errorf(codes.OutOfRange, "write_offset %d: must be %d", msg.WriteOffset, at)
		}
		at += int64(len(msg.Data))
		if err := s.disk.logs.appendTo(g, msg.Data, msg.FinishWrite); err != nil {
			return status.Error(codes.Aborted, err.Error())
		}
		if msg.FinishWrite {
			return in.SendAndClose(&bspb.WriteResponse{CommittedSize: at})
		}
		if msg, err = in.Recv(); err != nil {
			_ = s.disk.logs.appendTo(g, nil, true) // whoever wrote it is gone
			return err
		}
	}
}

// Log is a log that is being written.
type Log struct {
	out  bspb.ByteStream_WriteClient
	name string
	at   int64
	stop context.CancelFunc
}

// Log begins a log; it ends with the context at the latest.
func (c *Client) Log(ctx context.Context, name string) (*Log, error) {
	ctx, stop := context.WithCancel(ctx)
	out, err := c.stream.Write(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	return &Log{out: out, name: LogName(c.Instance, name), stop: stop}, nil
}

// Write appends to the log.
func (l *Log) Write(p []byte) (int, error) {
	err := l.out.Send(&bspb.WriteRequest{ResourceName: l.name, WriteOffset: l.at, Data: p})
	if err == nil {
		l.at += int64(len(p))
	}
	return len(p), err
}

// Close finishes the log.
func (l *Log) Close() error {
	defer l.stop()
	_ = l.out.Send(&bspb.WriteRequest{ResourceName: l.name, WriteOffset: l.at, FinishWrite: true})
	_, err := l.out.CloseAndRecv()
	return err
}

// FollowLog copies a log to w as it grows, and tells how much that was.
func (c *Client) FollowLog(ctx context.Context, resource string, w io.Writer) (n int64, err error) {
	in, err := c.stream.Read(ctx, &bspb.ReadRequest{ResourceName: resource})
	for err == nil {
		var msg *bspb.ReadResponse
		if msg, err = in.Recv(); err == nil {
			n += int64(len(msg.Data))
			_, err = w.Write(msg.Data)
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}
