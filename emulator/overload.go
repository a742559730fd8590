package emulator

import "time"

// A backend in slow start collapses when it is sent OverloadFactor times what it could do within OverloadTime.

// arrivedWork is work that a backend was sent.
type arrivedWork struct {
	at      time.Duration
	seconds float64 // on a warm core
}

// slowdownChange is a change of how many times as long work takes.
type slowdownChange struct {
	at     time.Duration
	factor float64
}

// warmth returns how fast a core works without faults, as a share of a warm one.
func (b *Backend) warmth(now time.Duration) float64 {
	if b.config.SlowStartTime <= 0 {
		return 1
	}
	age := float64(now-b.startedAt) / float64(b.config.SlowStartTime)
	return b.config.SlowStartShare + (1-b.config.SlowStartShare)*min(1, max(0, age))
}

// speed returns how fast a core works now, as a share of a warm one.
func (b *Backend) speed(now time.Duration) float64 { return b.warmth(now) / b.slowdown() }

// canCollapse reports whether the backend is still in the time in which too much work makes it collapse.
func (b *Backend) canCollapse(now time.Duration) bool {
	return now-b.startedAt < b.config.SlowStartTime+b.config.OverloadTime
}

// noteSlowdown keeps the history of slowdowns. One that begins counts after OverloadTime only, so that the backend does
// not collapse from what was sent before anybody could notice that it is slow.
func (b *Backend) noteSlowdown(now time.Duration, on bool) {
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

// overloads adds work that was sent, and reports whether the backend collapses: it compares what was sent within
// OverloadTime with what the backend could do meanwhile, as if it had stood at its first speed before it started.
func (b *Backend) overloads(now time.Duration, seconds float64) bool {
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

// capacity returns what a core could do in the last OverloadTime, in seconds of work on a warm core.
func (b *Backend) capacity(now time.Duration) float64 {
	from, sum := now-b.config.OverloadTime, 0.0
	for i := len(b.slowdowns); i >= 0 && now > from; i-- {
		since, factor := from, 1.0 // before the first change
		if i > 0 {
			since, factor = max(from, b.slowdowns[i-1].at), b.slowdowns[i-1].factor
		}
		if since < now {
			sum += (b.warmth(since) + b.warmth(now)) / 2 * (now - since).Seconds() / factor
			now = since
		}
	}
	return sum
}
