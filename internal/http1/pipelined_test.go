package http1

import (
	"strings"
	"testing"
)

// TestCheckFollowing guards against a part of a body that is taken for another request: only a whole request line shows that
// another request follows, its beginning leaves that open, and all other text is a part of the body.
func TestCheckFollowing(t *testing.T) {
	const line = "VERSION-CONTROL /a?b=c HTTP/1.1\r\n"
	whole := "\r\n" + line + "Host: h\r\n\r\n"
	for n := range len(whole) {
		want := FollowingRequest
		switch {
		case n == 0 || n == len("\r\n"):
			want = FollowingNothing
		case n < len("\r\n"+line):
			want = FollowingPartialRequest
		}
		if got := CheckFollowing([]byte(whole[:n])); got != want {
			t.Errorf("%q: %v, want %v", whole[:n], got, want)
		}
	}
	for _, text := range []string{"TX", "WACO-TX", "GET", "GET /", "GET / HTTP/1.1 "[:14], "-", strings.Repeat("A", maxMethod)} {
		if got := CheckFollowing([]byte(text)); got != FollowingPartialRequest {
			t.Errorf("%q: %v, want a partial line", text, got)
		}
	}
	for _, text := range []string{"get / HTTP/1.1\r\n", " ", "{}", "GET\r\n", "GET /\r\n", "GET  HTTP/1.1", "GET / HTTP/1.x", "GET / HTTP/1.10", "GET / FTP",
		"GET /\x00", "GET /\r/", "\r\n\r\n", "\n", "GET / HTTP/1.1 ", "GET / HTTP/1\r\n", "GET / \r\n", strings.Repeat("A", maxMethod+1)} {
		if got := CheckFollowing([]byte(text)); got != FollowingExcess {
			t.Errorf("%q: %v, want a part of the body", text, got)
		}
	}
}
