package server

import (
	"time"

	"sandyard/proxy"
)

// message is an input of proxy.Instance that waits for the event loop. Only the event loop calls apply, which must not block.
// The effects of a message are carried out before the next message is applied.
//
// Messages on the request path are pointers or structs of one pointer, so that queueing them allocates nothing.
type message interface {
	apply(s *Server, now time.Duration)
}

// requestArrived is a complete request of a client. The client connection posts it with postRequest.
type requestArrived struct{ exchange *proxy.Exchange }

func (m requestArrived) apply(s *Server, now time.Duration) {
	s.instance.RequestArrived(now, m.exchange)
}

// failUnanswered is step 3 of the shutdown: the instance fails or rejects all requests that have no answer yet.
type failUnanswered struct{}

func (failUnanswered) apply(s *Server, now time.Duration) {
	unanswered := s.instance.Unanswered()
	s.instance.FailUnanswered(now)
	s.log.Warn("shutdown: time is up for requests without an answer", "requests", unanswered)
}

// clientLeft reports that the client of an exchange disconnected before its response was complete.
type clientLeft struct{ exchange *proxy.Exchange }

func (m clientLeft) apply(s *Server, now time.Duration) { s.instance.ClientLeft(now, m.exchange) }

// backendConnected reports that a dial of a backend succeeded.
type backendConnected struct{ conn *proxy.BackendConn }

func (m backendConnected) apply(s *Server, now time.Duration) {
	s.instance.BackendConnected(now, m.conn)
}

// backendDisconnected reports that a dial of a backend failed, or that a connection ended before all of its request, if it
// had one, was handed to the kernel. The request counts as not run, assuming that backends act only on complete requests. A
// loss after the last byte is a malformed responseReceived.
type backendDisconnected struct{ conn *proxy.BackendConn }

func (m backendDisconnected) apply(s *Server, now time.Duration) {
	const requestIncomplete = true
	s.instance.BackendDisconnected(now, m.conn, requestIncomplete)
}

// responseReceived is a response, or the beginning or the end of one. It is a field of its backendConn, which has at most one
// in the queue: the reader posts the next one only after the event loop has carried out the effects of this one, which are
// the permission to stream or a further request.
type responseReceived struct {
	conn     *proxy.BackendConn
	response proxy.Response
}

func (m *responseReceived) apply(s *Server, now time.Duration) {
	if m.response.Kind == proxy.Complete && m.conn.Owner.(*backendConn).hasTrailingBytes() {
		m.response = m.response.WithTrailingBytes()
	}
	s.instance.ResponseReceived(now, m.conn, &m.response)
}

// Messages of a counter connection that is no longer in use are dropped.

// counterConnected reports that a dial of the counter succeeded.
type counterConnected struct{ conn *counterConn }

func (m counterConnected) apply(s *Server, now time.Duration) {
	if m.conn == s.counter {
		s.instance.CounterConnected(now)
	}
}

// counterDisconnected reports that a dial of the counter failed or that its connection ended.
type counterDisconnected struct{ conn *counterConn }

func (m counterDisconnected) apply(s *Server, now time.Duration) {
	if m.conn == s.counter {
		s.counter = nil
		s.instance.CounterDisconnected(now)
	}
}

// counterReceived carries bytes read from the counter.
type counterReceived struct {
	conn  *counterConn
	bytes []byte
}

func (m *counterReceived) apply(s *Server, now time.Duration) {
	if m.conn == s.counter {
		s.instance.CounterReceived(now, m.bytes)
	}
}

// counterMoved changes the address of the counter (host:port; empty: no counter).
type counterMoved struct{ address string }

func (m counterMoved) apply(s *Server, now time.Duration) { s.instance.SetCounter(now, m.address) }

// endpointsReplaced is a full endpoint list: endpoints that are missing from it are removed. A removal takes effect within this
// message: no further attempt begins at a removed endpoint, not even one that was decided on before (see isObsolete in
// proxy/attempts.go).
type endpointsReplaced struct{ update proxy.EndpointsUpdate }

func (m endpointsReplaced) apply(s *Server, now time.Duration) {
	s.instance.ReplaceEndpoints(now, m.update)
}

// endpointsUpdated carries the entries of the endpoint list that have changed.
type endpointsUpdated struct{ update proxy.EndpointsUpdate }

func (m endpointsUpdated) apply(s *Server, now time.Duration) {
	s.instance.UpdateEndpoints(now, m.update)
}

// endpointsConfirmed reports that discovery has confirmed this version of the list as current, by a message or a heartbeat.
// From the first confirmation on the list may be used.
type endpointsConfirmed struct {
	version   uint64
	readAt    time.Duration // when the watch read it
	arrivedAt time.Duration // when its last bytes arrived, according to the kernel
	departed  []string      // addresses of the endpoints that the message takes out of use
}

func (m endpointsConfirmed) apply(s *Server, now time.Duration) {
	s.listStatus.version, s.listStatus.confirmedAt = m.version, m.readAt
	s.logDeparted(m, now)
	s.shared.MarkStarted()
}

// endpointPollFailed reports that the endpoint file could not be read.
type endpointPollFailed struct{}

func (endpointPollFailed) apply(s *Server, now time.Duration) { s.instance.EndpointPollFailed(now) }

// inspection reads the state of the instance between two messages. It must not change it.
type inspection func(instance *proxy.Instance, now time.Duration)

func (inspect inspection) apply(s *Server, now time.Duration) { inspect(s.instance, now) }
