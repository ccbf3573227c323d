package action

import (
	"context"
	"io"
	"os"
	"time"

	"amberdeal.example/amberdeal/internal/cas"
)

// logPollInterval is the time between two copies of new output from a file to its log.
const logPollInterval = 100 * time.Millisecond

// streamLog copies a file, as it grows, to a log in the store until the command has ended. The log only serves
// users who watch the command, so errors of the store are ignored.
func (a *execution) streamLog(ctx context.Context, file, name string) {
	f, err := os.Open(file)
	if err != nil {
		return
	}
	defer f.Close()
	logCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the rest of the output is sent after ctx has ended
	defer cancel()
	log := &lazyLog{ctx: logCtx, client: a.client, name: name}
	t := time.NewTicker(logPollInterval)
	defer t.Stop()
	for ended := false; ; {
		if err := copyNew(log, f); err != nil {
			return
		}
		if ended {
			log.close()
			return
		}
		select {
		case <-ctx.Done():
			ended = true
		case <-t.C:
		}
	}
}

// logBufferBytes is the maximum size of the data in one write to a log.
const logBufferBytes = 32 << 10

// copyNew copies the data that was appended to a file since the last call. It returns only errors of the destination.
func copyNew(log io.Writer, f *os.File) error {
	buf := make([]byte, logBufferBytes)
	for {
		n, err := f.Read(buf)
		if n == 0 || err != nil {
			return nil
		}
		if _, err := log.Write(buf[:n]); err != nil {
			return err
		}
	}
}

// lazyLog is a log that is created by the first write, because most commands write nothing.
type lazyLog struct {
	ctx    context.Context // of the whole log
	client *cas.Client
	name   string
	log    *cas.Log
}

// Write appends to the log, which it creates if necessary.
func (l *lazyLog) Write(p []byte) (int, error) {
	if l.log == nil {
		log, err := l.client.Log(l.ctx, l.name)
		if err != nil {
			return 0, err
		}
		l.log = log
	}
	return l.log.Write(p)
}

// close finishes the log if it was created.
func (l *lazyLog) close() {
	if l.log != nil {
		_ = l.log.Close() // the log is optional, so an error is ignored
	}
}
