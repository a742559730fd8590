package simulation

import (
	"fmt"
	"math"
	"strings"
	"time"

	"sandyard/emulator"
	"sandyard/fault"
)

// beginFault begins a trouble of the script, and plans its end.
func (s *Sim) beginFault(e fault.Event) {
	s.logEvent(fmt.Sprintf("trouble %s %s %g", e.Verb, e.Target, e.Value))
	s.digest(faultBegun, []uint64{math.Float64bits(e.Value)}, string(e.Verb), e.Target)
	s.cover("trouble " + string(e.Verb))
	end := func(do func()) {
		if e.Duration > 0 {
			s.scheduleAfter(e.Duration, func() {
				s.logEvent(fmt.Sprintf("over %s %s", e.Verb, e.Target))
				s.digest(faultOver, nil, string(e.Verb), e.Target)
				do()
			})
		}
	}
	switch e.Verb {
	case fault.Surge:
		s.surges[e.Target] = e.Value
		end(func() { delete(s.surges, e.Target) })
	case fault.ClientsAbort:
		s.abortShare = e.Value
		end(func() { s.abortShare = 0 })
	case fault.SlowClients:
		s.slowShare = e.Value
		end(func() { s.slowShare = 0 })
	case fault.InvalidRequests:
		s.invalidShare = e.Value
		end(func() { s.invalidShare = 0 })
	case fault.MoveTraffic:
		for _, customer := range s.config.Customers {
			if e.Target == "*" || e.Target == customer.Name || e.Target == customer.Plan {
				s.trafficMoves[customer.Name]++
			}
		}
	case fault.Kill:
		s.killProcesses(e, end)
	case fault.Drain, fault.Replace, fault.Vanish:
		s.drainBackend(e)
	case fault.TornEndpointFile:
		s.endpointFile = s.endpointFile[:len(s.endpointFile)/2]
		s.notifyInstances()
		end(s.writeEndpoints)
		if e.Duration == 0 {
			s.scheduleAfter(time.Second, s.writeEndpoints)
		}
	case fault.Partition, fault.OneWayPartition, fault.AddedLatency, fault.Throttle:
		s.beginLinkFault(e, end)
	case fault.Pause, fault.NotAccepting, fault.DescriptorLimit:
		for _, h := range s.targets(e.Target) {
			switch e.Verb {
			case fault.Pause:
				h.pause(true)
				s.checker.InstancePaused(s.instanceOf(h), s.now, true)
				end(func() {
					h.pause(false)
					s.network.acceptPending(h)
					s.checker.InstancePaused(s.instanceOf(h), s.now, false)
				})
			case fault.NotAccepting:
				h.notAccepting = true
				end(func() { h.notAccepting = false; s.network.acceptPending(h) })
			default:
				h.descriptors = max(0, int(e.Value)-len(h.conns))
				end(func() { h.descriptors = -1; s.network.acceptPending(h) })
			}
		}
	default:
		if s.counter != nil && e.Target == "keeper" {
			s.counter.setFault(e.Verb, e.Value, true)
			end(func() { s.counter.setFault(e.Verb, e.Value, false) })
			return
		}
		for _, b := range s.backends {
			if e.Target == "*" || e.Target == "boxes" || e.Target == b.name {
				b.setFault(e.Verb, e.Value, true)
				end(func() { b.setFault(e.Verb, e.Value, false) })
			}
		}
	}
}

// targets finds processes by name; * stands for all boxes and doors.
func (s *Sim) targets(name string) (hs []*host) {
	for _, inst := range s.instances {
		if name == "*" || name == "doors" || name == inst.host.name {
			hs = append(hs, inst.host)
		}
	}
	for _, b := range s.backends {
		if name == "*" || name == "boxes" || name == b.name {
			hs = append(hs, b.host)
		}
	}
	if s.counter != nil && name == "keeper" {
		hs = append(hs, s.counter.host)
	}
	if name == "clients" {
		hs = append(hs, s.clientHost)
	}
	return hs
}

func (s *Sim) beginLinkFault(e fault.Event, end func(func())) {
	a, b, two := strings.Cut(e.Target, "/")
	from, to := s.targets(a), s.targets(b)
	if !two {
		to = append(s.targets("*"), s.targets("keeper")...)
	}
	for _, x := range from {
		for _, y := range to {
			if x == y {
				continue
			}
			ways := []*link{s.network.link(x, y), s.network.link(y, x)}
			if e.Verb == fault.OneWayPartition {
				ways = ways[:1]
			}
			for _, l := range ways {
				switch e.Verb {
				case fault.AddedLatency:
					l.addedLatency = time.Duration(e.Value * float64(time.Millisecond))
					end(func() { l.addedLatency = 0 })
				case fault.Throttle:
					l.bytesPerSecond = max(100, e.Value)
					end(func() { l.bytesPerSecond = 0 })
				default:
					l.blocked++
					end(func() { l.blocked-- })
				}
			}
		}
	}
}

// killProcesses ends processes at once; they start anew after the trouble's time.
func (s *Sim) killProcesses(e fault.Event, end func(func())) {
	for _, inst := range s.instances {
		if e.Target != inst.host.name && e.Target != "doors" || !inst.host.alive {
			continue
		}
		s.checker.InstanceDown(inst.number, s.now)
		inst.kill()
		end(func() {
			s.checker.InstanceUp(inst.number, s.now)
			// who asks on a connection of the old process has not heard of its end yet
			s.checker.InstancePaused(inst.number, s.now+s.roundTripAllowance(), false)
			inst.start(s.instanceSeed(inst))
		})
	}
	for _, b := range s.backends {
		if e.Target != b.name && e.Target != "boxes" || !b.host.alive {
			continue
		}
		b.incarnation++
		b.conns = nil
		s.network.kill(b.host)
		b.host.accept = nil
		end(func() {
			b.start(true)
			s.writeEndpoints() // with its new time of start
		})
	}
	if s.counter != nil && e.Target == "keeper" && s.counter.host.alive {
		s.network.kill(s.counter.host)
		s.counter.conns = nil
		s.counter.host.accept = nil
		s.counter.earlierIncrements += s.counter.model.Increments
		s.counter.model = emulator.NewCounter()
		end(s.counter.start)
	}
}

// drainBackend lists a box as draining and then as gone, with a cold replacement if asked for.
func (s *Sim) drainBackend(e fault.Event) {
	for _, b := range s.backends {
		if b.name != e.Target || b.listedState != "up" || !b.host.alive {
			continue
		}
		b.listedState = "draining"
		if e.Verb == fault.Vanish {
			b.listedState = "gone"
		}
		s.writeEndpoints()
		s.scheduleAfter(max(e.Duration, s.config.Settings.DrainGrace), func() {
			b.listedState = "gone"
			if e.Verb == fault.Replace {
				s.replacements++
				s.addBackend(fmt.Sprintf("%s-r%d", e.Target, s.replacements)).start(true)
			}
			s.writeEndpoints()
			s.scheduleAfter(10*time.Second, func() {
				b.incarnation++
				b.conns = nil
				s.network.kill(b.host)
				b.host.accept = nil
			})
		})
		return
	}
}
