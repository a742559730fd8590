package proxy

import (
	"strings"
	"testing"
)

// A response larger than limits.answer is malformed, whether by its Content-Length or by the received bytes.
func TestOversizedResponsesAreMalformed(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.shared.Config.Limits.Response = 1 << 10
	for _, in := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 0x800)} {
		reader := NewResponseReader(r.shared)
		reader.Expect(&Exchange{Method: "GET"})
		if response := reader.Feed([]byte(in)); response.Kind != Malformed {
			t.Errorf("%.60q: %+v", in, response.Kind)
		}
	}
}

// TestResponsesByClientVersion checks the responses that HTTP/1.0 and HTTP/1.1 clients get: the framing of the body,
// trailers, the Connection field, and responses to HEAD and with status 204.
func TestResponsesByClientVersion(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	for _, c := range []struct{ version, conn, answer, want, not string }{
		{"1.0", "", ok200, "Connection: close", "chunked"},
		{"1.0", "Connection: keep-alive\r\n", ok200, "Connection: keep-alive", "chunked"},
		{"1.1", "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: v\r\n\r\n", "T: v\r\n", "Content-Length"},
		{"1.0", "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: v\r\n\r\n", "Content-Length: 2", "T: v"},
		{"1.1", "", "HTTP/1.1 204 No Content\r\n\r\n", "204", "Content-Length"},
	} {
		client := r.newClientConn()
		ex := client.Feed(r.now, []byte("GET /look HTTP/"+c.version+"\r\nHost: h\r\nX-Api-Key: ka\r\n"+c.conn+"\r\n"))
		reader := NewResponseReader(r.shared)
		reader.Expect(ex)
		if response := reader.Feed([]byte(c.answer)); response.Kind != Complete || !strings.Contains(string(response.Bytes), c.want) || strings.Contains(string(response.Bytes), c.not) {
			t.Errorf("%+v: %q", c, response.Bytes)
		}
	}
	client := r.newClientConn()
	ex := client.Feed(r.now, []byte("HEAD /look HTTP/1.1\r\nHost: h\r\nX-Api-Key: ka\r\n\r\n"))
	reader := NewResponseReader(r.shared)
	reader.Expect(ex)
	if response := reader.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")); response.Kind != Complete || !strings.HasSuffix(string(response.Bytes), "Content-Length: 7\r\n\r\n") {
		t.Errorf("HEAD: %q", response.Bytes)
	}
}

// TestTrailingBytesAreMalformed guards against serving a part of a response as a complete one: its stated length was too short,
// and the rest of it was received with it.
func TestTrailingBytesAreMalformed(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	probe := &Exchange{Method: "GET", isProbe: true}
	request := &Exchange{Method: "GET", MinorVersion: 1}
	for name, c := range map[string]struct {
		exchange *Exchange
		in       string
	}{
		"half of a body":          {request, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n0123456789"},
		"last byte missing":       {request, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n0123456789"},
		"nothing of a body":       {request, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n0123456789"},
		"early last chunk":        {request, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n56789"},
		"interim response before": {request, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n0123456789"},
		"another status":          {request, "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\n0123456789"},
		"second response":         {request, ok200 + ok200},
		"health check":            {probe, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n0123456789"},
	} {
		reader := NewResponseReader(r.shared)
		reader.Expect(c.exchange)
		if response := reader.Feed([]byte(c.in)); response.Kind != Malformed || !response.TrailingBytes || len(response.Bytes) > 0 {
			t.Errorf("%s: %+v", name, response)
		}
	}
}

// TestTrailingBytesAfterBodilessResponse checks that a response that has no body is complete although a body follows it, as from
// backends that send one to HEAD as well. Its connection can't be used again.
func TestTrailingBytesAfterBodilessResponse(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	for name, c := range map[string]struct{ method, in string }{
		"HEAD": {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"},
		"204":  {"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 10\r\n\r\n0123456789"},
		"304":  {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n0123456789"},
	} {
		reader := NewResponseReader(r.shared)
		reader.Expect(&Exchange{Method: c.method, MinorVersion: 1})
		response := reader.Feed([]byte(c.in))
		if response.Kind != Complete || response.ReuseConn || strings.Contains(string(response.Bytes), "0123") {
			t.Errorf("%s: %+v", name, response)
		}
	}
}
