package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sandyard/invariant"
)

// generateRequest draws the next request, and plans the one after it.
func (s *Sim) generateRequest() {
	if s.now > time.Duration(s.script.Seconds*float64(time.Second)) {
		for _, a := range s.clientPools { // clients go home
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
	for i, st := range s.config.Customers {
		w := 1.0
		p := s.config.CustomerByName(st.Name).Plan
		if q := float64(s.config.Plans[p].Rate); q > 0 {
			w = q
		}
		usual += w
		for _, name := range [2]string{st.Name, st.Plan} {
			if f, ok := s.surges[name]; ok {
				w *= f
			}
		}
		weights[i] = w
		sum += w
	}
	rate *= sum / usual
	pick, i := rng.Float64()*sum, 0
	for ; i < len(weights)-1 && pick >= weights[i]; i++ {
		pick -= weights[i]
	}
	s.operations++
	own := rand.New(rand.NewPCG(s.script.Seed, uint64(s.operations)))
	s.startOperation(i, s.operations, own)
	s.scheduleAfter(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), s.generateRequest)
}

// startOperation is one thing that a client wants.
func (s *Sim) startOperation(studio, n int, rng *rand.Rand) {
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
	door := s.instanceFor(studio, rng)
	conn := s.clientPools[door].get(rng)
	for k := range count {
		ops := s.config.Routes.Operations
		op := rng.IntN(len(ops))
		class := s.config.Settings.Classes[s.config.ClassByOperation[op]]
		work := time.Duration((0.3 + 0.7*rng.ExpFloat64()) * float64(s.script.Backends.Work))
		t := &clientRequest{rng: rng, customer: studio, operation: op, work: min(work, 6*time.Duration(s.script.Backends.Work))}
		t.Request = invariant.Request{Operation: fmt.Sprintf("%d.%d", n, k), Customer: s.config.Customers[studio].Name, Plan: s.config.Customers[studio].Plan,
			Idempotency: invariant.Idempotency(class.Idempotency), Units: 1, Work: t.work, Value: class.PriorityWeight, LateShare: class.LateShare, LatencyObjective: class.LatencyObjective,
			Timeout: time.Duration((0.6 + 0.4*rng.Float64()) * float64(class.Deadline))}
		if s.script.Clients.MaxBody > 0 {
			t.body = strings.Repeat("x", rng.IntN(s.script.Clients.MaxBody+1))
		}
		s.send(t, conn, door, k)
	}
}

// instanceFor is the door that a studio's request comes in through.
func (s *Sim) instanceFor(studio int, rng *rand.Rand) int {
	cu := s.config.CustomerByName(s.config.Customers[studio].Name)
	turn := s.trafficMoves[cu.Name]
	if rng.Float64() < 0.25 {
		turn++
	}
	return (cu.First + turn%max(1, cu.Spread)) % len(s.instances)
}
