package decision

// This file answers questions about a gateway's state between two events. Only its owner may ask; nothing changes.

// Customer is what the gateway knows of a customer, as of its last event; false if it knows none of that id.
func (g *Gateway) Customer(id string) (CustomerState, bool) {
	customer := g.quotas.customers[id]
	if customer == nil {
		return CustomerState{}, false
	}
	return customer.state(), true
}

// CounterName is the name under which the counter holds a customer's use as of the last event, and what a unit weighs
// in it; ok is false for a customer that is not known here or whose use the counter does not hold.
func (g *Gateway) CounterName(id string) (name string, unitWeight float64, ok bool) {
	customer := g.quotas.customers[id]
	if customer == nil || !customer.usesCounter {
		return "", 0, false
	}
	name, unitWeight = g.counterNameOf(customer)
	return name, unitWeight, true
}
