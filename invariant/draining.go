package invariant

import "time"

// Rule Draining: an instance sends nothing to a backend once the drain grace has passed since it was notified that the
// backend is draining or removed.

// instanceBackend is the key of a backend as seen by one instance or by AllInstances.
type instanceBackend struct {
	instance int
	backend  string
}

// EndpointRemoved records that an instance, or AllInstances, was notified that a backend is draining or removed.
func (c *Checker) EndpointRemoved(instance int, backend string, at time.Duration) {
	k := instanceBackend{instance, backend}
	if _, known := c.removedAt[k]; !known {
		c.removedAt[k] = at
		c.rules[Draining].Cases++
	}
}

// EndpointListed records that an instance, or AllInstances, was notified that a backend is up.
func (c *Checker) EndpointListed(instance int, backend string, _ time.Duration) {
	delete(c.removedAt, instanceBackend{instance, backend})
}

// checkDrain checks a request's arrival at a backend against the first notice that its instance received.
func (c *Checker) checkDrain(rc Receipt) {
	notified, ok := c.removedAt[instanceBackend{AllInstances, rc.Backend}]
	if own, hasOwn := c.removedAt[instanceBackend{rc.Instance, rc.Backend}]; hasOwn && (!ok || own < notified) {
		notified, ok = own, true
	}
	if !ok {
		return
	}
	allowed := c.limits.DrainGrace + c.limits.Slack
	late := rc.sentAt() - notified
	c.rules[Draining].noteLimitUse(float64(late) / float64(max(1, c.limits.DrainGrace)))
	if late > allowed {
		c.violation(Draining, "%s was sent to %s %v after its door was told that it drains or is gone", rc.ID, rc.Backend, late)
	} else if rc.At-notified > allowed {
		c.exempt(exemptAfterDrainPeriod)
	}
}
