package server

import (
	"testing"

	"sandyard/emulator"
)

// TestFaultControl: a fault that is set through the fault control affects the emulated backend until it is cleared. Malformed
// commands are rejected.
func TestFaultControl(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	addr, stop, err := ServeFaultControl("127.0.0.1:0", b)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	r := startGateway(t, "", "", b.Addr())
	request := request("GET", "/look", "ka", "")
	if err := SendFaultCommand(addr.String(), "set fault 1"); err != nil {
		t.Fatal(err)
	}
	if s := r.status(request); s != 503 {
		t.Errorf("%d", s)
	}
	if err := SendFaultCommand(addr.String(), "clear fault"); err != nil {
		t.Fatal(err)
	}
	if s := r.status(request); s != 200 {
		t.Errorf("%d", s)
	}
	for _, bad := range []string{"set", "set slow", "set nonsense", "what", "set slow x", "clear"} {
		if SendFaultCommand(addr.String(), bad) == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}
