package simulation

import (
	"fmt"
	"time"
)

// The figures of a run's end.
const (
	recoveryTime        = 8 * time.Second  // after the last trouble, service must be back
	minRecoveredShare   = 0.75             // share of the tries that are served then
	minRecoveryRequests = 12               // tries that tell
	maxRecoveryLoad     = 0.5              // share of what the boxes can do, above which they may be right to refuse
	settleTime          = 25 * time.Second // on top of the longest time-out, until all that idles is closed
)

// checkQuiescent looks at what is left once all is quiet.
func (s *Sim) checkQuiescent() {
	s.checker.Overdue(s.now)
	for _, inst := range s.instances {
		if !inst.host.alive {
			continue
		}
		requests, _, conns := inst.core.Sizes()
		if !inst.core.Quiescent() || inst.core.Unanswered() != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d exchanges, %d owed", inst.number, requests, inst.core.Unanswered()))
		}
		if n := inst.shared.Memory.Load(); n != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d bytes of bodies", inst.number, n))
		}
		if len(inst.clients) > 0 || inst.shared.Clients.Load() != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d connections of clients, counts %d", inst.number, len(inst.clients), inst.shared.Clients.Load()))
		}
		if conns != len(inst.backendConns) || conns > 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d lines to boxes, its runtime %d", inst.number, conns, len(inst.backendConns)))
		}
	}
	cores := 0.0
	for _, b := range s.backends {
		if b.listedState == "up" && b.host.alive && !b.model.HasCollapsed() {
			cores += float64(s.script.Backends.Cores)
		}
	}
	load := s.script.Rate * time.Duration(s.script.Backends.Work).Seconds() / max(cores, 1e-9)
	if load < maxRecoveryLoad && s.sentAfterFaults >= minRecoveryRequests && float64(s.servedAfterFaults) < minRecoveredShare*float64(s.sentAfterFaults) {
		s.report(RuleRecovery, fmt.Sprintf("%d of %d tries were served later than %v after the last trouble", s.servedAfterFaults, s.sentAfterFaults, recoveryTime))
	}
}
