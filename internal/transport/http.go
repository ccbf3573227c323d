package transport

import (
	"bufio"
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
)

// requestTimeout bounds how long one request may take to arrive completely.
const requestTimeout = 10 * time.Second

// requestBufferBytes is the size of the buffer that requests are parsed from.
const requestBufferBytes = 4 << 10

// Handler answers one request.
type Handler func(ctx context.Context, r *httpwire.Request) *httpwire.Response

// HTTP serves the requests of a connection one after the other, each with a body of at
// most limit bytes. It closes a connection whose peer is idle for longer than idle, or
// takes longer than requestTimeout to send one request.
func HTTP(limit int64, idle time.Duration, h Handler) ServeConn {
	return func(ctx context.Context, c Stream) {
		c.SetIdle(idle)
		stop := context.AfterFunc(ctx, func() { c.Close() })
		defer stop()
		r := bufio.NewReaderSize(c, requestBufferBytes)
		for {
			if _, err := r.Peek(1); err != nil {
				return
			}
			slow := time.AfterFunc(requestTimeout, func() { c.Close() })
			req, err := httpwire.ReadRequest(r, limit)
			slow.Stop()
			var fault *httpwire.Error
			switch {
			case errors.As(err, &fault):
				_, _ = c.Write(httpwire.AppendResponse(nil, &httpwire.Response{Status: fault.Status, Close: true}))
				return
			case err != nil:
				return
			}
			resp := h(ctx, req)
			resp.Close = resp.Close || req.Close
			if _, err := c.Write(httpwire.AppendResponse(nil, resp)); err != nil || resp.Close {
				return
			}
		}
	}
}
