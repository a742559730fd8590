package proxy

import (
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// BackendConn is the instance's view of a connection to a backend. Except for Owner, it belongs to the instance's owner.
type BackendConn struct {
	Owner any    // the runtime's connection, for the runtime's use; set when the runtime executes DialBackend
	Addr  string // host:port that it connects to

	backend        *backendEntry
	processStarted config.Timestamp // start of the backend's process, as listed when the connection was dialled
	state          connState
	exchange       *Exchange     // whose attempt it carries or is dialled for; nil: none
	attempt        int           // number of that attempt
	dialStartedAt  time.Duration // when dialling started
	idleSince      time.Duration // when it was last returned to the pool; 0: never
	reportedLoad   []float64     // load report in the head of a streamed response, kept until the response ends
	reportedUnits  float64       // units reported there
}

// connState is the state of a backend connection.
type connState uint8

// The states of a backend connection.
const (
	connDialing connState = iota // being established; included in connCount
	connIdle                     // in its backend's idleConns
	connBusy                     // carries an attempt, or its attempt has just ended
	connClosed                   // not included in connCount; reports about it are ignored
)

// BackendConnected reports that a connection is established. The attempt that waits for it starts, unless it has become
// obsolete.
func (inst *Instance) BackendConnected(now time.Duration, conn *BackendConn) {
	inst.advanceTo(now)
	if conn.state != connDialing {
		return
	}
	if conn.Addr == conn.backend.addr {
		conn.backend.roundTrip.add(inst.now-conn.dialStartedAt, inst.now)
	}
	if ex := conn.exchange; ex == nil { // its attempt has ended
		inst.returnToPool(conn)
	} else {
		inst.writeAttempt(conn, ex, conn.attempt)
	}
	inst.drainEvents()
}

// BackendDisconnected reports that a connection could not be established or was lost. requestIncomplete means that the
// request was not written completely: its attempt counts as not run, because backends are assumed to act only on complete
// requests. Otherwise the request may have run.
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

// ResponseReceived reports what a ResponseReader returned for a connection: Complete, Started, Ended or Malformed. NeedMore
// and Continued are not reported. After Started, the runtime must not read from the connection until it gets the effect
// StreamResponse or CloseBackend for it.
func (inst *Instance) ResponseReceived(now time.Duration, conn *BackendConn, response *Response) {
	inst.advanceTo(now)
	ex, index := conn.exchange, conn.attempt
	if conn.state != connBusy || ex == nil {
		inst.closeConn(conn) // the bytes belong to no request
		inst.drainEvents()
		return
	}
	kind := response.Kind
	if ex.state == Streaming && ex.streamingAttempt == index && (kind == Complete || kind == Started) {
		kind = Malformed // a second response before the end of the streamed one
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

// reuseOrClose returns a connection whose response is complete to the pool, or closes it.
func (inst *Instance) reuseOrClose(conn *BackendConn, reuse bool) {
	conn.exchange = nil
	if reuse {
		inst.returnToPool(conn)
	} else {
		inst.closeConn(conn)
	}
}

// completeResponse forwards a complete response to the client if the attempt succeeded and the client has no answer yet.
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

// startResponse starts to stream a response to the client if the attempt succeeded and the client has no answer yet.
//
// The attempt of a streaming class lasts until the end of the response. Any other attempt ends here: how long the rest takes
// depends on how fast the client reads. If that time counted as the backend's latency, a slow client would look like a slow
// backend, and other requests would be rejected.
//
// A ResponseReader never returns Started for a health check, which has no client.
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
	inst.timers.push(timer{at: inst.responseDeadline(ex), kind: streamTimer, request: ex.ID})
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
