package server

import (
	"strings"
	"testing"
	"time"
)

// TestDelayedFileReadKeepsDrainGrace guards against attempts at a backend that has been missing from the endpoint file for more
// than the drain grace. The log record of one read of the file blocked, and the file was replaced meanwhile.
func TestDelayedFileReadKeepsDrainGrace(t *testing.T) {
	backend := startTimedBackend(t)
	text := strings.Replace(gatewayText, "boxes.yaml}", "boxes.yaml, drain-grace: "+testDrainGrace.String()+"}", 1)
	r := startGatewayOf(t, text, backend.addr)
	getRequest := request("GET", "/look", "ka", "")
	held, release := r.log.holdAt("list of boxes")
	t.Cleanup(release)
	r.replaceFile("boxes.yaml", endpointsYAML(backend.addr)+"\n")
	r.waitHeld(held)
	r.replaceFile("boxes.yaml", endpointsYAML())
	replacedAt := time.Now()
	time.Sleep(testDrainGrace + 2*socketSlack)
	r.status(getRequest)
	for _, request := range backend.received() {
		if late := request.firstByteAt.Sub(replacedAt); late > testDrainGrace+socketSlack {
			t.Errorf("a request arrived %v after its backend was removed from the file, want at most %v", late, testDrainGrace+socketSlack)
		}
	}
}
