package server

import (
	"context"
	"log/slog"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/proxy"
)

// oldListAge is the age from which the endpoint list counts as old and attempts that use it are logged: discovery's heartbeat
// interval of 2 s, and some time to handle the heartbeat.
const oldListAge = 2300 * time.Millisecond

// oldListLogInterval is the minimum interval between log records of such attempts outside of a shutdown. While discovery is
// down, every attempt uses an old list.
const oldListLogInterval = time.Second

// endpointListStatus holds the version and the age of the endpoint list that an instance uses, if it watches discovery. The
// age counts from when the watch read the confirmation of the list, not from when the event loop handled it. Only the event
// loop uses it.
type endpointListStatus struct {
	version     uint64        // that was confirmed last
	confirmedAt time.Duration // when the watch read the confirmation, on the instance's clock; the instance's start if there is none
	maxAge      time.Duration // maximum age at the beginning of an attempt
	oldAttempts uint64        // number of attempts that used a list of oldListAge or more
	unwatched   uint64        // number of attempts that began while no watch was open
	oldLoggedAt time.Duration // when such an attempt was last logged outside of a shutdown
}

func (r *endpointListStatus) age(now time.Duration) time.Duration { return now - r.confirmedAt }

// recordAttempt records an attempt that begins now, and reports whether the list that it uses is old. unwatchedFor is how long no
// watch has been open; 0: one is open.
func (r *endpointListStatus) recordAttempt(now, unwatchedFor time.Duration) (old bool) {
	if unwatchedFor > 0 {
		r.unwatched++
	}
	age := r.age(now)
	r.maxAge = max(r.maxAge, age)
	old = age >= oldListAge
	if old {
		r.oldAttempts++
	}
	return old
}

// logAttempt logs the endpoint list that an attempt uses: at the debug level for each attempt, else if the list could be outdated,
// that is during a shutdown or if it is old. decidedAt is when the instance decided on the attempt, on the instance's clock.
func (s *Server) logAttempt(effect proxy.Effect, decidedAt, now time.Duration) {
	if s.discovery == nil {
		return
	}
	unwatchedFor := s.discovery.input.unwatchedFor(now)
	old := s.listStatus.recordAttempt(now, unwatchedFor)
	level, message := slog.LevelInfo, "attempt by an old endpoint list"
	switch {
	case s.shuttingDown.Load():
		message = "attempt during shutdown"
	case old && now >= s.listStatus.oldLoggedAt+oldListLogInterval:
		s.listStatus.oldLoggedAt = now
	case s.debug:
		level, message = slog.LevelDebug, "attempt"
	default:
		return
	}
	s.log.Log(context.Background(), level, message, "request", effect.Exchange.UniqueName, "addr", effect.Conn.Addr, "seq", s.listStatus.version,
		"confirmed_ms_ago", s.listStatus.age(now).Milliseconds(), "unwatched_ms", unwatchedFor.Milliseconds(), "read_seq", s.discovery.readVersion.Load(),
		"late_ms", (now - decidedAt).Milliseconds(), "request_age_ms", (now - effect.Exchange.Arrived).Milliseconds())
}

// logDeparted logs the endpoints that a message of discovery has taken out of use, and the time since its bytes arrived,
// according to the kernel, and since the watch read them.
func (s *Server) logDeparted(m endpointsConfirmed, now time.Duration) {
	if len(m.departed) > 0 {
		s.log.Info("endpoints departed", "seq", m.version, "addrs", m.departed, "read_ms_ago", (now - m.readAt).Milliseconds(),
			"arrived_ms_ago", (now - m.arrivedAt).Milliseconds())
	}
}

// departedEndpoints returns the addresses of the endpoints that are up in one list and not in the next, where they are
// draining, removed or missing.
func departedEndpoints(before, after map[string]config.Endpoint) []string {
	var addresses []string
	for name, endpoint := range before {
		if isUp(endpoint) && !isUp(after[name]) {
			addresses = append(addresses, endpoint.Address)
		}
	}
	return addresses
}

// isUp reports whether an endpoint takes new requests. The zero endpoint, which has no name, does not.
func isUp(endpoint config.Endpoint) bool {
	return endpoint.Name != "" && decision.EndpointState(endpoint.State) == decision.Up
}
