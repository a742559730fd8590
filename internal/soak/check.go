package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sandyard/internal/lateness"
)

// Bounds of the checks, from the rules of the platform.
const (
	socketSlack     = 50 * time.Millisecond  // added to time limits that are observed on sockets
	disconnectBound = 100 * time.Millisecond // time after the disconnect of a client in which its attempts may still begin
	deadlineSlack   = 150 * time.Millisecond // added to the time that an attempt may state to its backend
	readyBound      = 10 * time.Second
	maxMemoryGrowth = 16 << 20 // growth of an idle instance since the start of the check (bytes)
	// disturbanceSpan is how long before and after a violation delays of the machine are taken into account.
	disturbanceSpan = 500 * time.Millisecond
)

// Violation is a broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	Request string        `json:"request,omitempty"`
	What    string        `json:"what"`
	At      time.Duration `json:"at_ns"` // after the first SIGTERM
	excess  time.Duration // time by which a time limit was exceeded, for isUnjudged; 0: the rule has no time limit
}

// judge checks the record of the run and returns the violations.
func (r *run) judge() (violations []Violation) {
	for _, req := range r.record.order {
		violations = append(violations, r.checkAnswer(req)...)
		violations = append(violations, r.checkAttempts(req)...)
		violations = append(violations, r.checkEffects(req)...)
	}
	violations = append(violations, r.checkDrains()...)
	return append(violations, r.checkProcess()...)
}

func (r *run) violation(rule string, req *request, at, excess time.Duration, format string, args ...any) Violation {
	v := Violation{Rule: rule, What: fmt.Sprintf(format, args...), At: at - r.record.termAt, excess: excess}
	if req != nil {
		v.Request = req.id
	}
	return v
}

// checkAnswer checks that a request that was read gets exactly one final answer. The first request of a connection counts as
// read, unless idle connections fill the descriptors.
func (r *run) checkAnswer(req *request) (violations []Violation) {
	const rule = "one final answer"
	add := func(excess time.Duration, format string, args ...any) {
		violations = append(violations, r.violation(rule, req, req.endedAt, excess, format, args...))
	}
	deadline := req.writtenAt + req.timeout + graceAfterDeadline
	switch {
	case req.extraResponses:
		add(0, "more than one answer")
	case req.status != 0 || req.disconnectedAt > 0:
	case req.openAtKill: // how late the answer would have been is unknown; isUnjudged excuses it if the machine caused a delay of socketSlack
		violations = append(violations, r.violation(rule, req, r.record.killedAt, socketSlack,
			"%s request unanswered at the kill, %v after it was written", req.class.name, r.record.killedAt-req.writtenAt))
	case !req.connectionEnded:
		// The client gave up at about the deadline, so that how late the answer would have been is unknown here, too: isUnjudged excuses
		// it if the machine caused a delay of socketSlack beyond the client's own lateness. An excess of 0 would mean no time limit.
		add(max(1, req.endedAt-deadline+socketSlack), "%s request without an answer %v after it was written, its time is %v", req.class.name, req.endedAt-req.writtenAt, req.timeout)
	case len(req.attempts) > 0:
		add(0, "%s request was forwarded, and its connection ended without an answer", req.class.name)
	case req.firstOfConn && r.plan.IdleConnections > 0: // new connections may be closed unread while idle connections fill the descriptors
		r.record.unread++
	case req.firstOfConn:
		add(0, "%s request, the first of its connection, ended without an answer after %v", req.class.name, req.endedAt-req.writtenAt)
	case req.endedAt-req.writtenAt > socketSlack: // before that, the close of an idle connection may race with the request
		add(req.endedAt-req.writtenAt-socketSlack, "%s request was read, and its connection ended without an answer after %v", req.class.name, req.endedAt-req.writtenAt)
	}
	return violations
}

// checkAttempts checks that no attempt begins for a disconnected client, and that no attempt states more time than is left.
func (r *run) checkAttempts(req *request) (violations []Violation) {
	for _, attempt := range req.attempts {
		at := attempt.firstByteAt
		if late := at - req.disconnectedAt - disconnectBound - socketSlack; req.disconnectedAt > 0 && late > 0 {
			violations = append(violations, r.violation("no attempt for a client that left", req, at, late,
				"an attempt at backend %d began %v after the client left", attempt.backend, at-req.disconnectedAt))
		}
		if over := at + attempt.deadline - (req.writtenAt + req.timeout + deadlineSlack); req.writtenAt > 0 && over > 0 {
			violations = append(violations, r.violation("no more time than is left", req, at, over,
				"backend %d is told %v, %v is left", attempt.backend, attempt.deadline, req.writtenAt+req.timeout-at))
		}
	}
	return violations
}

// checkEffects checks that a request that is not idempotent runs at most once, and not at all if its answer was 429 or 503, which
// promise that it did not run.
func (r *run) checkEffects(req *request) (violations []Violation) {
	if req.class.semantics != "fragile" {
		return nil
	}
	runs := 0
	for _, attempt := range req.attempts {
		if attempt.mayRun {
			runs++
		}
	}
	if runs > 1 {
		violations = append(violations, r.violation("unsafe work once", req, req.endedAt, 0, "it ran %d times", runs))
	}
	if runs > 0 && (req.status == 429 || req.status == 503) {
		violations = append(violations, r.violation("unsafe work once", req, req.endedAt, 0, "it ran, and the client was told %d", req.status))
	}
	return violations
}

// checkDrains checks that no attempt begins at a backend later than the drain grace after its notice.
func (r *run) checkDrains() (violations []Violation) {
	for _, notice := range r.record.notices {
		for _, req := range r.record.order {
			for _, attempt := range req.attempts {
				late := notice.beyondGrace(attempt)
				if late > 0 && !notice.isWithdrawn(attempt.firstByteAt) {
					violations = append(violations, r.violation("drains kept", req, attempt.firstByteAt, late,
						"an attempt at backend %d, which %s, began %v after the notice", notice.Backend, notice.Kind, attempt.firstByteAt-notice.notifiedAt))
				}
			}
		}
	}
	return violations
}

// beyondGrace returns how long after the drain grace an attempt at the notice's backend began; 0 or less: within the grace.
func (n *notice) beyondGrace(attempt receipt) time.Duration {
	if attempt.backend != n.Backend {
		return 0
	}
	return attempt.firstByteAt - n.notifiedAt - drainGrace - socketSlack
}

// isWithdrawn reports whether an older list had named the backend as active again by a time.
func (n *notice) isWithdrawn(at time.Duration) bool { return n.withdrawnAt > 0 && at >= n.withdrawnAt }

// attemptsAfterWithdrawal counts the attempts that began later than the drain grace after a notice, and after an older list had named
// their backend active again. They are not judged by that notice (OlderList). The mutex of the record must be held.
func (r *run) attemptsAfterWithdrawal() (count int) {
	for _, req := range r.record.order {
		for _, attempt := range req.attempts {
			if slices.ContainsFunc(r.record.notices, func(n notice) bool { return n.beyondGrace(attempt) > 0 && n.isWithdrawn(attempt.firstByteAt) }) {
				count++
			}
		}
	}
	return count
}

// checkProcess checks that the process is ready in time, does not crash, ends by itself, and releases descriptors and memory when
// idle.
func (r *run) checkProcess() (violations []Violation) {
	record, facts := r.record, &r.record.instance
	add := func(rule string, excess time.Duration, format string, args ...any) {
		violations = append(violations, r.violation(rule, nil, r.judgedAt(), excess, format, args...))
	}
	if record.readyTime > readyBound {
		add("ready in time", record.readyTime-readyBound, "ready after %v", record.readyTime)
	}
	if facts.crash != "" {
		add("no crash", 0, "%s", facts.crash)
	} else if facts.exit != nil {
		add("no crash", 0, "it ended with %v", facts.exit)
	}
	if record.killedAt > 0 { // when the process would have ended is unknown; isUnjudged excuses it if the machine caused a delay of socketSlack
		add("ends by itself", socketSlack, "it still ran at the kill, %v after SIGTERM; its threads: %s", record.killedAt-record.termAt, facts.threads)
	}
	if facts.idleExcess > 0 {
		add("idle as at the start", 0, "%d descriptors more than at the start", facts.idleExcess)
	}
	if facts.memoryGrowth > maxMemoryGrowth {
		add("idle as at the start", 0, "%d MiB more than at the start", facts.memoryGrowth>>20)
	}
	if len(record.unknown) > 0 {
		add("requests pass unchanged", 0, "backends received identities that no client sent: %s", strings.Join(record.unknown, ", "))
	}
	if r.connsWithExtraBytes > 0 {
		add("one final answer", 0, "%d idle connections brought bytes that nobody asked for", r.connsWithExtraBytes)
	}
	return violations
}

// judgedAt returns the time at which the end of the process is judged: its end, or the SIGKILL, whose completion this process may
// observe much later.
func (r *run) judgedAt() time.Duration {
	if r.record.killedAt > 0 {
		return r.record.killedAt
	}
	return r.record.endedAt
}

// separateUnjudged separates the violations of a time limit that was exceeded by no more than a scheduling delay of this process
// or a wait of the instance's threads for a processor at about that time: the instance cannot be blamed for those.
func (r *run) separateUnjudged(violations []Violation) (broken, unjudged []Violation) {
	unjudged = slices.DeleteFunc(slices.Clone(violations), func(v Violation) bool { return !r.isUnjudged(v) })
	broken = slices.DeleteFunc(violations, r.isUnjudged)
	return broken, unjudged
}

// isUnjudged reports whether a delay of the machine may explain the violation.
func (r *run) isUnjudged(v Violation) bool {
	at := v.At + r.record.termAt
	from, until := at-disturbanceSpan, at+disturbanceSpan
	// The instance is the only process that processorWaits monitors, so its index is 0.
	disturbance := max(lateness.Max(r.ownDelays.Delays, from, until), lateness.Max(r.processorWaits.Waits[0], from, until))
	return v.excess > 0 && v.excess <= disturbance
}
