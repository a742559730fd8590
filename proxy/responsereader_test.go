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
