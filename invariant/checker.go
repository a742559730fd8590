package invariant

import (
	"fmt"
	"time"
)

// The rules, as positions in Verdict.Rules.
const (
	OneResponse = iota
	NoDuplicate
	Draining
	SlowStart
	Ceilings
	ruleCount
)

// Checker judges facts as they happen: they must come in the order of their times. A broken rule is told at once.
// What a run has in memory is bounded by the tries that it noted.
type Checker struct {
	// Broken, if set, is told of each violation.
	OnViolation func(rule int, what string)

	limits         Limits
	rules          [ruleCount]Rule
	requests       map[string]*requestRecord
	executions     map[string]Execution // unsafe ones, by operation
	removedAt      map[instanceBackend]time.Duration
	warming        map[string]*warmingBackend
	lastChange     map[int]time.Duration // by door: when it last went down, or came up, whichever is later; -1: never
	unavailable    map[int]bool
	unitsRequested map[string]*bucket
	unitsForwarded map[string]*bucket
	overCeiling    map[string]bool
	duplicateCase  map[string]bool
	exemptions     map[string]int
}

type instanceBackend struct {
	instance int
	backend  string
}

type requestRecord struct {
	Request
	ended        bool
	outcome      Outcome
	receipts     int
	firstReceipt Receipt
}

type warmingBackend struct {
	startedAt   time.Duration
	arrivals    []time.Duration
	arrivedWork []float64
	windowWork  float64
	counted     bool
}

// NewChecker begins a check.
func NewChecker(l Limits) *Checker {
	c := &Checker{limits: l, requests: map[string]*requestRecord{}, executions: map[string]Execution{}, removedAt: map[instanceBackend]time.Duration{},
		warming: map[string]*warmingBackend{}, lastChange: map[int]time.Duration{}, unavailable: map[int]bool{}, unitsRequested: map[string]*bucket{},
		unitsForwarded: map[string]*bucket{}, overCeiling: map[string]bool{}, duplicateCase: map[string]bool{}, exemptions: map[string]int{}}
	c.rules = [ruleCount]Rule{
		{Name: "no request is lost", Of: "the client's patience"},
		{Name: "no effect happens twice", Of: "the time that keys are remembered"},
		{Name: "drains are kept", Of: "the grace"},
		{Name: "cold boxes are not pushed over", Of: "the load that pushes one over"},
		{Name: "ceilings are kept", Of: "the burst and its slack"},
	}
	return c
}

// Rules is what was found so far.
func (c *Checker) Rules() []Rule { return c.rules[:] }

// Violations is how many were found so far.
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

// RequestSent notes a try.
func (c *Checker) RequestSent(t Request) {
	c.requests[t.ID] = &requestRecord{Request: t}
	if l, ok := c.limits.Ceilings[t.Plan]; ok && bucketOf(c.unitsRequested, t.Customer).add(l, t.SentAt, t.Units) > l.Slack && !c.overCeiling[t.Customer] {
		c.overCeiling[t.Customer] = true // a case is a studio that asked for more than its ceiling
		c.rules[Ceilings].Cases++
	}
}

// RequestEnded notes how a try ended: it must have had one final answer before its client gave up, unless its door was
// killed meanwhile: what that held is its client's to retry.
func (c *Checker) RequestEnded(e Outcome) {
	t := c.requests[e.ID]
	if t == nil || t.ended {
		return
	}
	t.ended, t.outcome = true, e
	c.countDuplicateCase(t)
	if e.Ending == Rejected && t.Idempotency == NotIdempotent {
		if run, ok := c.executions[t.Operation]; ok && run.ID == t.ID {
			c.violation(NoDuplicate, "unsafe %s ran at %s and was refused, which promises that a retry is harmless", t.ID, run.Backend)
		}
	}
	if e.Ending == NotAccepted || e.Ending == ClientLeft {
		c.exemptions[[...]string{NotAccepted: "no answer: not accepted", ClientLeft: "no answer: its client left"}[e.Ending]]++
		return
	}
	if since, ok := c.lastChange[t.Instance]; ok && (c.unavailable[t.Instance] || since >= t.SentAt) && (e.Ending == ConnectionBroken || e.Ending == ClientTimedOut) {
		c.exemptions["no answer: its door was killed or stood still"]++
		return
	}
	c.rules[OneResponse].Cases++
	until := t.SentAt + t.Timeout + c.limits.Slack
	switch {
	case e.Ending == ClientTimedOut:
		c.violation(OneResponse, "%s at door %d: no answer within %v", t.ID, t.Instance, t.Timeout)
	case e.Ending == ConnectionBroken:
		c.violation(OneResponse, "%s at door %d: the connection ended without a whole answer after %v", t.ID, t.Instance, e.At-t.SentAt)
	case e.Responses > 1:
		c.violation(OneResponse, "%s at door %d: %d answers", t.ID, t.Instance, e.Responses)
	case e.At > until:
		c.violation(OneResponse, "%s at door %d: answered %v after its client gave up", t.ID, t.Instance, e.At-t.SentAt-t.Timeout)
	default:
		r := &c.rules[OneResponse]
		r.Nearest = max(r.Nearest, float64(e.At-t.SentAt)/float64(max(1, t.Timeout)))
	}
}

// countDuplicateCase counts a case of the second rule: an attempt reached a box and its client did not hear of it, or a second
// one did.
func (c *Checker) countDuplicateCase(t *requestRecord) {
	if t.Idempotency != Idempotent && t.receipts > 0 && (t.receipts > 1 || t.ended && t.outcome.Ending != Served) && !c.duplicateCase[t.ID] {
		c.duplicateCase[t.ID] = true
		c.rules[NoDuplicate].Cases++
	}
}

// RequestReceived notes a request whole at a box.
func (c *Checker) RequestReceived(rc Receipt) {
	c.checkDrain(rc)
	t := c.requests[rc.ID]
	if t == nil {
		return
	}
	if sent := rc.sentAt(); t.ended && t.outcome.Ending <= Failed && sent > t.outcome.At+c.limits.Slack {
		c.violation(OneResponse, "%s was sent to %s %v after its final answer", rc.ID, rc.Backend, sent-t.outcome.At)
	} else if t.ended && t.outcome.Ending <= Failed && rc.At > t.outcome.At+c.limits.Slack {
		c.exemptions["received after the final answer: sent before"]++
	}
	t.receipts++
	if t.receipts == 1 {
		t.firstReceipt = rc
		if l, ok := c.limits.Ceilings[t.Plan]; ok { // a try draws its units when it first reaches a box
			over := bucketOf(c.unitsForwarded, t.Customer).add(l, rc.At, t.Units)
			r := &c.rules[Ceilings]
			r.Nearest = max(r.Nearest, (over+l.Burst)/(l.Burst+l.Slack))
			if over > l.Slack+1e-6 {
				c.violation(Ceilings, "%s of plan %s: %.1f units above its ceiling's %.1f at %v, slack %.1f", t.Customer, t.Plan, over, l.Burst, rc.At, l.Slack)
			}
		}
	} else if t.Idempotency == IdempotentByKey {
		r := &c.rules[NoDuplicate]
		late := rc.sentAt() - t.firstReceipt.At // a network that holds it up is nobody's to foresee
		r.Nearest = max(r.Nearest, float64(late)/float64(max(1, c.limits.KeyTTL)))
		if late > c.limits.KeyTTL+c.limits.Slack {
			c.violation(NoDuplicate, "keyed %s reached %s and was sent %v later, when its key may be forgotten, to %s", rc.ID, t.firstReceipt.Backend, late, rc.Backend)
		} else if rc.At > t.firstReceipt.At+c.limits.KeyTTL+c.limits.Slack {
			c.exemptions["keyed repeat after its key's time: sent before"]++
		}
		if g := c.limits.CellOf; g != nil && g(t.firstReceipt.Backend) != g(rc.Backend) {
			c.violation(NoDuplicate, "keyed %s reached %s and %s, which does not know the other's keys", rc.ID, t.firstReceipt.Backend, rc.Backend)
		}
	}
	c.countDuplicateCase(t)
	c.checkSlowStart(rc, t.Work.Seconds())
}

// sentAt is when a request was sent, or when it was received if nobody knows.
func (rc Receipt) sentAt() time.Duration {
	if rc.SentAt > 0 {
		return rc.SentAt
	}
	return rc.At
}

// checkDrain: nothing new reaches a box later than the grace after its door was told that it drains or is gone.
func (c *Checker) checkDrain(rc Receipt) {
	told, ok := c.removedAt[instanceBackend{AllInstances, rc.Backend}]
	if t, by := c.removedAt[instanceBackend{rc.Instance, rc.Backend}]; by && (!ok || t < told) {
		told, ok = t, true
	}
	if !ok {
		return
	}
	late := rc.sentAt() - told
	if rc.At-told > c.limits.DrainGrace+c.limits.Slack && late <= c.limits.DrainGrace+c.limits.Slack {
		c.exemptions["received after a grace: sent before"]++
	}
	r := &c.rules[Draining]
	r.Nearest = max(r.Nearest, float64(late)/float64(max(1, c.limits.DrainGrace)))
	if late > c.limits.DrainGrace+c.limits.Slack {
		c.violation(Draining, "%s was sent to %s %v after its door was told that it drains or is gone", rc.ID, rc.Backend, late)
	}
}

// checkSlowStart counts what a cold box was sent against what it could do.
func (c *Checker) checkSlowStart(rc Receipt, work float64) {
	l, b := c.limits, c.warming[rc.Backend]
	if b == nil || l.OverloadFactor <= 0 || l.SlowStartTime <= 0 || rc.At > b.startedAt+l.SlowStartTime {
		return
	}
	r := &c.rules[SlowStart]
	if !b.counted {
		b.counted = true
		r.Cases++
	}
	b.arrivals, b.arrivedWork = append(b.arrivals, rc.At), append(b.arrivedWork, work)
	b.windowWork += work
	for b.arrivals[0] <= rc.At-l.OverloadTime {
		b.windowWork -= b.arrivedWork[0]
		b.arrivals, b.arrivedWork = b.arrivals[1:], b.arrivedWork[1:]
	}
	warm := func(at time.Duration) float64 {
		return l.SlowStartShare + (1-l.SlowStartShare)*max(0, float64(at-b.startedAt))/float64(l.SlowStartTime)
	}
	speed := (warm(rc.At) + warm(rc.At-l.OverloadTime)) / 2
	r.Nearest = max(r.Nearest, b.windowWork/(l.OverloadFactor*speed*l.Cores*l.OverloadTime.Seconds()))
}

// RequestExecuted notes an effect: an unsafe thing has one at most, and none if it was refused.
func (c *Checker) RequestExecuted(run Execution) {
	t := c.requests[run.ID]
	if t == nil || t.Idempotency != NotIdempotent {
		return
	}
	r := &c.rules[NoDuplicate]
	if o, again := c.executions[t.Operation]; again {
		r.Nearest = max(r.Nearest, 2)
		c.violation(NoDuplicate, "unsafe %s ran as %s at %s and as %s at %s", t.Operation, o.ID, o.Backend, run.ID, run.Backend)
	} else {
		c.executions[t.Operation] = run
	}
	if t.ended && t.outcome.Ending == Rejected {
		c.violation(NoDuplicate, "unsafe %s was refused, which promises that a retry is harmless, and ran at %s", t.ID, run.Backend)
	}
}

// BackendCollapsed notes that a box fell over.
func (c *Checker) BackendCollapsed(box string, at time.Duration) {
	c.violation(SlowStart, "%s fell over at %v", box, at)
}

// AllInstances stands for every front door.
const AllInstances = -1

// EndpointRemoved notes that a door, or AllInstances, was told that a box drains or is gone.
func (c *Checker) EndpointRemoved(door int, box string, at time.Duration) {
	k := instanceBackend{door, box}
	if _, told := c.removedAt[k]; !told {
		c.removedAt[k] = at
		c.rules[Draining].Cases++
	}
}

// EndpointListed notes that a door, or AllInstances, was told that a box is up.
func (c *Checker) EndpointListed(door int, box string, at time.Duration) {
	delete(c.removedAt, instanceBackend{door, box})
}

// BackendStarted notes a box's cold start.
func (c *Checker) BackendStarted(box string, at time.Duration) {
	c.warming[box] = &warmingBackend{startedAt: at}
}

// InstanceDown notes that a door was killed.
func (c *Checker) InstanceDown(door int, at time.Duration) {
	c.lastChange[door], c.unavailable[door] = at, true
}

// InstanceUp notes that it runs again. A new process knows nothing of what the old one was told.
func (c *Checker) InstanceUp(door int, at time.Duration) {
	c.lastChange[door], c.unavailable[door] = at, false
	for k := range c.removedAt {
		if k.instance == door {
			delete(c.removedAt, k)
		}
	}
}

// InstancePaused notes that a door's process stands still, or goes on: what reaches it meanwhile it can't know of.
func (c *Checker) InstancePaused(door int, at time.Duration, on bool) {
	c.lastChange[door], c.unavailable[door] = at, on
}

// Overdue notes that a try's client would have given up by now without an end; for the close of a run.
func (c *Checker) Overdue(now time.Duration) {
	for _, t := range c.requests {
		if !t.ended {
			c.RequestEnded(Outcome{ID: t.ID, Ending: ClientTimedOut, At: now})
		}
	}
}

func bucketOf(m map[string]*bucket, studio string) *bucket {
	b := m[studio]
	if b == nil {
		b = &bucket{}
		m[studio] = b
	}
	return b
}
