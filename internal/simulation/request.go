package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"sandyard/invariant"
)

// clientRequest is one request of a client.
type clientRequest struct {
	invariant.Request
	conn        *clientConn
	rng         *rand.Rand
	attempt     int
	customer    int
	operation   int
	body        string
	work        time.Duration
	ended       bool
	status      int
	afterFaults bool
}

// send asks. position is the request's place in a pipeline: answers come in order, and who sends several knows that.
func (s *Sim) send(t *clientRequest, c *clientConn, door, position int) {
	t.conn, t.Instance, t.SentAt = c, door, s.now
	t.ID = fmt.Sprintf("%s.%d", t.Operation, t.attempt)
	op := s.config.Routes.Operations[t.operation]
	path := op.Template
	for i := strings.IndexByte(path, '{'); i >= 0; i = strings.IndexByte(path, '{') {
		path = path[:i] + "7" + path[i+strings.IndexByte(path[i:], '}')+1:]
	}
	var b strings.Builder
	units := op.Units.Fixed
	switch op.Units.In {
	case "query":
		units = min(op.Units.Most, float64(1+t.rng.IntN(3)))
		path += "?" + op.Units.Name + "=" + strconv.FormatFloat(units, 'g', -1, 64)
	case "header":
		units = min(op.Units.Most, float64(1+t.rng.IntN(3)))
	}
	t.Units = units
	h := s.config.Headers
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: door\r\n%s: %s\r\nX-Request-Id: %s\r\nX-Work: %.3f\r\n%s: %d\r\n%s: %d\r\n", op.Method, path, h.Key,
		s.config.Customers[t.customer].Keys[0], t.ID, float64(t.work.Microseconds())/1000, h.Timeout, max(0, t.Timeout-s.roundTripAllowance()).Milliseconds(), h.Retry, t.attempt)
	if op.Units.In == "header" {
		fmt.Fprintf(&b, "%s: %g\r\n", op.Units.Name, units)
	}
	if t.Idempotency == invariant.IdempotentByKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Operation)
	}
	switch {
	case op.Method == "GET" || op.Method == "HEAD":
		b.WriteString("\r\n")
	case len(t.body) > 20: // some in chunks
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(t.body), t.body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(t.body), t.body)
	}
	t.Timeout *= time.Duration(position + 1)
	s.requests = append(s.requests, &t.Request)
	s.checker.RequestSent(t.Request)
	s.logEvent("ask " + t.ID)
	s.digest(requestSent, nil, t.ID)
	end := time.Duration(s.script.Seconds * float64(time.Second))
	t.afterFaults = s.now >= s.faultsOverAt+recoveryTime && s.now < end
	c.awaiting = append(c.awaiting, t)
	c.unsent = append(c.unsent, b.String()...)
	c.flush()
	patience := t.Timeout
	s.scheduleLast(s.now+patience, func() {
		switch {
		case t.ended:
			return
		case c.conn == nil: // nobody has accepted the connection, let alone the request
			c.fail(invariant.NotAccepted)
			return
		case c.responseBegan && c.awaiting[0] == t && s.config.Settings.Classes[s.config.ClassByOperation[t.operation]].Stream:
			// a stream that has begun is the answer, however long it lasts
			s.cover("excuse: no end: a stream that has begun")
			c.awaiting = c.awaiting[1:]
			s.finish(t, invariant.Served, 1)
			c.fail(invariant.ClientLeft)
			return
		case c.acceptedAt > t.SentAt+s.roundTripAllowance()/2: // it was accepted when the client had already waited
			s.cover("excuse: no answer: accepted late")
			s.finish(t, invariant.ClientLeft, 0)
			return
		}
		s.finish(t, invariant.ClientTimedOut, 0)
	})
	if t.rng.Float64() < s.abortShare {
		s.scheduleAfter(time.Duration(t.rng.Float64()*0.2*float64(patience)), func() {
			if !t.ended {
				s.cover("client quits")
				s.finish(t, invariant.ClientLeft, 0)
			}
		})
	}
}

// roundTripAllowance is what a client takes off its patience for the way there and back: generous, since a message that is cut into
// many pieces is as late as the latest of them.
func (s *Sim) roundTripAllowance() time.Duration {
	return time.Duration(2 * float64(s.network.latency) * (1 + 12*s.network.jitter))
}

// finish ends a try, and asks again where a client would.
func (s *Sim) finish(t *clientRequest, e invariant.Ending, answers int) {
	if t.ended {
		return
	}
	t.ended = true
	s.logEvent(fmt.Sprintf("end %s %d", t.ID, e))
	s.digest(requestEnded, []uint64{uint64(e)}, t.ID)
	s.cover([...]string{"try served", "try refused", "try failed", "try cut", "try no door", "try gave up", "try left"}[e])
	end := invariant.Outcome{ID: t.ID, Ending: e, At: s.now, Responses: answers}
	s.outcomes[t.ID] = end
	s.checker.RequestEnded(end)
	if t.afterFaults && e != invariant.ClientLeft && t.status != 429 {
		s.sentAfterFaults++
		if e == invariant.Served {
			s.servedAfterFaults++
		}
	}
	if e == invariant.ClientTimedOut || e == invariant.ClientLeft {
		t.conn.close(true)
	}
	again := e == invariant.Rejected || e == invariant.NotAccepted || t.Idempotency != invariant.NotIdempotent && e != invariant.Served
	if !again || e == invariant.ClientLeft || t.attempt >= s.script.Clients.Retries || t.Idempotency == invariant.IdempotentByKey && s.now-t.SentAt > s.keyTTL/2 || s.stopped {
		return
	}
	next := *t
	next.attempt++
	next.ended, next.status = false, 0
	next.Timeout = min(next.Timeout, s.config.Settings.Classes[s.config.ClassByOperation[t.operation]].Deadline)
	wait := time.Duration((0.5 + t.rng.Float64()) * float64(100*time.Millisecond<<t.attempt))
	s.scheduleAfter(wait, func() {
		door := s.instanceFor(t.customer, t.rng)
		s.send(&next, s.clientPools[door].get(t.rng), door, 0)
	})
}
