package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sandyard/invariant"
)

// generateRequest draws the next operation, and schedules the one after it.
func (s *Sim) generateRequest() {
	if s.now > s.script.trafficTime() {
		for _, a := range s.clientPools { // the traffic is over
			for _, c := range append([]*clientConn(nil), a.idle...) {
				c.close(false)
			}
		}
		return
	}
	rng := s.traffic
	rate := s.script.Rate
	if f, ok := s.surges["*"]; ok {
		rate *= f
	}
	weights := make([]float64, len(s.config.Customers))
	sum, usual := 0.0, 0.0
	for index, customer := range s.config.Customers {
		weight := 1.0
		p := s.config.CustomerByName(customer.Name).Plan
		if q := float64(s.config.Plans[p].Rate); q > 0 {
			weight = q
		}
		usual += weight
		for _, name := range [2]string{customer.Name, customer.Plan} {
			if f, ok := s.surges[name]; ok {
				weight *= f
			}
		}
		weights[index] = weight
		sum += weight
	}
	rate *= sum / usual
	pick, index := rng.Float64()*sum, 0
	for ; index < len(weights)-1 && pick >= weights[index]; index++ {
		pick -= weights[index]
	}
	s.operations++
	rng2 := rand.New(rand.NewPCG(s.script.Seed, uint64(s.operations)))
	s.startOperation(index, s.operations, rng2)
	s.scheduleAfter(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), s.generateRequest)
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
		ops := s.config.Routes.Operations
		operation := rng.IntN(len(ops))
		class := s.config.Settings.Classes[s.config.ClassByOperation[operation]]
		work := time.Duration((0.3 + 0.7*rng.ExpFloat64()) * float64(s.script.Backends.Work))
		request := &clientRequest{rng: rng, customer: customer, operation: operation, work: min(work, 6*time.Duration(s.script.Backends.Work))}
		request.Request = invariant.Request{Operation: fmt.Sprintf("%d.%d", number, k), Customer: s.config.Customers[customer].Name, Plan: s.config.Customers[customer].Plan,
			Idempotency: invariant.Idempotency(class.Idempotency), Units: 1, Work: request.work, Value: class.PriorityWeight, LateShare: class.LateShare, LatencyObjective: class.LatencyObjective,
			Timeout: time.Duration((0.6 + 0.4*rng.Float64()) * float64(class.Deadline))}
		if s.script.Clients.MaxBody > 0 {
			request.body = strings.Repeat("x", rng.IntN(s.script.Clients.MaxBody+1))
		}
		s.send(request, conn, instance, k)
	}
}

// instanceFor draws the instance that a customer's request is sent to.
func (s *Sim) instanceFor(customer int, rng *rand.Rand) int {
	cu := s.config.CustomerByName(s.config.Customers[customer].Name)
	turn := s.trafficMoves[cu.Name]
	if rng.Float64() < 0.25 {
		turn++
	}
	return (cu.First + turn%max(1, cu.Spread)) % len(s.instances)
}
