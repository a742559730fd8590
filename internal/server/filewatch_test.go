package server

import (
	"testing"

	"sandyard/emulator"
)

// TestEndpointsFileReload: an endpoint file that can't be parsed leaves the old list in force; an empty one empties it;
// a good one is taken at once.
func TestEndpointsFileReload(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "", b.Addr())
	request := request("GET", "/look", "ka", "")
	r.replaceFile("boxes.yaml", "boxes: [{name: x, address")
	r.waitForLog("the last one stays in force")
	if s := r.status(request); s != 200 {
		t.Errorf("after a broken list: %d", s)
	}
	r.replaceFile("boxes.yaml", "boxes: []\n")
	r.waitForLog("boxes=0")
	if s := r.status(request); s != 503 {
		t.Errorf("without boxes: %d", s)
	}
	r.replaceFile("boxes.yaml", endpointsYAML(b.Addr()))
	r.waitForLog("boxes=1")
	if s := r.status(request); s != 200 {
		t.Errorf("the backend is listed again: %d", s)
	}
}
