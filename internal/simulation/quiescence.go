package simulation

import (
	"fmt"
	"time"
)

// When service must have recovered, and when nothing may be left.
const (
	recoveryTime        = 8 * time.Second  // after the last fault: slow start and backoff are over
	minRecoveredShare   = 0.75             // of the requests sent after that must be served
	minRecoveryRequests = 12               // fewer requests say nothing about a share
	maxRecoveryLoad     = 0.5              // share of the backends' capacity, above which load may be shed rightly
	settleTime          = 25 * time.Second // after the traffic and the longest timeout, until all idle connections are closed
)

// checkQuiescent checks that nothing is left once all is quiet, and that service had recovered.
func (s *Sim) checkQuiescent() {
	s.checker.TimeOutUnanswered(s.now)
	for _, inst := range s.instances {
		if !inst.host.alive {
			continue
		}
		requests, _, conns := inst.core.Sizes()
		if !inst.core.Quiescent() || inst.core.Unanswered() != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d exchanges, %d owed", inst.number, requests, inst.core.Unanswered()))
		}
		if n := inst.shared.ReservedBytes.Load(); n != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d bytes of bodies", inst.number, n))
		}
		if len(inst.clients) > 0 || inst.shared.ClientConns.Load() != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d connections of clients, counts %d", inst.number, len(inst.clients), inst.shared.ClientConns.Load()))
		}
		if conns != len(inst.backendConns) || conns > 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d lines to boxes, its runtime %d", inst.number, conns, len(inst.backendConns)))
		}
	}
	cores := 0.0
	for _, b := range s.backends {
		if b.listedState == listedUp && b.host.alive && !b.model.HasCollapsed() {
			cores += float64(s.script.Backends.Cores)
		}
	}
	load := s.script.Rate * time.Duration(s.script.Backends.Work).Seconds() / max(cores, 1e-9)
	if load < maxRecoveryLoad && s.sentAfterFaults >= minRecoveryRequests && float64(s.servedAfterFaults) < minRecoveredShare*float64(s.sentAfterFaults) {
		s.report(RuleRecovery, fmt.Sprintf("%d of %d tries were served later than %v after the last trouble", s.servedAfterFaults, s.sentAfterFaults, recoveryTime))
	}
}
