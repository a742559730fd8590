package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sandyard/fault"
	"sandyard/invariant"
)

// The mix of the traffic.
const (
	maxWorkFactor      = 6    // of the mean work of a request: more would outlast deadlines by itself
	otherInstanceShare = 0.25 // of a customer's requests, that come through the next of its instances
)

// generateRequest draws the next operation, and schedules the one after it.
func (s *Sim) generateRequest() {
	if s.now > s.script.trafficTime() {
		s.closeIdleClients()
		return
	}
	rng := s.traffic
	weights, sum, usual := s.customerWeights()
	rate := s.script.Rate
	if f, ok := s.surges[fault.TargetAll]; ok {
		rate *= f
	}
	rate *= sum / usual
	pick, customer := rng.Float64()*sum, 0
	for ; customer < len(weights)-1 && pick >= weights[customer]; customer++ {
		pick -= weights[customer]
	}
	s.operations++
	operationRNG := rand.New(rand.NewPCG(s.script.Seed, uint64(s.operations)))
	s.startOperation(customer, s.operations, operationRNG)
	s.scheduleAfter(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), s.generateRequest)
}

// closeIdleClients closes the connections without a request, once the traffic is over.
func (s *Sim) closeIdleClients() {
	for _, pool := range s.clientPools {
		for _, c := range append([]*clientConn(nil), pool.idle...) {
			c.close(false)
		}
	}
}

// customerWeights returns each customer's weight in the traffic, its plan's rate times its surges, their sum, and the sum
// without surges.
func (s *Sim) customerWeights() (weights []float64, sum, usual float64) {
	weights = make([]float64, len(s.config.Customers))
	for i, customer := range s.config.Customers {
		weight := 1.0
		plan := s.config.CustomerByName(customer.Name).Plan
		if rate := float64(s.config.Plans[plan].Rate); rate > 0 {
			weight = rate
		}
		usual += weight
		for _, name := range [2]string{customer.Name, customer.Plan} {
			if f, ok := s.surges[name]; ok {
				weight *= f
			}
		}
		weights[i] = weight
		sum += weight
	}
	return weights, sum, usual
}

// startOperation sends the request, or pipelined requests, of one operation of a client.
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
	cu := s.config.CustomerByName(s.config.Customers[customer].Name)
	turn := s.trafficMoves[cu.Name]
	if rng.Float64() < otherInstanceShare {
		turn++
	}
	return (cu.First + turn%max(1, cu.Spread)) % len(s.instances)
}
