package server

import (
	"testing"
	"time"

	"sandyard/emulator"
)

// TestExpiredReadDeadlineEndsOneRead: a read deadline that passes while an answer is awaited ends one read, not every read until the
// answer is there: the reader then turned as fast as it could.
func TestExpiredReadDeadlineEndsOneRead(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{Work: 300 * time.Millisecond}, nil)
	r := startGateway(t, "", "limits: {first-timeout: 50ms}\n", b.Addr())
	if s := r.status(request("GET", "/look", "ka", "")); s != 200 {
		t.Fatalf("%d", s)
	}
	if n := r.server.expiredReads.Load(); n > 2 {
		t.Errorf("%d reads ended by a deadline while one answer was awaited", n)
	}
}
