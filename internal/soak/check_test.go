package soak

import (
	"testing"
	"time"
)

// Only attempts at backends that an older list named active again are not judged, and only until the instance is notified again.
func TestDrainsAreJudgedAroundOlderList(t *testing.T) {
	const second, ms = time.Second, time.Millisecond
	const grace = drainGrace + socketSlack
	drained := notice{Change: Change{Backend: 0, Kind: Drains}, notifiedAt: 11 * second}
	withdrawn := drained
	withdrawn.withdrawnAt = 12 * second
	again := notice{Change: drained.Change, notifiedAt: 12*second + 100*ms}
	for _, c := range []struct {
		name            string
		notices         []notice
		attemptAt       time.Duration
		broken          int
		afterWithdrawal int
	}{
		{"within the grace", []notice{drained}, 11*second + grace, 0, 0},
		{"past the grace", []notice{drained}, 11*second + grace + ms, 1, 0},
		{"past the grace, before the older list", []notice{withdrawn}, 12*second - ms, 1, 0},
		{"after the older list", []notice{withdrawn}, 12*second + ms, 0, 1},
		{"within the grace of the catching-up", []notice{withdrawn, again}, 12*second + 100*ms + grace, 0, 1},
		{"past the grace of the catching-up", []notice{withdrawn, again}, 12*second + 101*ms + grace, 1, 1},
	} {
		r := &run{record: recordOf(0, receipt{backend: 0, firstByteAt: c.attemptAt})}
		r.record.notices = c.notices
		if broken := len(r.checkDrains()); broken != c.broken {
			t.Errorf("%s: %d broken, want %d", c.name, broken, c.broken)
		}
		if count := r.attemptsAfterWithdrawal(); count != c.afterWithdrawal {
			t.Errorf("%s: %d attempts after the withdrawal, want %d", c.name, count, c.afterWithdrawal)
		}
	}
}
