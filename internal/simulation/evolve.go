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

// maxEvolvedFaults bounds the faults of an evolved script, which would grow with each crossover.
const maxEvolvedFaults = 120

// crossover takes over half of another script's faults.
func (s *Script) crossover(o *Script, rng *rand.Rand) {
	for _, e := range o.Events {
		if len(s.Events) < maxEvolvedFaults && rng.IntN(2) == 0 {
			s.Events = append(s.Events, e)
		}
	}
}

// mutate makes one change to a script.
func (s *Script) mutate(rng *rand.Rand) {
	builder := &scenarioBuilder{s, rng}
	n := len(s.Events)
	some := func() *fault.Event { return &s.Events[rng.IntN(n)] }
	factor := func() float64 { return math.Exp(rng.NormFloat64() * 0.4) }
	switch k := rng.IntN(14); {
	case k == 0:
		s.WrittenSeed = rng.IntN(1 << 40)
		s.Seed = uint64(s.WrittenSeed)
	case k == 1:
		s.Rate = math.Round(s.Rate * factor())
	case k == 2:
		s.Backends.Count += rng.IntN(3) - 1
	case k == 3:
		s.Instances += rng.IntN(3) - 1
	case k == 4:
		s.Backends.Work = strictyaml.Duration((time.Duration(float64(s.Backends.Work) * factor())).Truncate(time.Millisecond))
	case k == 5:
		s.Net.Latency = strictyaml.Duration(time.Duration(builder.oneOf(100, 500, 1000, 5000)) * time.Microsecond)
	case k == 6:
		s.Clients.Retries, s.Clients.NewConnShare = rng.IntN(4), builder.oneOf(0.02, 0.2, 0.8)
	case k == 7 && n > 0:
		i := rng.IntN(n)
		s.Events = slices.Delete(s.Events, i, i+1)
	case k == 8 && n > 0 && n < maxEvolvedFaults:
		e := *some()
		e.At += time.Duration(rng.NormFloat64() * float64(time.Second)).Truncate(time.Millisecond)
		s.Events = append(s.Events, e)
	case k == 9 && n > 0:
		e := some()
		e.At += time.Duration(rng.NormFloat64() * float64(700*time.Millisecond)).Truncate(time.Millisecond)
	case k == 10 && n > 0:
		e := some()
		e.Duration = time.Duration(float64(e.Duration) * factor()).Truncate(time.Millisecond)
	case k == 11 && n > 0:
		e := some()
		e.Value = math.Round(e.Value*factor()*100) / 100
	case k == 12 && n > 0: // another target of the same kind
		e := some()
		switch name := fmt.Sprint(e.Target); {
		case len(name) > 4 && name[:4] == "box-":
			e.Target = builder.backendName(rng.IntN(max(1, s.Backends.Count)))
		case len(name) > 5 && name[:5] == "door-":
			e.Target = fmt.Sprintf("door-%d", rng.IntN(max(1, s.Instances)))
		}
	case n < maxEvolvedFaults:
		s.Events = append(s.Events, s.drawFault(rng, faultKinds[rng.IntN(len(faultKinds))]))
	}
}

// clamp keeps a mutated script within the bounds of generated ones.
func (s *Script) clamp() {
	s.Backends.Count, s.Instances = min(75, max(1, s.Backends.Count)), min(40, max(1, s.Instances))
	s.Rate = min(maxRate, max(2, s.Rate))
	s.Backends.Work = strictyaml.Duration(max(time.Millisecond, min(250*time.Millisecond, time.Duration(s.Backends.Work))))
	s.boundWork()
	for i := range s.Events {
		e := &s.Events[i]
		most := 10 * time.Second
		for _, k := range faultKinds { // as long as is generated, at most
			if k.verb == e.Verb && k.maxDuration > 0 {
				most = k.maxDuration
			}
		}
		e.Duration = min(most, max(0, e.Duration))
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
