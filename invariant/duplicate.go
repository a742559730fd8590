package invariant

// Rule NoDuplicate: an operation that is not idempotent runs at most once, and not at all if it was rejected with the
// promise that a retry is harmless. A request with an idempotency key is repeated only while its key is remembered, and only
// at backends that remember it.

// countDuplicateCase counts a case of the rule: a request reached a backend and was not served, or it reached backends more
// than once.
func (c *Checker) countDuplicateCase(r *requestRecord) {
	if r.Idempotency == Idempotent || r.receipts == 0 || r.duplicateCase {
		return
	}
	if r.receipts > 1 || r.ended && r.outcome.Ending != Served {
		r.duplicateCase = true
		c.rules[NoDuplicate].Cases++
	}
}

// checkPromise checks that a request that ran was not rejected: a rejection promises that a retry is harmless.
func (c *Checker) checkPromise(r *requestRecord) {
	if r.outcome.Ending != Rejected || r.Idempotency != NotIdempotent {
		return
	}
	if e, ok := c.executions[r.Operation]; ok && e.ID == r.ID {
		c.violation(NoDuplicate, "unsafe %s ran at %s and was refused, which promises that a retry is harmless", r.ID, e.Backend)
	}
}

// checkExecution checks that an operation that is not idempotent has at most one effect, and none after its rejection.
func (c *Checker) checkExecution(r *requestRecord, e Execution) {
	if first, again := c.executions[r.Operation]; again {
		c.rules[NoDuplicate].noteLimitUse(2)
		c.violation(NoDuplicate, "unsafe %s ran as %s at %s and as %s at %s", r.Operation, first.ID, first.Backend, e.ID, e.Backend)
	} else {
		c.executions[r.Operation] = e
	}
	if r.ended && r.outcome.Ending == Rejected {
		c.violation(NoDuplicate, "unsafe %s was refused, which promises that a retry is harmless, and ran at %s", r.ID, e.Backend)
	}
}

// checkKeyedRepeat checks that a request with an idempotency key is repeated only while its key is remembered, and in the cell
// that remembers it. The time of sending counts, since an instance can't foresee delays of the network.
func (c *Checker) checkKeyedRepeat(r *requestRecord, rc Receipt) {
	first := r.firstReceipt
	later := rc.sentAt() - first.At
	c.rules[NoDuplicate].noteLimitUse(float64(later) / float64(max(1, c.limits.KeyTTL)))
	if later > c.limits.KeyTTL+c.limits.Slack {
		c.violation(NoDuplicate, "keyed %s reached %s and was sent %v later, when its key may be forgotten, to %s", rc.ID, first.Backend, later, rc.Backend)
	} else if rc.At > first.At+c.limits.KeyTTL+c.limits.Slack {
		c.exempt(exemptAfterKeyTTL)
	}
	if cell := c.limits.CellOf; cell != nil && cell(first.Backend) != cell(rc.Backend) {
		c.violation(NoDuplicate, "keyed %s reached %s and %s, which does not know the other's keys", rc.ID, first.Backend, rc.Backend)
	}
}
