package server

import (
	"strings"
	"testing"
	"time"
)

// TestHeldUpFileReadingKeepsDrainGrace: a reading of the endpoint file was held up by its log record, and the file was replaced
// meanwhile: attempts went to a backend that the file had left out for more than the drain grace.
func TestHeldUpFileReadingKeepsDrainGrace(t *testing.T) {
	backend := startTimedBackend(t)
	text := strings.Replace(gatewayText, "boxes.yaml}", "boxes.yaml, drain-grace: "+testDrainGrace.String()+"}", 1)
	r := startGatewayOf(t, text, backend.addr)
	fetch := request("GET", "/look", "ka", "")
	held, release := r.log.holdAt("list of boxes")
	t.Cleanup(release)
	r.replaceFile("boxes.yaml", endpointsYAML(backend.addr)+"\n")
	r.waitHeld(held)
	r.replaceFile("boxes.yaml", endpointsYAML())
	replacedAt := time.Now()
	time.Sleep(testDrainGrace + 2*socketSlack)
	r.status(fetch)
	for _, request := range backend.received() {
		if late := request.firstByteAt.Sub(replacedAt); late > testDrainGrace+socketSlack {
			t.Errorf("a request came %v after its backend was left out; allowed are %v", late, testDrainGrace+socketSlack)
		}
	}
}
