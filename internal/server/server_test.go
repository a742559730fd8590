package server

import (
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestClockIsMonotonic: a step of the machine's clock must not move the instance's time: its start has a monotonic
// reading.
func TestClockIsMonotonic(t *testing.T) {
	r := startGateway(t, "", "")
	if !strings.Contains(r.server.startTime.String(), "m=") {
		t.Error("the origin has no monotonic reading")
	}
}
