package emulator

import (
	"time"

	"sandyard/fault"
)

// Set begins or ends a fault of the backend.
func (b *Backend) Set(now time.Duration, v fault.Verb, value float64, on bool) {
	if v == fault.Stall {
		b.setStalled(now, on)
	}
	if on {
		b.faults[v] = value
	} else {
		delete(b.faults, v)
	}
	if v == fault.Slow {
		b.recordSlowdown(now, on)
	}
}

// setStalled stops or resumes the backend. Work in progress continues where it stopped.
func (b *Backend) setStalled(now time.Duration, on bool) {
	switch {
	case on && b.stalledAt == 0:
		b.stalledAt = now
	case !on && b.stalledAt > 0:
		for _, jobs := range [2][]*Job{b.running, b.delayed} {
			for _, j := range jobs {
				j.endsAt += now - b.stalledAt
			}
		}
		b.stalledAt = 0
	}
}

func (b *Backend) hasFault(v fault.Verb) bool { _, ok := b.faults[v]; return ok }

// slowdown returns the factor by which a fault prolongs work; 1 without a fault.
func (b *Backend) slowdown() float64 {
	if factor, ok := b.faults[fault.Slow]; ok && factor > 0 {
		return factor
	}
	return 1
}
