package invariant

import "time"

// Rule Draining: nothing is sent to a backend later than the grace period after the instance was notified that the
// backend is draining or removed.

// instanceBackend is a backend as one instance, or AllInstances, sees it.
type instanceBackend struct {
	instance int
	backend  string
}

// EndpointRemoved notes that an instance, or AllInstances, was notified that a backend is draining or removed.
func (c *Checker) EndpointRemoved(instance int, backend string, at time.Duration) {
	k := instanceBackend{instance, backend}
	if _, known := c.removedAt[k]; !known {
		c.removedAt[k] = at
		c.rules[Draining].Cases++
	}
}

// EndpointListed notes that an instance, or AllInstances, was notified that a backend is up.
func (c *Checker) EndpointListed(instance int, backend string, _ time.Duration) {
	delete(c.removedAt, instanceBackend{instance, backend})
}

// checkDrain checks a request's arrival at a backend against the first notice that its instance had.
func (c *Checker) checkDrain(rc Receipt) {
	notified, ok := c.removedAt[instanceBackend{AllInstances, rc.Backend}]
	if own, byOwn := c.removedAt[instanceBackend{rc.Instance, rc.Backend}]; byOwn && (!ok || own < notified) {
		notified, ok = own, true
	}
	if !ok {
		return
	}
	allowed := c.limits.DrainGrace + c.limits.Slack
	late := rc.sentAt() - notified
	c.rules[Draining].approach(float64(late) / float64(max(1, c.limits.DrainGrace)))
	if late > allowed {
		c.violation(Draining, "%s was sent to %s %v after its door was told that it drains or is gone", rc.ID, rc.Backend, late)
	} else if rc.At-notified > allowed {
		c.exempt(exemptAfterDrainPeriod)
	}
}
