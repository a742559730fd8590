package simulation

import (
	"fmt"
	"time"
)

// Parameters of the checks of RuleRecovery and RuleLeak.
const (
	recoveryTime        = 8 * time.Second  // time after the last fault in which slow start and backoff end
	minRecoveredShare   = 0.75             // share of the requests sent after that time that must be served
	minRecoveryRequests = 12               // with fewer requests a share says nothing
	maxRecoveryLoad     = 0.5              // share of the backends' capacity above which load may rightly be shed
	settleTime          = 25 * time.Second // after the traffic and the longest timeout, until all idle connections must be closed
)

// checkQuiescent checks at the end of a run that no resources are left over, and that service had recovered.
func (s *Sim) checkQuiescent() {
	s.checker.TimeOutUnanswered(s.now)
	for _, inst := range s.instances {
		if !inst.host.alive {
			continue
		}
		requests, _, conns := inst.core.Sizes()
		if !inst.core.Quiescent() || inst.core.Unanswered() != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d exchanges, %d unanswered", inst.number, requests, inst.core.Unanswered()))
		}
		if n := inst.shared.ReservedBytes.Load(); n != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d reserved bytes of bodies", inst.number, n))
		}
		if len(inst.clients) > 0 || inst.shared.ClientConns.Load() != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d client connections, its count is %d", inst.number, len(inst.clients), inst.shared.ClientConns.Load()))
		}
		if conns != len(inst.backendConns) || conns > 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d backend connections in its core, %d in its runtime", inst.number, conns, len(inst.backendConns)))
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
		s.report(RuleRecovery, fmt.Sprintf("%d of %d requests that were sent later than %v after the last fault were served", s.servedAfterFaults, s.sentAfterFaults, recoveryTime))
	}
}
