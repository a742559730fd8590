package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sandyard/fault"
	"sandyard/invariant"
)

// Parameters of the traffic.
const (
	maxWorkFactor      = 6    // largest work of a request, as a multiple of the mean: more would exceed deadlines by itself
	otherInstanceShare = 0.25 // share of a customer's requests that go to the next of its instances
)

// generateRequest starts a random operation, and schedules the next one.
func (s *Sim) generateRequest() {
	if s.now > s.script.trafficTime() {
		s.closeIdleClients()
		return
	}
	rng := s.trafficRNG
	weights, sum, baseSum := s.customerWeights()
	rate := s.script.Rate
	if f, ok := s.surges[fault.TargetAll]; ok {
		rate *= f
	}
	rate *= sum / baseSum
	pick, customer := rng.Float64()*sum, 0
	for ; customer < len(weights)-1 && pick >= weights[customer]; customer++ {
		pick -= weights[customer]
	}
	s.operations++
	operationRNG := rand.New(rand.NewPCG(s.script.Seed, uint64(s.operations)))
	s.startOperation(customer, s.operations, operationRNG)
	s.scheduleAfter(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), s.generateRequest)
}

// closeIdleClients closes the idle client connections after the traffic has ended.
func (s *Sim) closeIdleClients() {
	for _, pool := range s.clientPools {
		for _, c := range append([]*clientConn(nil), pool.idle...) {
			c.close(false)
		}
	}
}

// customerWeights returns each customer's weight in the traffic, which is its plan's rate times its surges. It also returns
// the sum of the weights, and that sum without surges.
func (s *Sim) customerWeights() (weights []float64, sum, baseSum float64) {
	weights = make([]float64, len(s.config.Customers))
	for i, customer := range s.config.Customers {
		weight := 1.0
		plan := s.config.CustomerByName(customer.Name).Plan
		if rate := float64(s.config.Plans[plan].Rate); rate > 0 {
			weight = rate
		}
		baseSum += weight
		for _, name := range [2]string{customer.Name, customer.Plan} {
			if f, ok := s.surges[name]; ok {
				weight *= f
			}
		}
		weights[i] = weight
		sum += weight
	}
	return weights, sum, baseSum
}

// startOperation sends the request or the pipelined requests of one operation of a client, or has a client misbehave.
func (s *Sim) startOperation(customer, number int, rng *rand.Rand) {
	switch x := rng.Float64(); {
	case x < s.invalidShare:
		s.misbehave(rng, false)
		return
	case x < s.invalidShare+s.slowShare:
		s.misbehave(rng, true)
		return
	}
	count := 1
	if rng.Float64() < s.script.Clients.PipelineShare {
		count = 2 + rng.IntN(3)
	}
	instance := s.instanceFor(customer, rng)
	conn := s.clientPools[instance].get(rng)
	for k := range count {
		s.send(s.drawRequest(customer, fmt.Sprintf("%d.%d", number, k), rng), conn, instance, k)
	}
}

// drawRequest draws a request of a customer: its operation, work, timeout and body.
func (s *Sim) drawRequest(customer int, name string, rng *rand.Rand) *clientRequest {
	operation := rng.IntN(len(s.config.Routes.Operations))
	class := s.config.Settings.Classes[s.config.ClassByOperation[operation]]
	mean := s.script.Backends.Work
	work := time.Duration((0.3 + 0.7*rng.ExpFloat64()) * float64(mean))
	r := &clientRequest{rng: rng, customer: customer, operation: operation, work: min(work, maxWorkFactor*time.Duration(mean))}
	r.Request = invariant.Request{
		Operation:        name,
		Customer:         s.config.Customers[customer].Name,
		Plan:             s.config.Customers[customer].Plan,
		Idempotency:      invariant.Idempotency(class.Idempotency),
		Units:            1,
		Work:             r.work,
		Timeout:          time.Duration((0.6 + 0.4*rng.Float64()) * float64(class.Deadline)),
		Value:            class.PriorityWeight,
		LateShare:        class.LateShare,
		LatencyObjective: class.LatencyObjective,
	}
	if s.script.Clients.MaxBody > 0 {
		r.body = strings.Repeat("x", rng.IntN(s.script.Clients.MaxBody+1))
	}
	return r
}

// instanceFor draws the instance that a customer's request is sent to.
func (s *Sim) instanceFor(customer int, rng *rand.Rand) int {
	c := s.config.CustomerByName(s.config.Customers[customer].Name)
	offset := s.trafficMoves[c.Name]
	if rng.Float64() < otherInstanceShare {
		offset++
	}
	return (c.First + offset%max(1, c.Spread)) % len(s.instances)
}
