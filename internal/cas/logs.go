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

// logs holds the output of running commands, for clients that follow it. A log is not a blob: it grows, has no
// digest, and is deleted after the retention time since its last write. When a command is run again, a new log
// replaces the old one and the readers of the old log are disconnected.
type logs struct {
	dir       string
	retention time.Duration

	mu    sync.Mutex
	files map[string]*logFile
}

// logFile is the state of one log. It is guarded by logs.mu.
type logFile struct {
	path       string
	size       int64
	finished   bool
	lastWrite  time.Time
	changed    chan struct{} // closed and replaced at every change
	superseded bool          // a new log of the same name has replaced it
}

// Limits of logs.
const (
	maxLogBytes     = 64 << 20 // of one log
	maxLogs         = 10_000   // logs at the same time
	maxLogNameBytes = 300      // of a log's resource name
)

// logPrefix precedes the name of a log in its resource name. It is also the name of the directory that holds logs.
const logPrefix = "logs"

// LogName returns the ByteStream resource name of a log.
func LogName(instance, name string) string {
	return strings.TrimPrefix(instance+"/"+logPrefix+"/"+name, "/")
}

// parseLog returns the name of the log that a resource name refers to, and whether it refers to a log.
func parseLog(resource string) (string, bool) {
	at := strings.Index("/"+resource, "/"+logPrefix+"/")
	if at < 0 || len(resource) > maxLogNameBytes {
		return "", false
	}
	return resource[at+len(logPrefix)+1:], true
}

// newLogs returns an empty set of logs in a directory. It deletes the logs of earlier processes.
func newLogs(dir string, retention time.Duration) (*logs, error) {
	l := &logs{dir: filepath.Join(dir, logPrefix), retention: max(retention, time.Minute), files: make(map[string]*logFile)}
	// Nobody follows logs from before a restart any more.
	return l, errors.Join(os.RemoveAll(l.dir), os.MkdirAll(l.dir, 0o755))
}

// create starts a log. It replaces an existing log of the same name, and deletes logs past the retention time.
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

// remove deletes a log and disconnects its readers. The caller holds the lock.
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

// appendTo appends to a log. Data beyond maxLogBytes is dropped.
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

// follow copies a log to w, starting at an offset, as it grows and until it is finished.
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

// copyAvailable copies the rest of a file from the current read position. It returns only errors of the destination.
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
