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

	mu    sync.Mutex
	files map[string]*logFile
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
	maxLogBytes     = 64 << 20 // bytes of one
	maxLogs         = 10_000   // at once
	maxLogNameBytes = 300      // bytes of a resource name
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
	if at < 0 || len(resource) > maxLogNameBytes {
		return "", false
	}
	return resource[at+len(logPrefix)+1:], true
}

// newLogs returns an empty set of logs in a directory, and deletes those of earlier processes.
func newLogs(dir string, retention time.Duration) (*logs, error) {
	l := &logs{dir: filepath.Join(dir, logPrefix), retention: max(retention, time.Minute), files: make(map[string]*logFile)}
	// The commands of an earlier process are not followed any more.
	return l, errors.Join(os.RemoveAll(l.dir), os.MkdirAll(l.dir, 0o755))
}

// create starts a log, and replaces one of the same name.
func (l *logs) create(name string) (*logFile, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, log := range l.files {
		if time.Since(log.lastWrite) > l.retention {
			l.remove(other, log)
		}
	}
	if old := l.files[name]; old != nil {
		l.remove(name, old)
	}
	if len(l.files) >= maxLogs {
		return nil, fmt.Errorf("%w: %d logs", ErrFull, len(l.files))
	}
	f, err := os.CreateTemp(l.dir, "log-*")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	log := &logFile{path: f.Name(), lastWrite: time.Now(), changed: make(chan struct{})}
	l.files[name] = log
	return log, nil
}

// remove deletes a log and disconnects its readers. The lock is held.
func (l *logs) remove(name string, file *logFile) {
	file.superseded = true
	close(file.changed)
	file.changed = make(chan struct{})
	delete(l.files, name)
	_ = os.Remove(file.path)
}

// find returns a log, or nil.
func (l *logs) find(name string) *logFile {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.files[name]
}

// appendTo appends to a log. What exceeds the bound is dropped.
func (l *logs) appendTo(file *logFile, data []byte, finished bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if file.superseded {
		return errSuperseded
	}
	data = data[:min(int64(len(data)), maxLogBytes-file.size)]
	f, err := os.OpenFile(file.path, os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	file.size += int64(len(data))
	file.finished, file.lastWrite = file.finished || finished, time.Now()
	close(file.changed)
	file.changed = make(chan struct{})
	return nil
}

// errSuperseded means that a new log of the same name has replaced this one.
var errSuperseded = errors.New("the log was begun anew")

// follow copies a log from an offset on to w as it grows, until it is finished.
func (l *logs) follow(ctx context.Context, name string, offset int64, w io.Writer) error {
	file := l.find(name)
	if file == nil {
		return fmt.Errorf("%w: log %s", ErrNotFound, name)
	}
	f, err := os.Open(file.path)
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
		changed, finished, superseded := file.changed, file.finished, file.superseded
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
