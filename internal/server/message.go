package server

import (
	"time"

	"sandyard/proxy"
)

// message is something that the event loop hands to proxy.Instance. apply is called by the event loop alone, and must not
// block; what follows from it is carried out before the next message.
//
// Messages of the request path are pointers, or structs of one pointer: queueing one allocates nothing.
type message interface {
	apply(s *Server, now time.Duration)
}

// requestArrived is a whole request of a client. Its connection posts it by postRequest.
type requestArrived struct{ exchange *proxy.Exchange }

func (m requestArrived) apply(s *Server, now time.Duration) {
	s.instance.RequestArrived(now, m.exchange)
}

// unansweredFailed is step 3 of the shutdown: all requests without an answer get one.
type unansweredFailed struct{}

func (unansweredFailed) apply(s *Server, now time.Duration) {
	unanswered := s.instance.Unanswered()
	s.instance.FailUnanswered(now)
	s.log.Warn("shutdown: time is up for requests without an answer", "requests", unanswered)
}

// clientLeft tells that the client of an exchange has disconnected before its response was over.
type clientLeft struct{ exchange *proxy.Exchange }

func (m clientLeft) apply(s *Server, now time.Duration) { s.instance.ClientLeft(now, m.exchange) }

// backendConnected tells that a dial has succeeded.
type backendConnected struct{ conn *proxy.BackendConn }

func (m backendConnected) apply(s *Server, now time.Duration) {
	s.instance.BackendConnected(now, m.conn)
}

// backendLostRequestIncomplete tells that a backend connection could not be made, or ended, and that not all of the request
// that it was given, if any, was handed to the kernel: it is counted as not run, assuming that backends act only on complete
// requests. A loss after the last byte is a responseReceived that is malformed.
type backendLostRequestIncomplete struct{ conn *proxy.BackendConn }

func (m backendLostRequestIncomplete) apply(s *Server, now time.Duration) {
	const requestIncomplete = true
	s.instance.BackendDisconnected(now, m.conn, requestIncomplete)
}

// responseReceived is a response, its beginning or its end. It is a part of its backendConn, which has one in the queue at
// most: its reader posts the next only after the event loop has carried out what followed from this one, a permission to
// stream or a further request.
type responseReceived struct {
	conn     *proxy.BackendConn
	response proxy.Response
}

func (m *responseReceived) apply(s *Server, now time.Duration) {
	s.instance.ResponseReceived(now, m.conn, &m.response)
}

// The messages of a counter connection are dropped when it is no longer the one in use.

// counterConnected tells that the dial of the counter has succeeded.
type counterConnected struct{ conn *counterConn }

func (m counterConnected) apply(s *Server, now time.Duration) {
	if m.conn == s.counter {
		s.instance.CounterConnected(now)
	}
}

// counterDisconnected tells that the connection to the counter could not be made, or has ended.
type counterDisconnected struct{ conn *counterConn }

func (m counterDisconnected) apply(s *Server, now time.Duration) {
	if m.conn == s.counter {
		s.counter = nil
		s.instance.CounterDisconnected(now)
	}
}

// counterReceived is what was read from the counter.
type counterReceived struct {
	conn  *counterConn
	bytes []byte
}

func (m *counterReceived) apply(s *Server, now time.Duration) {
	if m.conn == s.counter {
		s.instance.CounterReceived(now, m.bytes)
	}
}

// counterMoved gives the counter another address (host:port; empty: there is none).
type counterMoved struct{ address string }

func (m counterMoved) apply(s *Server, now time.Duration) { s.instance.SetCounter(now, m.address) }

// endpointsReplaced is a whole endpoint list: what it leaves out is removed. A removal takes effect within this message: no
// attempt begins any more at an endpoint that was up, not even one that was decided before (isObsolete in
// proxy/attempts.go).
type endpointsReplaced struct{ update proxy.EndpointsUpdate }

func (m endpointsReplaced) apply(s *Server, now time.Duration) {
	s.instance.ReplaceEndpoints(now, m.update)
}

// endpointsUpdated is the entries of the endpoint list that have changed.
type endpointsUpdated struct{ update proxy.EndpointsUpdate }

func (m endpointsUpdated) apply(s *Server, now time.Duration) {
	s.instance.UpdateEndpoints(now, m.update)
}

// endpointsConfirmed tells that discovery has said something by which the list of this version is current: a message or a
// heartbeat. The list may be used from then on.
type endpointsConfirmed struct {
	version   uint64
	readAt    time.Duration // when the watch read it
	arrivedAt time.Duration // when its last bytes came, as the kernel tells
	departed  []string      // addresses of the endpoints that it takes out of use
}

func (m endpointsConfirmed) apply(s *Server, now time.Duration) {
	s.endpoints.version, s.endpoints.confirmedAt = m.version, m.readAt
	s.logDeparted(m, now)
	s.shared.MarkStarted()
}

// endpointsInForce tells that discovery has been waited for long enough: the endpoint list that the instance has may be
// used. Until then, or until endpointsConfirmed, requests are rejected.
type endpointsInForce struct{}

func (endpointsInForce) apply(s *Server, _ time.Duration) { s.shared.MarkStarted() }

// endpointPollFailed tells that the endpoint file could not be read.
type endpointPollFailed struct{}

func (endpointPollFailed) apply(s *Server, now time.Duration) { s.instance.EndpointPollFailed(now) }

// inspection inspects the instance between two messages. It must not change it.
type inspection func(instance *proxy.Instance, now time.Duration)

func (inspect inspection) apply(s *Server, now time.Duration) { inspect(s.instance, now) }
