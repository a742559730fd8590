package proxy

import (
	"strings"
	"testing"
)

// A response of more than limits.answer is malformed, by what its head claims as well as by what comes.
func TestOversizedResponsesAreMalformed(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.shared.Config.Limits.Response = 1 << 10
	for _, in := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 0x800)} {
		b := NewResponseReader(r.shared)
		b.Expect(&Exchange{Method: "GET"})
		if a := b.Feed([]byte(in)); a.Kind != Malformed {
			t.Errorf("%.60q: %+v", in, a.Kind)
		}
	}
}

// TestResponsesByClientVersion renders responses for clients of HTTP/1.0 and 1.1: how the body is framed, what becomes
// of trailers and of the connection, and what a HEAD and a 204 get.
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
		b := NewResponseReader(r.shared)
		b.Expect(ex)
		if a := b.Feed([]byte(c.answer)); a.Kind != Complete || !strings.Contains(string(a.Bytes), c.want) || strings.Contains(string(a.Bytes), c.not) {
			t.Errorf("%+v: %q", c, a.Bytes)
		}
	}
	client := r.newClientConn()
	ex := client.Feed(r.now, []byte("HEAD /look HTTP/1.1\r\nHost: h\r\nX-Api-Key: ka\r\n\r\n"))
	b := NewResponseReader(r.shared)
	b.Expect(ex)
	if a := b.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")); a.Kind != Complete || !strings.HasSuffix(string(a.Bytes), "Content-Length: 7\r\n\r\n") {
		t.Errorf("HEAD: %q", a.Bytes)
	}
}
