package decision_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"sandyard/decision"
)

// Invalid settings give an error with the place. Settings with absent values are valid and work.
func TestBadSettings(t *testing.T) {
	for _, c := range []struct {
		place  string
		change func(*decision.Settings)
	}{
		{"classes", func(s *decision.Settings) { s.Classes = nil }},
		{"plan 0", func(s *decision.Settings) { s.Plans[0].Rate = -1 }},
		{"plan 0", func(s *decision.Settings) { s.Plans[0].Burst = math.NaN() }},
		{"class 0", func(s *decision.Settings) { s.Classes[0].LatencyObjective = -1 }},
	} {
		set := basicSettings()
		c.change(&set)
		_, _, err := decision.New(set, 1, 0)
		var place *decision.SettingsError
		if !errors.Is(err, decision.ErrBadSettings) || !errors.As(err, &place) || place.Place != c.place {
			t.Errorf("error %v for %+v, want one at %s", err, set, c.place)
		}
	}
	set := basicSettings()
	set.SlowStartShare, set.MaxAttempts, set.Instances, set.OverloadTime, set.SlowStartTime = 0, 0, 0, 0, 0
	set.Classes[0].LatencyObjective = 0
	driver := startDriver(t, set, 0, upEndpoints(1)...)
	driver.request("a", 0, 0)
	driver.advance(3 * time.Second)
}
