package soak

import (
	"fmt"
	"time"
)

// Exposure tells how far a run met what "drains kept" is about in a shutdown. A departure is a notice that a backend drains,
// is removed or is left out, and that counts as told since SIGTERM, or from the first moment of the process.
//
// A run met the crossing if an attempt began, at any backend, more than the grace after a departure: only such an attempt can
// tell an instance that goes by the departure from one that does not. A run that did not meet it shows nothing about drains
// there, whether or not a rule was broken.
type Exposure struct {
	Departures     int    `json:"departures"`
	AfterDeparture int    `json:"attempts_after_departure"` // that began after the first departure
	PastGrace      int    `json:"attempts_past_grace"`      // that began more than the grace after a departure
	MetCrossing    bool   `json:"met_crossing"`
	Nearest        *int64 `json:"nearest_last_attempt_ms,omitempty"` // least time between a departure and the last attempt at that backend, before or after it
	GraceLeft      *int64 `json:"grace_left_ms,omitempty"`           // at the latest attempt after its backend's departure; below 0: it began past the grace
}

// exposure measures the run's exposure; the record's lock is held.
func (r *run) exposure() Exposure {
	var departures []notice
	for _, notice := range r.record.notices {
		if (notice.atStart || notice.notifiedAt >= r.record.termAt) && notice.notifiedAt < r.record.endedAt {
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
	exposure.MetCrossing = exposure.PastGrace > 0
	return exposure
}

// lastAttemptAt is when the last attempt at a backend began; false: there was none.
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

// noteLastAttempt takes in when the last attempt at a backend began, counted from the backend's departure.
func (e *Exposure) noteLastAttempt(after time.Duration) {
	takeLeast(&e.Nearest, after.Abs())
	if after > 0 {
		takeLeast(&e.GraceLeft, drainGrace-after)
	}
}

// noteAttempt counts an attempt that began after a departure.
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

// takeLeast keeps the least of what it is given, in ms.
func takeLeast(least **int64, d time.Duration) {
	if ms := d.Milliseconds(); *least == nil || ms < **least {
		*least = &ms
	}
}

// String tells the exposure.
func (e Exposure) String() string {
	crossing := "crossing not met"
	if e.MetCrossing {
		crossing = "crossing met"
	}
	text := fmt.Sprintf("%d departures since SIGTERM, %d attempts after one, %d past its grace", e.Departures, e.AfterDeparture, e.PastGrace)
	if e.Nearest != nil {
		text += fmt.Sprintf(", the last at its backend %d ms from it", *e.Nearest)
	}
	if e.GraceLeft != nil {
		text += fmt.Sprintf(", %d ms of grace left", *e.GraceLeft)
	}
	return text + "; " + crossing
}
