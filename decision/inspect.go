package decision

// This file implements queries of a gateway's state between two events. Only the goroutine that owns the gateway may
// call them. They change nothing.

// Customer returns the state of a customer after the last event, or false if the gateway does not know the customer.
func (g *Gateway) Customer(id string) (CustomerState, bool) {
	customer := g.quotas.customers[id]
	if customer == nil {
		return CustomerState{}, false
	}
	return customer.state(), true
}

// CounterName returns the name under which the counter holds a customer's use at the time of the last event, and the
// weight of one unit. ok is false for a customer that is unknown or does not use the counter.
func (g *Gateway) CounterName(id string) (name string, unitWeight float64, ok bool) {
	customer := g.quotas.customers[id]
	if customer == nil || !customer.usesCounter {
		return "", 0, false
	}
	name, unitWeight = g.counterNameOf(customer)
	return name, unitWeight, true
}
