package proxy

import (
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// BackendConn is a connection to a backend as the instance knows it. Except for Owner it belongs to the instance's owner.
type BackendConn struct {
	Owner any    // the runtime's connection, for the runtime's use; set when it carries out DialBackend
	Addr  string // host:port that it is made to

	backend        *backendEntry
	processStarted config.Timestamp // start of the backend's process that it is made to, as the endpoint list said then
	state          connState
	exchange       *Exchange     // whose attempt it carries or is being made for; nil: none
	attempt        int           // that attempt's number
	dialStartedAt  time.Duration // when dialling began
	idleSince      time.Duration // when it was last returned to the pool; 0 before
	reportedLoad   []float64     // from the head of a response that is streamed, until its end
	reportedUnits  float64       // likewise
}

// connState is where a backend connection stands.
type connState uint8

// The states of a backend connection.
const (
	connDialing connState = iota // counted, not yet connected
	connIdle                     // in its backend's idleConns
	connBusy                     // carries an attempt, or has just ended one
	connClosed                   // no longer counted; what is reported of it is ignored
)

// BackendConnected reports that a connection is made. The attempt that waits for it begins, unless it is obsolete by now.
func (inst *Instance) BackendConnected(now time.Duration, conn *BackendConn) {
	inst.advanceTo(now)
	if conn.state != connDialing {
		return
	}
	if conn.Addr == conn.backend.addr {
		conn.backend.roundTrip.add(inst.now-conn.dialStartedAt, inst.now)
	}
	if ex := conn.exchange; ex == nil { // its attempt is over
		inst.returnToPool(conn)
	} else {
		inst.writeAttempt(conn, ex, conn.attempt)
	}
	inst.drainEvents()
}

// BackendDisconnected reports that a connection could not be made or is lost. requestIncomplete says that not all of the
// request was written: the attempt on it is counted as not run, assuming that backends act only on complete requests. Else
// it may have run.
func (inst *Instance) BackendDisconnected(now time.Duration, conn *BackendConn, requestIncomplete bool) {
	inst.advanceTo(now)
	if conn.state == connClosed {
		return
	}
	ex, index, previous := conn.exchange, conn.attempt, conn.state
	inst.removeConn(conn)
	if ex != nil {
		outcome := decision.ConnectionReset
		if previous == connDialing || requestIncomplete {
			outcome = decision.ConnectFailed
		}
		inst.failAttempt(ex, index, outcome)
	}
	inst.removeIfUnused(conn.backend)
	inst.drainEvents()
}

// ResponseReceived reports what a ResponseReader made of a connection's bytes: Complete, Started, Ended or Malformed;
// NeedMore and Continued don't concern the instance. After Started the runtime reads on only when it gets the effect
// StreamResponse or CloseBackend for the connection.
func (inst *Instance) ResponseReceived(now time.Duration, conn *BackendConn, response *Response) {
	inst.advanceTo(now)
	ex, index := conn.exchange, conn.attempt
	if conn.state != connBusy || ex == nil {
		inst.closeConn(conn) // bytes that answer no request
		inst.drainEvents()
		return
	}
	kind := response.Kind
	if ex.state == Streaming && ex.streamingAttempt == index && (kind == Complete || kind == Started) {
		kind = Malformed // another response within the one that is streamed
	}
	switch kind {
	case Complete:
		inst.reuseOrClose(conn, response.ReuseConn)
		inst.completeResponse(ex, index, response)
	case Started:
		inst.startResponse(conn, response)
	case Ended:
		inst.reuseOrClose(conn, response.ReuseConn)
		inst.endResponse(conn, ex, index)
	case Malformed: // the request was written, and may have run
		conn.exchange = nil
		inst.closeConn(conn)
		inst.failAttempt(ex, index, decision.ConnectionReset)
	}
	inst.drainEvents()
}

// reuseOrClose gives a connection whose response is complete back to the pool, or closes it.
func (inst *Instance) reuseOrClose(conn *BackendConn, reuse bool) {
	conn.exchange = nil
	if reuse {
		inst.returnToPool(conn)
	} else {
		inst.closeConn(conn)
	}
}

// completeResponse passes a complete response on to the client, if that has no answer yet and the attempt succeeded.
func (inst *Instance) completeResponse(ex *Exchange, index int, response *Response) {
	outcome := response.Outcome
	answered := ex.state != Forwarding
	if outcome == decision.OK && !ex.isProbe && ex.apply(eventResponseComplete) {
		ex.Status, answered = response.Status, true
		inst.unanswered--
		inst.Stats.Served++
		inst.emit(Effect{Kind: Respond, Exchange: ex, Bytes: response.Bytes, CloseAfterResponse: response.CloseAfterResponse})
	}
	inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: outcome, Answered: answered, Load: response.Load, Units: response.Units})
}

// startResponse begins to stream a response to the client, if that has no answer yet and the attempt succeeded.
//
// The attempt of a streaming class lasts until the response's end. Any other ends here: the backend has done its part, and
// what the rest takes is up to how fast the client reads. Counted as the backend's latency it would make a slow client
// look like a slow backend, and other requests would be rejected.
//
// A ResponseReader starts no response to a health check, which has no client.
func (inst *Instance) startResponse(conn *BackendConn, response *Response) {
	ex, index, outcome := conn.exchange, conn.attempt, response.Outcome
	if outcome != decision.OK || !ex.apply(eventResponseStarted) {
		conn.exchange = nil
		inst.closeConn(conn)
		ex.apply(eventAttemptLost)
		inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: outcome, Answered: ex.state != Forwarding, Load: response.Load, Units: response.Units})
		return
	}
	ex.Status, ex.streamingAttempt, ex.streamingConn = response.Status, index, conn
	conn.reportedLoad, conn.reportedUnits = response.Load, response.Units
	inst.emit(Effect{Kind: StreamResponse, Conn: conn, Exchange: ex, Bytes: response.Bytes, CloseAfterResponse: response.CloseAfterResponse})
	if inst.shared.Config.Settings.Classes[ex.Class].Stream {
		inst.queueEvent(decision.StreamStarted{Request: ex.ID, Attempt: index, Backend: conn.backend.endpoint.Backend})
		return
	}
	inst.timers.push(timer{at: inst.answerDeadline(ex), kind: streamTimer, request: ex.ID})
	inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: decision.OK, Answered: true, Load: response.Load, Units: response.Units})
}

// endResponse ends an exchange whose streamed response is complete.
func (inst *Instance) endResponse(conn *BackendConn, ex *Exchange, index int) {
	if ex.apply(eventResponseEnded) {
		inst.unanswered--
		inst.Stats.Served++
	}
	inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: decision.OK, Answered: true, Load: conn.reportedLoad, Units: conn.reportedUnits})
	inst.releaseIfDone(ex)
}
