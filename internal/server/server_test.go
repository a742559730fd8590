package server

import (
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestClockIsMonotonic: a step of the system clock must not change the instance's time. Its start time must therefore have a
// monotonic clock reading.
func TestClockIsMonotonic(t *testing.T) {
	r := startGateway(t, "", "")
	if !strings.Contains(r.server.startTime.String(), "m=") {
		t.Error("the start time has no monotonic clock reading")
	}
}
