package simulator

import (
	"bufio"
	"context"
	"io"
	"net/url"
	"strings"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// statusNoAnswer is the status of a request that is never answered although its connection stays open, so
// that the caller waits until it times out.
const statusNoAnswer = -1

// serveHTTP returns a connection handler that answers each request with the status and body that handle
// returns. Status 0 closes the connection without an answer, statusNoAnswer leaves it open.
func serveHTTP(handle func(method, path string, query map[string]string, body []byte) (int, any)) transport.ServeConn {
	return func(_ context.Context, s transport.Stream) {
		r := bufio.NewReader(s)
		for {
			req, err := httpwire.ReadRequest(r, 1<<20)
			if err != nil {
				return
			}
			query := map[string]string{}
			for _, kv := range strings.Split(req.Query, "&") {
				k, v, _ := strings.Cut(kv, "=")
				query[k] = unescape(v)
			}
			status, body := handle(req.Method, req.Path, query, req.Body)
			if status == statusNoAnswer {
				_, _ = io.Copy(io.Discard, s)
				return
			}
			if status == 0 {
				return
			}
			resp := &httpwire.Response{Status: status, Body: encode(body)}
			if _, err := s.Write(httpwire.AppendResponse(nil, resp)); err != nil {
				return
			}
		}
	}
}

// unescape decodes a query parameter, or returns it unchanged if it is not correctly escaped.
func unescape(v string) string {
	if text, err := url.QueryUnescape(v); err == nil {
		return text
	}
	return v
}

// encode encodes a response body; nil stands for an empty one.
func encode(v any) []byte {
	if v == nil {
		return nil
	}
	return wire.Encode(v)
}
