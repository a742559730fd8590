package invariant

import "time"

// Rule Ceilings: a customer's forwarded units stay within its plan's ceiling, its burst and its slack.

// ceilingTolerance is in units: sums of floating-point units may be off by less.
const ceilingTolerance = 1e-6

// bucket is a leaky bucket of units that were used above a rate.
type bucket struct {
	used float64 // units
	at   float64 // seconds
}

// add uses units at a time and returns how far the use is beyond the burst; below 0 it is within.
func (b *bucket) add(c Ceiling, at time.Duration, units float64) float64 {
	now := at.Seconds()
	b.used = max(0, b.used-(now-b.at)*c.Rate) + units
	b.at = now
	return b.used - c.Burst
}

// bucketOf returns a customer's bucket, an empty one at first.
func bucketOf(buckets map[string]*bucket, customer string) *bucket {
	b := buckets[customer]
	if b == nil {
		b = &bucket{}
		buckets[customer] = b
	}
	return b
}

// countCeilingCase counts a case of the rule: a customer that asks for more than its ceiling.
func (c *Checker) countCeilingCase(r Request) {
	ceiling, ok := c.limits.Ceilings[r.Plan]
	if !ok {
		return
	}
	over := bucketOf(c.unitsRequested, r.Customer).add(ceiling, r.SentAt, r.Units)
	if over > ceiling.Slack && !c.aboveCeilingSeen[r.Customer] {
		c.aboveCeilingSeen[r.Customer] = true
		c.rules[Ceilings].Cases++
	}
}

// checkCeiling draws a request's units when it first reaches a backend; retries of it draw nothing more.
func (c *Checker) checkCeiling(r *requestRecord, rc Receipt) {
	ceiling, ok := c.limits.Ceilings[r.Plan]
	if !ok {
		return
	}
	over := bucketOf(c.unitsForwarded, r.Customer).add(ceiling, rc.At, r.Units)
	c.rules[Ceilings].approach((over + ceiling.Burst) / (ceiling.Burst + ceiling.Slack))
	if over > ceiling.Slack+ceilingTolerance {
		c.violation(Ceilings, "%s of plan %s: %.1f units above its ceiling's %.1f at %v, slack %.1f", r.Customer, r.Plan, over, ceiling.Burst, rc.At, ceiling.Slack)
	}
}
