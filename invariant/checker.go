package invariant

import (
	"fmt"
	"time"
)

// Checker judges facts as they happen: they must be passed in the order of their times, from one goroutine. It reports a
// violation at once. Its memory grows with the number of requests.
type Checker struct {
	// OnViolation, if set, is called with each violation.
	OnViolation func(rule int, what string)

	limits     Limits
	rules      [ruleCount]Rule
	requests   map[string]*requestRecord // by id
	exemptions map[string]int            // by reason

	lastChange  map[int]time.Duration // by instance: when it last went down or up
	unavailable map[int]bool          // by instance: killed or paused

	executions       map[string]Execution              // of operations that are not idempotent
	removedAt        map[instanceBackend]time.Duration // when an instance was first notified that a backend is draining or removed
	warming          map[string]*warmingBackend
	unitsRequested   map[string]*bucket // by customer
	unitsForwarded   map[string]*bucket // by customer
	aboveCeilingSeen map[string]bool    // customers that Rule.Cases of Ceilings counts
}

// requestRecord is a request with its outcome and receipts.
type requestRecord struct {
	Request
	ended         bool
	outcome       Outcome
	receipts      int
	firstReceipt  Receipt
	duplicateCase bool // Rule.Cases of NoDuplicate counts this request
}

// answered reports whether the client has had its final response.
func (r *requestRecord) answered() bool { return r.ended && r.outcome.Ending.answered() }

// NewChecker returns a Checker that has seen no facts.
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

// Rules returns the findings so far, by rule.
func (c *Checker) Rules() []Rule { return c.rules[:] }

// Violations returns the number of violations found so far.
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

// RequestSent records that a client sent a request.
func (c *Checker) RequestSent(r Request) {
	c.requests[r.ID] = &requestRecord{Request: r}
	c.countCeilingCase(r)
}

// RequestEnded records how a request ended. It ignores unknown requests and requests that have already ended.
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

// RequestReceived records a request that arrived complete at a backend.
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

// RequestExecuted records an effect at a backend.
func (c *Checker) RequestExecuted(e Execution) {
	if r := c.requests[e.ID]; r != nil && r.Idempotency == NotIdempotent {
		c.checkExecution(r, e)
	}
}

// InstanceDown records that an instance was killed.
func (c *Checker) InstanceDown(instance int, at time.Duration) {
	c.lastChange[instance], c.unavailable[instance] = at, true
}

// InstanceUp records that an instance runs again. Notices of draining or removed backends that the old process received do not
// count for the new one.
func (c *Checker) InstanceUp(instance int, at time.Duration) {
	c.lastChange[instance], c.unavailable[instance] = at, false
	for k := range c.removedAt {
		if k.instance == instance {
			delete(c.removedAt, k)
		}
	}
}

// InstancePaused records that an instance's process was suspended or resumed. A suspended process can't react to anything.
func (c *Checker) InstancePaused(instance int, at time.Duration, paused bool) {
	c.lastChange[instance], c.unavailable[instance] = at, paused
}

// TimeOutUnanswered ends all requests without an end as timed out. It is called at the end of a run.
func (c *Checker) TimeOutUnanswered(now time.Duration) {
	for _, r := range c.requests {
		if !r.ended {
			c.RequestEnded(Outcome{ID: r.ID, Ending: ClientTimedOut, At: now})
		}
	}
}
