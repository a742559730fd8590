package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// maxEvolvedFaults limits the faults of an evolved script. Without a limit each crossover would add more.
const maxEvolvedFaults = 120

// crossover adds each fault of another script with a probability of one half.
func (s *Script) crossover(o *Script, rng *rand.Rand) {
	for _, e := range o.Events {
		if len(s.Events) < maxEvolvedFaults && rng.IntN(2) == 0 {
			s.Events = append(s.Events, e)
		}
	}
}

// mutation is a change that mutate can make. What a seed of a hunt produces depends on the order of the mutations.
type mutation int

const (
	newSeed mutation = iota
	scaleRate
	changeBackends
	changeInstances
	scaleWork
	changeLatency
	changeClients
	dropFault
	copyFault
	shiftFault
	scaleDuration
	scaleValue
	changeTarget
	addNewFault
	mutationCount
)

// mutate makes one random change to a script. If the change is not applicable, it adds a fault instead.
func (s *Script) mutate(rng *rand.Rand) {
	n := len(s.Events)
	switch m := mutation(rng.IntN(int(mutationCount))); {
	case m <= changeClients:
		s.mutateFleet(m, rng)
	case n > 0 && m < addNewFault && (m != copyFault || n < maxEvolvedFaults):
		s.mutateFault(m, rng)
	case n < maxEvolvedFaults:
		s.Events = append(s.Events, s.drawFault(rng, faultKinds[rng.IntN(len(faultKinds))]))
	}
}

// drawFactor draws a random factor around 1 (log-normal).
func drawFactor(rng *rand.Rand) float64 { return math.Exp(rng.NormFloat64() * 0.4) }

// mutateFleet changes the seed, the processes, the network or the clients.
func (s *Script) mutateFleet(m mutation, rng *rand.Rand) {
	builder := &scenarioBuilder{s, rng}
	switch m {
	case newSeed:
		s.WrittenSeed = rng.IntN(1 << 40)
		s.Seed = uint64(s.WrittenSeed)
	case scaleRate:
		s.Rate = math.Round(s.Rate * drawFactor(rng))
	case changeBackends:
		s.Backends.Count += rng.IntN(3) - 1
	case changeInstances:
		s.Instances += rng.IntN(3) - 1
	case scaleWork:
		s.Backends.Work = strictyaml.Duration((time.Duration(float64(s.Backends.Work) * drawFactor(rng))).Truncate(time.Millisecond))
	case changeLatency:
		s.Net.Latency = strictyaml.Duration(time.Duration(builder.oneOf(100, 500, 1000, 5000)) * time.Microsecond)
	case changeClients:
		s.Clients.Retries, s.Clients.NewConnShare = rng.IntN(4), builder.oneOf(0.02, 0.2, 0.8)
	}
}

// mutateFault changes one of the faults. There must be at least one.
func (s *Script) mutateFault(m mutation, rng *rand.Rand) {
	i := rng.IntN(len(s.Events))
	e := &s.Events[i]
	switch m {
	case dropFault:
		s.Events = slices.Delete(s.Events, i, i+1)
	case copyFault:
		duplicate := *e
		duplicate.At += time.Duration(rng.NormFloat64() * float64(time.Second)).Truncate(time.Millisecond)
		s.Events = append(s.Events, duplicate)
	case shiftFault:
		e.At += time.Duration(rng.NormFloat64() * float64(700*time.Millisecond)).Truncate(time.Millisecond)
	case scaleDuration:
		e.Duration = time.Duration(float64(e.Duration) * drawFactor(rng)).Truncate(time.Millisecond)
	case scaleValue:
		e.Value = math.Round(e.Value*drawFactor(rng)*100) / 100
	case changeTarget: // to another of the same kind
		switch name := e.Target; {
		case len(name) > 4 && name[:4] == "box-":
			e.Target = (&scenarioBuilder{s, rng}).backendName(rng.IntN(max(1, s.Backends.Count)))
		case len(name) > 5 && name[:5] == "door-":
			e.Target = fmt.Sprintf("door-%d", rng.IntN(max(1, s.Instances)))
		}
	}
}

// clamp limits a mutated script to the bounds of generated ones.
func (s *Script) clamp() {
	s.Backends.Count, s.Instances = min(75, max(1, s.Backends.Count)), min(40, max(1, s.Instances))
	s.Rate = min(maxRate, max(2, s.Rate))
	s.Backends.Work = strictyaml.Duration(max(time.Millisecond, min(250*time.Millisecond, time.Duration(s.Backends.Work))))
	s.boundWork()
	for i := range s.Events {
		e := &s.Events[i]
		maxDuration := 10 * time.Second
		for _, k := range faultKinds { // at most as long as a generated fault
			if k.verb == e.Verb && k.maxDuration > 0 {
				maxDuration = k.maxDuration
			}
		}
		e.Duration = min(maxDuration, max(0, e.Duration))
		switch e.Verb {
		case fault.Surge:
			e.Value = min(e.Value, max(3, maxRate*3/s.Rate))
		case fault.Slow:
			e.Value = min(max(1, e.Value), 40)
		case fault.ServerErrors, fault.ClientsAbort, fault.SlowClients, fault.InvalidRequests, fault.PartialOutage, fault.Split:
			e.Value = min(1, e.Value)
		}
	}
	s.sortEvents()
}
