package server

import (
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/proxy"
)

// notableEndpointsAge is the age of the endpoint list from which an attempt that goes by it is logged: discovery's heartbeat
// interval of 2 s, and a moment for the heartbeat to be handled.
const notableEndpointsAge = 2300 * time.Millisecond

// oldListLogInterval is how often such an attempt is logged at the most, outside of a shutdown: while discovery is down every
// attempt goes by an old list.
const oldListLogInterval = time.Second

// endpointRecord tells by which endpoint list an instance acts that follows discovery, and how old that list is. The age
// counts from when the watch read what confirms the list, not from when the event loop handled it. It belongs to the event
// loop.
type endpointRecord struct {
	version     uint64        // that was confirmed last
	confirmedAt time.Duration // when the watch read that, on the instance's clock; before the first time, the instance's start
	greatestAge time.Duration // at which an attempt began
	oldAttempts uint64        // that began by a list of notableEndpointsAge or more
	oldLoggedAt time.Duration // when the last of them was logged outside of a shutdown
}

func (r *endpointRecord) age(now time.Duration) time.Duration { return now - r.confirmedAt }

// noteAttempt takes an attempt in that begins now, and reports whether the list that it goes by is notably old.
func (r *endpointRecord) noteAttempt(now time.Duration) (old bool) {
	age := r.age(now)
	r.greatestAge = max(r.greatestAge, age)
	old = age >= notableEndpointsAge
	if old {
		r.oldAttempts++
	}
	return old
}

// recordAttempt logs by which endpoint list an attempt begins, where that list could be out of date: during a shutdown, and
// where it is notably old. decidedAt is the time by which the instance decided.
func (s *Server) recordAttempt(effect proxy.Effect, decidedAt, now time.Duration) {
	if s.discovery == nil {
		return
	}
	old := s.endpoints.noteAttempt(now)
	message := "attempt during shutdown"
	if !s.shuttingDown.Load() {
		if !old || now < s.endpoints.oldLoggedAt+oldListLogInterval {
			return
		}
		s.endpoints.oldLoggedAt = now
		message = "attempt by an old endpoint list"
	}
	s.log.Info(message, "request", effect.Exchange.UniqueName, "addr", effect.Conn.Addr, "seq", s.endpoints.version,
		"confirmed_ms_ago", s.endpoints.age(now).Milliseconds(), "read_seq", s.discovery.readVersion.Load(),
		"late_ms", (now - decidedAt).Milliseconds(), "request_age_ms", (now - effect.Exchange.Arrived).Milliseconds())
}

// logDeparted logs the endpoints that a message of discovery has taken out of use, and how long it was on its way: since its
// bytes came, as the kernel tells, and since the watch read them.
func (s *Server) logDeparted(m endpointsConfirmed, now time.Duration) {
	if len(m.departed) > 0 {
		s.log.Info("endpoints departed", "seq", m.version, "addrs", m.departed, "read_ms_ago", (now - m.readAt).Milliseconds(),
			"arrived_ms_ago", (now - m.arrivedAt).Milliseconds())
	}
}

// departedEndpoints returns the addresses of the endpoints that are up in one list and not in the next: they drain, or are
// removed, or are left out.
func departedEndpoints(before, after map[string]config.Endpoint) []string {
	var addresses []string
	for name, endpoint := range before {
		if isUp(endpoint) && !isUp(after[name]) {
			addresses = append(addresses, endpoint.Address)
		}
	}
	return addresses
}

// isUp reports whether an endpoint takes new requests. One without a name is none.
func isUp(endpoint config.Endpoint) bool {
	return endpoint.Name != "" && decision.EndpointState(endpoint.State) == decision.Up
}
