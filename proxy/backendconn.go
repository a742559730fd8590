package proxy

import (
	"slices"
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// BackendConnected tells that a line is connected.
func (inst *Instance) BackendConnected(now time.Duration, conn *BackendConn) {
	inst.advanceTo(now)
	if conn.state != connDialing {
		return
	}
	if conn.Addr == conn.backend.addr {
		conn.backend.roundTrip.add(inst.now-conn.lastUsedAt, inst.now)
	}
	if ex := conn.exchange; ex == nil { // its attempt is over
		inst.returnToPool(conn)
	} else {
		inst.writeAttempt(conn, ex, conn.attempt)
	}
	inst.drainEvents()
}

// BackendDisconnected tells that a line could not be made or is lost. unsent says that nothing of a request had been written.
func (inst *Instance) BackendDisconnected(now time.Duration, conn *BackendConn, unsent bool) {
	inst.advanceTo(now)
	if conn.state == connClosed {
		return
	}
	ex, index, previous := conn.exchange, conn.attempt, conn.state
	if previous == connIdle {
		conn.backend.idleConns = slices.DeleteFunc(conn.backend.idleConns, func(outcome *BackendConn) bool { return outcome == conn })
	}
	conn.state, conn.exchange = connClosed, nil
	conn.backend.connCount--
	inst.connCount--
	if ex != nil {
		outcome := decision.ConnectionReset
		if previous == connDialing || unsent {
			outcome = decision.ConnectFailed
		}
		inst.failAttempt(ex, index, outcome)
	}
	inst.removeIfUnused(conn.backend)
	inst.drainEvents()
}

// ResponseReceived tells what came on a line: Whole, Begun, Over or Broken; Flow and Nothing don't concern the core. After
// Begun the runtime waits for Grant, or Hang, before it reads on.
func (inst *Instance) ResponseReceived(now time.Duration, conn *BackendConn, response *Response) {
	inst.advanceTo(now)
	ex, index := conn.exchange, conn.attempt
	if conn.state != connBusy || ex == nil {
		if conn.state != connClosed { // bytes that nobody asked for
			inst.closeConn(conn)
		}
		inst.drainEvents()
		return
	}
	kind := response.Kind
	if ex.state == Streaming && ex.streamingAttempt == index && (kind == Complete || kind == Started) {
		kind = Malformed // another answer within the one that flows
	}
	switch kind {
	case Complete:
		conn.exchange = nil
		if response.ReuseConn {
			inst.returnToPool(conn)
		} else {
			inst.closeConn(conn)
		}
		inst.completeResponse(ex, index, response)
	case Started:
		if outcome := response.Outcome; outcome != decision.OK || !ex.apply(eventResponseStarted) {
			conn.exchange = nil
			inst.closeConn(conn)
			ex.apply(eventAttemptLost)
			inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: outcome, Answered: ex.state != Forwarding, Load: response.Load, Units: response.Units})
			break
		}
		ex.Status, ex.streamingAttempt, ex.streamingConn = response.Status, index, conn
		conn.reportedLoad, conn.reportedUnits = response.Load, response.Units
		inst.emit(Effect{Kind: StreamResponse, Conn: conn, Exchange: ex, Bytes: response.Bytes, CloseAfterResponse: response.CloseAfterResponse})
		if inst.shared.Config.Settings.Classes[ex.Class].Stream {
			inst.queueEvent(decision.StreamStarted{Request: ex.ID, Attempt: index, Backend: conn.backend.endpoint.Backend})
			break
		}
		inst.timers.push(timer{at: inst.answerDeadline(ex), kind: streamTimer, request: ex.ID})
		// The box has done its part. What the rest takes is up to how fast the client reads, and must not look
		// like a slow box to the gateway.
		inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: decision.OK, Answered: true, Load: response.Load, Units: response.Units})
	case Ended:
		conn.exchange = nil
		if response.ReuseConn {
			inst.returnToPool(conn)
		} else {
			inst.closeConn(conn)
		}
		if ex.apply(eventResponseEnded) {
			inst.unanswered--
			inst.Stats.Served++
		}
		inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: decision.OK, Answered: true, Load: conn.reportedLoad, Units: conn.reportedUnits})
		inst.releaseIfDone(ex)
	case Malformed:
		conn.exchange = nil
		inst.closeConn(conn)
		outcome := decision.ConnectionReset
		inst.failAttempt(ex, index, outcome)
	}
	inst.drainEvents()
}

// completeResponse takes a held answer in: it goes to the client if nothing else did.
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

// BackendConn is a connection to a box as the core knows it.
type BackendConn struct {
	Owner any // the runtime's connection; set by the runtime when it is told to dial
	Addr  string

	backend        *backendEntry
	processStarted config.Timestamp // of the process that it is made to, as the list told
	state          connState
	exchange       *Exchange // whose attempt it carries
	attempt        int       // the attempt's number
	id             uint64
	lastUsedAt     time.Duration // when it last ended an attempt; before that, when it was begun to be made
	reportedLoad   []float64     // told by the head of an answer that flows
	reportedUnits  float64
}

type connState uint8

const (
	connDialing connState = iota
	connIdle
	connBusy
	connClosed
)
