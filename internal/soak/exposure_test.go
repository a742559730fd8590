package soak

import (
	"testing"
	"time"
)

// recordOf returns a record with SIGTERM at 10 s, a departure of backend 0 that is notified at the given time, and the attempts.
func recordOf(notifiedAt time.Duration, attempts ...receipt) *record {
	record := newRecord()
	record.termAt, record.endedAt = 10*time.Second, 13*time.Second
	record.notices = []notice{{Change: Change{Backend: 0, Kind: Drains}, notifiedAt: notifiedAt}}
	record.order = []*request{{attempts: attempts}}
	return record
}

// A run counts as having reached the race only if an attempt could have broken the drain rule. So a run that shows nothing about the
// rule can be distinguished from one that keeps it.
func TestExposure(t *testing.T) {
	attempt := func(backend int, at time.Duration) receipt { return receipt{backend: backend, firstByteAt: at} }
	const second, ms = time.Second, time.Millisecond
	for _, c := range []struct {
		name      string
		record    *record
		wanted    Exposure
		nearest   int64
		graceLeft int64
	}{
		{"an attempt after the grace reaches the race", recordOf(11*second, attempt(0, 11*second-30*ms), attempt(1, 11*second+201*ms)),
			Exposure{Departures: 1, AfterDeparture: 1, PastGrace: 1, ReachedRace: true}, 30, -1},
		{"an attempt within the grace does not reach it", recordOf(11*second, attempt(0, 11*second+150*ms)),
			Exposure{Departures: 1, AfterDeparture: 1}, 150, 50},
		{"a departure notified before SIGTERM does not count", recordOf(9*second, attempt(1, 11*second)), Exposure{}, -1, -1},
		{"a departure notified after the end does not count", recordOf(14*second, attempt(1, 12*second)), Exposure{}, -1, -1},
	} {
		exposure := (&run{record: c.record}).exposure()
		if got := millis(exposure.Nearest); got != c.nearest {
			t.Errorf("%s: nearest %d, want %d", c.name, got, c.nearest)
		}
		if got := millis(exposure.GraceLeft); got != c.graceLeft {
			t.Errorf("%s: grace left %d, want %d", c.name, got, c.graceLeft)
		}
		exposure.Nearest, exposure.GraceLeft = nil, nil
		if exposure != c.wanted {
			t.Errorf("%s: %+v, want %+v", c.name, exposure, c.wanted)
		}
	}
}

// millis returns a figure (ms), or -1 if it is nil.
func millis(figure *int64) int64 {
	if figure == nil {
		return -1
	}
	return *figure
}
