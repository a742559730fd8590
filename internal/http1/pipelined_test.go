package http1

import "testing"

// TestMayBeginRequest checks which bytes behind a body can begin another request, whole or in part.
func TestMayBeginRequest(t *testing.T) {
	whole := "\r\nVERSION-CONTROL /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n"
	for n := range len(whole) {
		if !MayBeginRequest([]byte(whole[:n])) {
			t.Errorf("%q can't begin a request", whole[:n])
		}
	}
	for _, text := range []string{"get / HTTP/1.1\r\n", " ", "{}", "GET\r\n", "GET /\r\n", "GET  HTTP/1.1", "GET / HTTP/1.x", "GET / HTTP/1.10", "GET / FTP",
		"GET /\x00", "GET /\r/", "\r\n\r\n", "\n", "GET / HTTP/1.1 ", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"} {
		if MayBeginRequest([]byte(text)) {
			t.Errorf("%q begins a request", text)
		}
	}
}
