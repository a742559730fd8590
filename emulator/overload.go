package emulator

import "time"

// A backend in slow start collapses when the work that it is sent within OverloadTime exceeds OverloadFactor times its capacity
// in that time.

// arrivedWork is the work of a request that a backend was sent.
type arrivedWork struct {
	at      time.Duration
	seconds float64 // on a core at full speed
}

// slowdownChange is a change of the factor by which a fault prolongs work.
type slowdownChange struct {
	at     time.Duration
	factor float64
}

// slowStartSpeed returns the speed of a core without faults, as a share of its full speed.
func (b *Backend) slowStartSpeed(now time.Duration) float64 {
	if b.config.SlowStartTime <= 0 {
		return 1
	}
	age := float64(now-b.startedAt) / float64(b.config.SlowStartTime)
	return b.config.SlowStartShare + (1-b.config.SlowStartShare)*min(1, max(0, age))
}

// speed returns the speed of a core at now, as a share of its full speed.
func (b *Backend) speed(now time.Duration) float64 { return b.slowStartSpeed(now) / b.slowdown() }

// canCollapse reports whether too much work can make the backend collapse: during slow start and OverloadTime after it.
func (b *Backend) canCollapse(now time.Duration) bool {
	return now-b.startedAt < b.config.SlowStartTime+b.config.OverloadTime
}

// recordSlowdown adds the current slowdown to the history. The start of a slowdown counts only after OverloadTime, so that the
// backend does not collapse from work that was sent before a gateway could notice that it is slow.
func (b *Backend) recordSlowdown(now time.Duration, on bool) {
	if !b.canCollapse(now) {
		return
	}
	for n := len(b.slowdowns); n > 0 && b.slowdowns[n-1].at > now; n = len(b.slowdowns) {
		b.slowdowns = b.slowdowns[:n-1]
	}
	at := now
	if on {
		at += b.config.OverloadTime
	}
	b.slowdowns = append(b.slowdowns, slowdownChange{at, b.slowdown()})
}

// recordArrival adds the work of a request, in seconds, and reports whether the backend collapses: it compares the work sent
// within OverloadTime with the backend's capacity in that time. The time before the backend's start counts with the initial speed.
func (b *Backend) recordArrival(now time.Duration, seconds float64) bool {
	if b.config.OverloadFactor <= 0 || b.config.OverloadTime <= 0 || !b.canCollapse(now) {
		b.recentWork, b.slowdowns = nil, nil
		return false
	}
	b.recentWork = append(b.recentWork, arrivedWork{now, seconds})
	sum := 0.0
	first := len(b.recentWork)
	for i := len(b.recentWork) - 1; i >= 0 && b.recentWork[i].at > now-b.config.OverloadTime; i-- {
		sum, first = sum+b.recentWork[i].seconds, i
	}
	b.recentWork = b.recentWork[first:]
	return sum > b.config.OverloadFactor*b.capacity(now)*float64(b.config.Cores)
}

// capacity returns how much work a core could do in the last OverloadTime, in seconds of work at full speed.
func (b *Backend) capacity(now time.Duration) float64 {
	from, sum := now-b.config.OverloadTime, 0.0
	for i := len(b.slowdowns); i >= 0 && now > from; i-- {
		since, factor := from, 1.0 // before the first change
		if i > 0 {
			since, factor = max(from, b.slowdowns[i-1].at), b.slowdowns[i-1].factor
		}
		if since < now {
			sum += (b.slowStartSpeed(since) + b.slowStartSpeed(now)) / 2 * (now - since).Seconds() / factor
			now = since
		}
	}
	return sum
}
