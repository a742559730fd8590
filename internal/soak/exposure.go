package soak

import (
	"fmt"
	"time"
)

// Exposure reports whether a run could have broken the rule "drains kept" during the shutdown. A departure is a notice that a
// backend drains, is removed or is omitted from a full list. Only departures count of which the instance counts as notified after
// SIGTERM, or from the start of the process.
//
// A run reached the race of a shutdown with a departure if an attempt at any backend began more than the drain grace after the
// departure: only such an attempt can distinguish an instance that follows the departure from one that does not. A run that did
// not reach the race shows nothing about drains during a shutdown, whether or not a rule was broken.
type Exposure struct {
	Departures     int    `json:"departures"`
	AfterDeparture int    `json:"attempts_after_departure"` // attempts that began after the first departure
	PastGrace      int    `json:"attempts_past_grace"`      // attempts that began more than the drain grace after a departure
	ReachedRace    bool   `json:"met_crossing"`
	Nearest        *int64 `json:"nearest_last_attempt_ms,omitempty"` // least time between a departure and the last attempt at its backend, before or after (ms)
	GraceLeft      *int64 `json:"grace_left_ms,omitempty"`           // least remaining grace when the last attempt at a departed backend began (ms); below 0: it began after the grace
}

// exposure returns the exposure of the run. The mutex of the record must be held.
func (r *run) exposure() Exposure {
	var departures []notice
	for _, notice := range r.record.notices {
		if (notice.notifiedAtStart || notice.notifiedAt >= r.record.termAt) && notice.notifiedAt < r.record.endedAt {
			departures = append(departures, notice)
		}
	}
	exposure := Exposure{Departures: len(departures)}
	for _, departure := range departures {
		if at, found := r.lastAttemptAt(departure.Backend); found && !departure.isWithdrawn(at) {
			exposure.noteLastAttempt(at - departure.notifiedAt)
		}
	}
	for _, req := range r.record.order {
		for _, attempt := range req.attempts {
			exposure.noteAttempt(attempt, departures)
		}
	}
	exposure.ReachedRace = exposure.PastGrace > 0
	return exposure
}

// lastAttemptAt returns when the last attempt at a backend began, and whether there was one.
func (r *run) lastAttemptAt(backend int) (at time.Duration, found bool) {
	for _, req := range r.record.order {
		for _, attempt := range req.attempts {
			if attempt.backend == backend {
				at, found = max(at, attempt.firstByteAt), true
			}
		}
	}
	return at, found
}

// noteLastAttempt records the time from the departure of a backend to the beginning of the last attempt there.
func (e *Exposure) noteLastAttempt(after time.Duration) {
	keepMin(&e.Nearest, after.Abs())
	if after > 0 {
		keepMin(&e.GraceLeft, drainGrace-after)
	}
}

// noteAttempt counts an attempt if it began after a departure.
func (e *Exposure) noteAttempt(attempt receipt, departures []notice) {
	isAfter, isPastGrace := false, false
	for _, departure := range departures {
		after := attempt.firstByteAt - departure.notifiedAt
		isAfter = isAfter || after > 0
		isPastGrace = isPastGrace || after > drainGrace
	}
	if isAfter {
		e.AfterDeparture++
	}
	if isPastGrace {
		e.PastGrace++
	}
}

// keepMin lowers *least to d (ms) if d is less or if *least is not set.
func keepMin(least **int64, d time.Duration) {
	if ms := d.Milliseconds(); *least == nil || ms < **least {
		*least = &ms
	}
}

// String describes the exposure.
func (e Exposure) String() string {
	race := "crossing not met"
	if e.ReachedRace {
		race = "crossing met"
	}
	text := fmt.Sprintf("%d departures since SIGTERM, %d attempts after one, %d past its grace", e.Departures, e.AfterDeparture, e.PastGrace)
	if e.Nearest != nil {
		text += fmt.Sprintf(", the last at its backend %d ms from it", *e.Nearest)
	}
	if e.GraceLeft != nil {
		text += fmt.Sprintf(", %d ms of grace left", *e.GraceLeft)
	}
	return text + "; " + race
}
