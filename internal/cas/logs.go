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

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// logs hold what commands write while they run, for clients that follow them. A log is not a
// blob: it grows, has no digest, and is deleted some time after the last write. When a command
// is run again its log is replaced, and the readers of the old one are disconnected.
type logs struct {
	dir       string
	retention time.Duration

	mu   sync.Mutex
	open map[string]*logFile
}

// logFile is the state of one log; the lock of its logs guards it.
type logFile struct {
	path       string
	size       int64
	finished   bool
	lastWrite  time.Time
	changed    chan struct{} // closed at the next change
	superseded bool          // another log has replaced it
}

// Bounds of logs.
const (
	maxLog     = 64 << 20 // bytes of one
	maxLogs    = 10_000   // at once
	maxLogName = 300      // bytes of a resource name
)

// logPrefix precedes the name of a log in its resource name, and is the directory of logs.
const logPrefix = "logs"

// LogName returns the ByteStream resource name of a log.
func LogName(instance, name string) string {
	return strings.TrimPrefix(instance+"/"+logPrefix+"/"+name, "/")
}

// parseLog returns the name of the log that a resource name stands for, if it does.
func parseLog(resource string) (string, bool) {
	at := strings.Index("/"+resource, "/"+logPrefix+"/")
	if at < 0 || len(resource) > maxLogName {
		return "", false
	}
	return resource[at+len(logPrefix)+1:], true
}

// newLogs returns an empty set of logs in a directory, and deletes those of earlier processes.
func newLogs(dir string, keep time.Duration) (*logs, error) {
	l := &logs{dir: filepath.Join(dir, logPrefix), retention: max(keep, time.Minute), open: make(map[string]*logFile)}
	// The commands of an earlier process are not followed any more.
	return l, errors.Join(os.RemoveAll(l.dir), os.MkdirAll(l.dir, 0o755))
}

// create starts a log, and replaces one of the same name.
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

// remove deletes a log and disconnects its readers. The lock is held.
func (l *logs) remove(name string, g *logFile) {
	g.superseded = true
	close(g.changed)
	g.changed = make(chan struct{})
	delete(l.open, name)
	_ = os.Remove(g.path)
}

// find returns a log, or nil.
func (l *logs) find(name string) *logFile {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[name]
}

// appendTo appends to a log. What exceeds the bound is dropped.
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

// errSuperseded means that a new log of the same name has replaced this one.
var errSuperseded = errors.New("the log was begun anew")

// follow copies a log from an offset on to w as it grows, until it is finished.
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
		changed, finished, superseded := g.changed, g.finished, g.superseded
		l.mu.Unlock()
		if err := copyAvailable(w, f, buf); err != nil {
			return err
		}
		switch {
		case superseded:
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

// copyAvailable copies what a file holds now, from where it was last read. An error is that of
// the destination.
func copyAvailable(w io.Writer, f *os.File, buf []byte) error {
	for {
		n, err := f.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil {
			return werr
		}
		if err != nil {
			return nil
		}
	}
}
