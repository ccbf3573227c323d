package transport

import (
	"bufio"
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
)

// requestTimeout limits how long one request may take to arrive completely.
const requestTimeout = 10 * time.Second

// requestBufferBytes is the size of the buffer that requests are parsed from.
const requestBufferBytes = 4 << 10

// Handler handles one request and returns its response.
type Handler func(ctx context.Context, r *httpwire.Request) *httpwire.Response

// HTTP returns a ServeConn that serves the requests of a connection one after the other, each
// with a body of at most maxBody bytes. It closes a connection whose peer is idle for longer than
// maxIdleTime, or takes longer than requestTimeout to send one request.
func HTTP(maxBody int64, maxIdleTime time.Duration, handle Handler) ServeConn {
	return func(ctx context.Context, c Stream) {
		c.SetIdleTimeout(maxIdleTime)
		stop := context.AfterFunc(ctx, func() { c.Close() })
		defer stop()
		r := bufio.NewReaderSize(c, requestBufferBytes)
		for {
			if _, err := r.Peek(1); err != nil {
				return
			}
			requestTimer := time.AfterFunc(requestTimeout, func() { c.Close() })
			req, err := httpwire.ReadRequest(r, maxBody)
			requestTimer.Stop()
			var httpErr *httpwire.Error
			switch {
			case errors.As(err, &httpErr):
				_, _ = c.Write(httpwire.AppendResponse(nil, &httpwire.Response{Status: httpErr.Status, Close: true}))
				return
			case err != nil:
				return
			}
			resp := handle(ctx, req)
			resp.Close = resp.Close || req.Close
			if _, err := c.Write(httpwire.AppendResponse(nil, resp)); err != nil || resp.Close {
				return
			}
		}
	}
}
