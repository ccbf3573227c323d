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

// statusNoAnswer is the status of a request that is never answered while its connection stays open: the
// caller learns nothing until it times out.
const statusNoAnswer = -1

// serveHTTP serves requests through a function that gets path, query parameters and body. Status 0
// closes the connection without an answer.
func serveHTTP(f func(method, path string, query map[string]string, body []byte) (int, any)) transport.ServeConn {
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
			status, body := f(req.Method, req.Path, query, req.Body)
			if status == statusNoAnswer {
				_, _ = io.Copy(io.Discard, s)
				return
			}
			if status == 0 { // the request is dropped: the caller gets no answer
				return
			}
			resp := &httpwire.Response{Status: status, Body: encode(body)}
			if _, err := s.Write(httpwire.AppendResponse(nil, resp)); err != nil {
				return
			}
		}
	}
}

func unescape(v string) string {
	if text, err := url.QueryUnescape(v); err == nil {
		return text
	}
	return v
}

func encode(v any) []byte {
	if v == nil {
		return nil
	}
	return wire.Encode(v)
}
