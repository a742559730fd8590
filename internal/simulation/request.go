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
func (s *Sim) send(r *clientRequest, c *clientConn, instance, position int) {
	r.conn, r.Instance, r.SentAt = c, instance, s.now
	r.ID = fmt.Sprintf("%s.%d", r.Operation, r.attempt)
	operation := s.config.Routes.Operations[r.operation]
	path := operation.Template
	for i := strings.IndexByte(path, '{'); i >= 0; i = strings.IndexByte(path, '{') {
		path = path[:i] + "7" + path[i+strings.IndexByte(path[i:], '}')+1:]
	}
	var b strings.Builder
	units := operation.Units.Fixed
	switch operation.Units.In {
	case "query":
		units = min(operation.Units.Most, float64(1+r.rng.IntN(3)))
		path += "?" + operation.Units.Name + "=" + strconv.FormatFloat(units, 'g', -1, 64)
	case "header":
		units = min(operation.Units.Most, float64(1+r.rng.IntN(3)))
	}
	r.Units = units
	h := s.config.Headers
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: door\r\n%s: %s\r\nX-Request-Id: %s\r\nX-Work: %.3f\r\n%s: %d\r\n%s: %d\r\n", operation.Method, path, h.Key,
		s.config.Customers[r.customer].Keys[0], r.ID, float64(r.work.Microseconds())/1000, h.Timeout, max(0, r.Timeout-s.roundTripAllowance()).Milliseconds(), h.Retry, r.attempt)
	if operation.Units.In == "header" {
		fmt.Fprintf(&b, "%s: %g\r\n", operation.Units.Name, units)
	}
	if r.Idempotency == invariant.IdempotentByKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Operation)
	}
	switch {
	case operation.Method == "GET" || operation.Method == "HEAD":
		b.WriteString("\r\n")
	case len(r.body) > 20: // some in chunks
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	}
	r.Timeout *= time.Duration(position + 1)
	s.requests = append(s.requests, &r.Request)
	s.checker.RequestSent(r.Request)
	s.logEvent("ask " + r.ID)
	s.digest(requestSent, nil, r.ID)
	end := time.Duration(s.script.Seconds * float64(time.Second))
	r.afterFaults = s.now >= s.faultsOverAt+recoveryTime && s.now < end
	c.awaiting = append(c.awaiting, r)
	c.unsent = append(c.unsent, b.String()...)
	c.flush()
	patience := r.Timeout
	s.scheduleLast(s.now+patience, func() {
		switch {
		case r.ended:
			return
		case c.conn == nil: // nobody has accepted the connection, let alone the request
			c.fail(invariant.NotAccepted)
			return
		case c.responseBegan && c.awaiting[0] == r && s.config.Settings.Classes[s.config.ClassByOperation[r.operation]].Stream:
			// a stream that has begun is the answer, however long it lasts
			s.cover("excuse: no end: a stream that has begun")
			c.awaiting = c.awaiting[1:]
			s.finish(r, invariant.Served, 1)
			c.fail(invariant.ClientLeft)
			return
		case c.acceptedAt > r.SentAt+s.roundTripAllowance()/2: // it was accepted when the client had already waited
			s.cover("excuse: no answer: accepted late")
			s.finish(r, invariant.ClientLeft, 0)
			return
		}
		s.finish(r, invariant.ClientTimedOut, 0)
	})
	if r.rng.Float64() < s.abortShare {
		s.scheduleAfter(time.Duration(r.rng.Float64()*0.2*float64(patience)), func() {
			if !r.ended {
				s.cover("client quits")
				s.finish(r, invariant.ClientLeft, 0)
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
func (s *Sim) finish(r *clientRequest, e invariant.Ending, answers int) {
	if r.ended {
		return
	}
	r.ended = true
	s.logEvent(fmt.Sprintf("end %s %d", r.ID, e))
	s.digest(requestEnded, []uint64{uint64(e)}, r.ID)
	s.cover([...]string{"try served", "try refused", "try failed", "try cut", "try no door", "try gave up", "try left"}[e])
	end := invariant.Outcome{ID: r.ID, Ending: e, At: s.now, Responses: answers}
	s.outcomes[r.ID] = end
	s.checker.RequestEnded(end)
	if r.afterFaults && e != invariant.ClientLeft && r.status != 429 {
		s.sentAfterFaults++
		if e == invariant.Served {
			s.servedAfterFaults++
		}
	}
	if e == invariant.ClientTimedOut || e == invariant.ClientLeft {
		r.conn.close(true)
	}
	again := e == invariant.Rejected || e == invariant.NotAccepted || r.Idempotency != invariant.NotIdempotent && e != invariant.Served
	if !again || e == invariant.ClientLeft || r.attempt >= s.script.Clients.Retries || r.Idempotency == invariant.IdempotentByKey && s.now-r.SentAt > s.keyTTL/2 || s.stopped {
		return
	}
	next := *r
	next.attempt++
	next.ended, next.status = false, 0
	next.Timeout = min(next.Timeout, s.config.Settings.Classes[s.config.ClassByOperation[r.operation]].Deadline)
	wait := time.Duration((0.5 + r.rng.Float64()) * float64(100*time.Millisecond<<r.attempt))
	s.scheduleAfter(wait, func() {
		instance := s.instanceFor(r.customer, r.rng)
		s.send(&next, s.clientPools[instance].get(r.rng), instance, 0)
	})
}
