package cas

import (
	"context"
	"errors"
	"fmt"
	"io"

	bspb "google.golang.org/genproto/googleapis/bytestream"
)

// Log is an io.WriteCloser that appends to a log in the store.
type Log struct {
	writeStream bspb.ByteStream_WriteClient
	name        string
	offset      int64
	cancel      context.CancelFunc
}

// Log starts a log. Cancelling the context ends it.
func (c *Client) Log(ctx context.Context, name string) (*Log, error) {
	ctx, cancel := context.WithCancel(ctx)
	writeStream, err := c.stream.Write(ctx)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("beginning log %s: %w", name, err)
	}
	return &Log{writeStream: writeStream, name: LogName(c.Instance, name), cancel: cancel}, nil
}

// Write appends to the log.
func (l *Log) Write(p []byte) (int, error) {
	err := l.writeStream.Send(&bspb.WriteRequest{ResourceName: l.name, WriteOffset: l.offset, Data: p})
	if err == nil {
		l.offset += int64(len(p))
	}
	return len(p), err
}

// Close marks the log as finished.
func (l *Log) Close() error {
	defer l.cancel()
	_ = l.writeStream.Send(&bspb.WriteRequest{ResourceName: l.name, WriteOffset: l.offset, FinishWrite: true})
	_, err := l.writeStream.CloseAndRecv()
	return err
}

// FollowLog copies a log to w as it grows, until it is finished. It returns the number of bytes copied.
func (c *Client) FollowLog(ctx context.Context, resource string, w io.Writer) (n int64, err error) {
	stream, err := c.stream.Read(ctx, &bspb.ReadRequest{ResourceName: resource})
	for err == nil {
		var msg *bspb.ReadResponse
		if msg, err = stream.Recv(); err == nil {
			n += int64(len(msg.Data))
			_, err = w.Write(msg.Data)
		}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, fmt.Errorf("reading log %s: %w", resource, err)
	}
	return n, nil
}
