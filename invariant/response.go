package invariant

// Rule OneResponse: each request that an instance accepted gets exactly one final response before its client times out, and
// nothing is sent to a backend for it afterwards.

// checkResponse checks the end of a request. Requests in flight at a killed or suspended instance are exempt: their clients
// have to retry them.
func (c *Checker) checkResponse(r *requestRecord) {
	o := r.outcome
	switch {
	case o.Ending == NotAccepted:
		c.exempt(exemptNotAccepted)
		return
	case o.Ending == ClientLeft:
		c.exempt(exemptClientLeft)
		return
	case (o.Ending == ConnectionBroken || o.Ending == ClientTimedOut) && c.downDuring(r):
		c.exempt(exemptInstanceDown)
		return
	}
	rule := &c.rules[OneResponse]
	rule.Cases++
	taken := o.At - r.SentAt
	switch {
	case o.Ending == ClientTimedOut:
		c.violation(OneResponse, "%s at door %d: no answer within %v", r.ID, r.Instance, r.Timeout)
	case o.Ending == ConnectionBroken:
		c.violation(OneResponse, "%s at door %d: the connection ended without a whole answer after %v", r.ID, r.Instance, taken)
	case o.Responses > 1:
		c.violation(OneResponse, "%s at door %d: %d answers", r.ID, r.Instance, o.Responses)
	case taken > r.Timeout+c.limits.Slack:
		c.violation(OneResponse, "%s at door %d: answered %v after its client gave up", r.ID, r.Instance, taken-r.Timeout)
	default:
		rule.noteLimitUse(float64(taken) / float64(max(1, r.Timeout)))
	}
}

// downDuring reports whether the request's instance was killed or suspended at any time since the request was sent.
func (c *Checker) downDuring(r *requestRecord) bool {
	changed, ok := c.lastChange[r.Instance]
	return ok && (c.unavailable[r.Instance] || changed >= r.SentAt)
}

// checkAfterResponse checks that a request is not sent to a backend after its final response.
func (c *Checker) checkAfterResponse(r *requestRecord, rc Receipt) {
	if !r.answered() {
		return
	}
	until := r.outcome.At + c.limits.Slack
	if sent := rc.sentAt(); sent > until {
		c.violation(OneResponse, "%s was sent to %s %v after its final answer", rc.ID, rc.Backend, sent-r.outcome.At)
	} else if rc.At > until {
		c.exempt(exemptAfterResponse)
	}
}
