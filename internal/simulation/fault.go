package simulation

import (
	"fmt"
	"math"
	"strings"
	"time"

	"sandyard/fault"
)

// Parameters of faults that a script does not set.
const (
	tornFileDuration = time.Second      // after which a torn endpoint file is repaired, if the fault has no duration
	removalDelay     = 10 * time.Second // for which a removed backend keeps running, so that its responses can end
	minLinkRate      = 100.0            // lowest rate of a throttled link (bytes/s); below it no response would complete
)

// beginFault begins a fault of the script, and schedules its end.
func (s *Sim) beginFault(e fault.Event) {
	s.logEvent(fmt.Sprintf("trouble %s %s %g", e.Verb, e.Target, e.Value))
	s.digest(faultStarted, []uint64{math.Float64bits(e.Value)}, string(e.Verb), e.Target)
	s.countReached("trouble " + string(e.Verb))
	switch e.Verb {
	case fault.Surge, fault.ClientsAbort, fault.SlowClients, fault.InvalidRequests, fault.MoveTraffic:
		s.beginTrafficFault(e)
	case fault.Kill:
		s.killProcesses(e)
	case fault.Drain, fault.Replace, fault.Vanish:
		s.drainBackend(e)
	case fault.TornEndpointFile:
		s.tearEndpointFile(e)
	case fault.Partition, fault.OneWayPartition, fault.AddedLatency, fault.Throttle:
		s.beginLinkFault(e)
	case fault.Pause, fault.NotAccepting, fault.DescriptorLimit:
		for _, h := range s.targets(e.Target) {
			s.beginHostFault(e, h)
		}
	default:
		s.beginModelFault(e)
	}
}

// atEnd schedules do for the end of a fault. A fault without a duration has no end, and do does not run.
func (s *Sim) atEnd(e fault.Event, do func()) {
	if e.Duration <= 0 {
		return
	}
	s.scheduleAfter(e.Duration, func() {
		s.logEvent(fmt.Sprintf("over %s %s", e.Verb, e.Target))
		s.digest(faultEnded, nil, string(e.Verb), e.Target)
		do()
	})
}

func (s *Sim) beginTrafficFault(e fault.Event) {
	switch e.Verb {
	case fault.Surge:
		s.surges[e.Target] = e.Value
		s.atEnd(e, func() { delete(s.surges, e.Target) })
	case fault.ClientsAbort:
		s.abortShare = e.Value
		s.atEnd(e, func() { s.abortShare = 0 })
	case fault.SlowClients:
		s.slowShare = e.Value
		s.atEnd(e, func() { s.slowShare = 0 })
	case fault.InvalidRequests:
		s.invalidShare = e.Value
		s.atEnd(e, func() { s.invalidShare = 0 })
	case fault.MoveTraffic:
		for _, customer := range s.config.Customers {
			if e.Target == fault.TargetAll || e.Target == customer.Name || e.Target == customer.Plan {
				s.trafficMoves[customer.Name]++
			}
		}
	}
}

// tearEndpointFile truncates the endpoint file to half until the fault's end.
func (s *Sim) tearEndpointFile(e fault.Event) {
	s.endpointFile = s.endpointFile[:len(s.endpointFile)/2]
	s.notifyInstances()
	s.atEnd(e, s.writeEndpoints)
	if e.Duration == 0 {
		s.scheduleAfter(tornFileDuration, s.writeEndpoints)
	}
}

func (s *Sim) beginHostFault(e fault.Event, h *host) {
	switch e.Verb {
	case fault.Pause:
		h.pause(true)
		s.checker.InstancePaused(s.instanceOf(h), s.now, true)
		s.atEnd(e, func() {
			h.pause(false)
			s.network.acceptPending(h)
			s.checker.InstancePaused(s.instanceOf(h), s.now, false)
		})
	case fault.NotAccepting:
		h.notAccepting = true
		s.atEnd(e, func() { h.notAccepting = false; s.network.acceptPending(h) })
	case fault.DescriptorLimit:
		h.descriptors = max(0, int(e.Value)-len(h.conns))
		s.atEnd(e, func() { h.descriptors = -1; s.network.acceptPending(h) })
	}
}

// beginModelFault begins a fault of the emulated counter or of backends.
func (s *Sim) beginModelFault(e fault.Event) {
	if s.counter != nil && e.Target == fault.TargetCounter {
		s.counter.setFault(e.Verb, e.Value, true)
		s.atEnd(e, func() { s.counter.setFault(e.Verb, e.Value, false) })
		return
	}
	for _, b := range s.backends {
		if e.Target == fault.TargetAll || e.Target == fault.TargetBackends || e.Target == b.name {
			b.setFault(e.Verb, e.Value, true)
			s.atEnd(e, func() { b.setFault(e.Verb, e.Value, false) })
		}
	}
}

// targets returns the processes that a target names. fault.TargetAll (*) names all backends and instances.
func (s *Sim) targets(name string) (hs []*host) {
	for _, inst := range s.instances {
		if name == fault.TargetAll || name == fault.TargetInstances || name == inst.host.name {
			hs = append(hs, inst.host)
		}
	}
	for _, b := range s.backends {
		if name == fault.TargetAll || name == fault.TargetBackends || name == b.name {
			hs = append(hs, b.host)
		}
	}
	if s.counter != nil && name == fault.TargetCounter {
		hs = append(hs, s.counter.host)
	}
	if name == fault.TargetClients {
		hs = append(hs, s.clientHost)
	}
	return hs
}

// beginLinkFault begins a fault of the links between two processes, or of all links of one.
func (s *Sim) beginLinkFault(e fault.Event) {
	a, b, isPair := strings.Cut(e.Target, "/")
	from, to := s.targets(a), s.targets(b)
	if !isPair {
		to = append(s.targets(fault.TargetAll), s.targets(fault.TargetCounter)...)
	}
	for _, x := range from {
		for _, y := range to {
			if x == y {
				continue
			}
			s.setLinkFault(e, s.network.link(x, y))
			if back := s.network.link(y, x); e.Verb != fault.OneWayPartition {
				s.setLinkFault(e, back)
			}
		}
	}
}

func (s *Sim) setLinkFault(e fault.Event, l *link) {
	switch e.Verb {
	case fault.AddedLatency:
		l.addedLatency = time.Duration(e.Value * float64(time.Millisecond))
		s.atEnd(e, func() { l.addedLatency = 0 })
	case fault.Throttle:
		l.bytesPerSecond = max(minLinkRate, e.Value)
		s.atEnd(e, func() { l.bytesPerSecond = 0 })
	default:
		l.blocked++
		s.atEnd(e, func() { l.blocked-- })
	}
}

// killProcesses terminates processes at once. They are restarted after the fault's duration.
func (s *Sim) killProcesses(e fault.Event) {
	for _, inst := range s.instances {
		if e.Target != inst.host.name && e.Target != fault.TargetInstances || !inst.host.alive {
			continue
		}
		s.checker.InstanceDown(inst.number, s.now)
		inst.kill()
		s.atEnd(e, func() {
			s.checker.InstanceUp(inst.number, s.now)
			// Exempts requests that clients send within the round-trip allowance: the reset of a connection to the old
			// process may not have reached the client yet.
			s.checker.InstancePaused(inst.number, s.now+s.roundTripAllowance(), false)
			inst.start(s.instanceSeed(inst))
		})
	}
	for _, b := range s.backends {
		if e.Target != b.name && e.Target != fault.TargetBackends || !b.host.alive {
			continue
		}
		b.kill()
		s.atEnd(e, func() {
			b.start(true)
			s.writeEndpoints() // with the new start time
		})
	}
	if s.counter != nil && e.Target == fault.TargetCounter && s.counter.host.alive {
		s.counter.kill()
		s.atEnd(e, s.counter.start)
	}
}

// drainBackend lists a backend as draining and then removes it. Vanish removes it at once, and Replace adds a replacement
// in slow start.
func (s *Sim) drainBackend(e fault.Event) {
	for _, b := range s.backends {
		if b.name != e.Target || b.listedState != listedUp || !b.host.alive {
			continue
		}
		b.listedState = listedDraining
		if e.Verb == fault.Vanish {
			b.listedState = listedRemoved
		}
		s.writeEndpoints()
		s.scheduleAfter(max(e.Duration, s.config.Settings.DrainGrace), func() {
			b.listedState = listedRemoved
			if e.Verb == fault.Replace {
				s.replacements++
				s.addBackend(fmt.Sprintf("%s-r%d", e.Target, s.replacements)).start(true)
			}
			s.writeEndpoints()
			s.scheduleAfter(removalDelay, b.kill)
		})
		return
	}
}
