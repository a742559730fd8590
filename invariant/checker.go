package invariant

import (
	"fmt"
	"time"
)

// Checker judges facts as they happen: they must come in the order of their times, from one goroutine. A violation is
// reported at once. Memory is bounded by the requests that were noted.
type Checker struct {
	// OnViolation, if set, is called with each violation.
	OnViolation func(rule int, what string)

	limits     Limits
	rules      [ruleCount]Rule
	requests   map[string]*requestRecord // by id
	exemptions map[string]int            // by reason

	lastChange  map[int]time.Duration // by instance: when it last went down or came up
	unavailable map[int]bool          // by instance: killed, or paused

	executions       map[string]Execution // of operations that are not idempotent
	removedAt        map[instanceBackend]time.Duration
	warming          map[string]*warmingBackend
	unitsRequested   map[string]*bucket // by customer
	unitsForwarded   map[string]*bucket // by customer
	aboveCeilingSeen map[string]bool    // customers counted as a case of Ceilings
}

// requestRecord is a request with what became of it.
type requestRecord struct {
	Request
	ended         bool
	outcome       Outcome
	receipts      int
	firstReceipt  Receipt
	duplicateCase bool // counted as a case of NoDuplicate
}

// answered reports whether the client has had its final response.
func (r *requestRecord) answered() bool { return r.ended && r.outcome.Ending.answered() }

// NewChecker begins a check.
func NewChecker(l Limits) *Checker {
	return &Checker{
		limits:           l,
		rules:            newRules(),
		requests:         map[string]*requestRecord{},
		exemptions:       map[string]int{},
		lastChange:       map[int]time.Duration{},
		unavailable:      map[int]bool{},
		executions:       map[string]Execution{},
		removedAt:        map[instanceBackend]time.Duration{},
		warming:          map[string]*warmingBackend{},
		unitsRequested:   map[string]*bucket{},
		unitsForwarded:   map[string]*bucket{},
		aboveCeilingSeen: map[string]bool{},
	}
}

// Rules returns what was found so far, by rule.
func (c *Checker) Rules() []Rule { return c.rules[:] }

// Violations returns how many were found so far.
func (c *Checker) Violations() (n int) {
	for i := range c.rules {
		n += c.rules[i].Count
	}
	return n
}

func (c *Checker) violation(rule int, format string, args ...any) {
	c.rules[rule].violation(format, args...)
	if c.OnViolation != nil {
		c.OnViolation(rule, fmt.Sprintf(format, args...))
	}
}

func (c *Checker) exempt(reason string) { c.exemptions[reason]++ }

// RequestSent notes that a client sent a request.
func (c *Checker) RequestSent(r Request) {
	c.requests[r.ID] = &requestRecord{Request: r}
	c.countCeilingCase(r)
}

// RequestEnded notes how a request ended. Ends of unknown requests, and second ends, are ignored.
func (c *Checker) RequestEnded(o Outcome) {
	r := c.requests[o.ID]
	if r == nil || r.ended {
		return
	}
	r.ended, r.outcome = true, o
	c.countDuplicateCase(r)
	c.checkPromise(r)
	c.checkResponse(r)
}

// RequestReceived notes a request that arrived whole at a backend.
func (c *Checker) RequestReceived(rc Receipt) {
	c.checkDrain(rc)
	r := c.requests[rc.ID]
	if r == nil {
		return
	}
	c.checkAfterResponse(r, rc)
	r.receipts++
	if r.receipts == 1 {
		r.firstReceipt = rc
		c.checkCeiling(r, rc)
	} else if r.Idempotency == IdempotentByKey {
		c.checkKeyedRepeat(r, rc)
	}
	c.countDuplicateCase(r)
	c.checkSlowStart(rc, r.Work.Seconds())
}

// RequestExecuted notes an effect at a backend.
func (c *Checker) RequestExecuted(e Execution) {
	if r := c.requests[e.ID]; r != nil && r.Idempotency == NotIdempotent {
		c.checkExecution(r, e)
	}
}

// InstanceDown notes that an instance was killed.
func (c *Checker) InstanceDown(instance int, at time.Duration) {
	c.lastChange[instance], c.unavailable[instance] = at, true
}

// InstanceUp notes that an instance runs again. The new process knows nothing of what the old one was notified of.
func (c *Checker) InstanceUp(instance int, at time.Duration) {
	c.lastChange[instance], c.unavailable[instance] = at, false
	for k := range c.removedAt {
		if k.instance == instance {
			delete(c.removedAt, k)
		}
	}
}

// InstancePaused notes that an instance's process was suspended, or resumed: it can't know of what reaches it meanwhile.
func (c *Checker) InstancePaused(instance int, at time.Duration, paused bool) {
	c.lastChange[instance], c.unavailable[instance] = at, paused
}

// Overdue ends all requests without an end as timed out; for the close of a run.
func (c *Checker) Overdue(now time.Duration) {
	for _, r := range c.requests {
		if !r.ended {
			c.RequestEnded(Outcome{ID: r.ID, Ending: ClientTimedOut, At: now})
		}
	}
}
