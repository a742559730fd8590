package invariant

import "time"

// Rule Ceilings: the forwarded units of a customer stay within its plan's ceiling rate, burst and slack.

// ceilingTolerance (units) allows for rounding errors in sums of floating-point units.
const ceilingTolerance = 1e-6

// bucket is a leaky bucket of the units used above a rate.
type bucket struct {
	used float64 // units
	at   float64 // time of the last update (seconds)
}

// add uses units at a time and returns by how many units the use exceeds the burst; a result below 0 is within it.
func (b *bucket) add(c Ceiling, at time.Duration, units float64) float64 {
	now := at.Seconds()
	b.used = max(0, b.used-(now-b.at)*c.Rate) + units
	b.at = now
	return b.used - c.Burst
}

// bucketOf returns a customer's bucket and creates an empty one if there is none.
func bucketOf(buckets map[string]*bucket, customer string) *bucket {
	b := buckets[customer]
	if b == nil {
		b = &bucket{}
		buckets[customer] = b
	}
	return b
}

// countCeilingCase counts a case of the rule: a customer that requests more than its ceiling allows.
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

// checkCeiling counts a request's units when it first reaches a backend; retries of it use no more units.
func (c *Checker) checkCeiling(r *requestRecord, rc Receipt) {
	ceiling, ok := c.limits.Ceilings[r.Plan]
	if !ok {
		return
	}
	over := bucketOf(c.unitsForwarded, r.Customer).add(ceiling, rc.At, r.Units)
	c.rules[Ceilings].noteLimitUse((over + ceiling.Burst) / (ceiling.Burst + ceiling.Slack))
	if over > ceiling.Slack+ceilingTolerance {
		c.violation(Ceilings, "%s of plan %s: %.1f units above its ceiling's %.1f at %v, slack %.1f", r.Customer, r.Plan, over, ceiling.Burst, rc.At, ceiling.Slack)
	}
}
