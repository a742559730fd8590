package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"sandyard/decision"
	"sandyard/invariant"
)

// Parameters of client behaviour.
const (
	maxAbortShare  = 0.2                    // share of its timeout within which an aborting client leaves
	minChunkedBody = 21                     // smallest body that is sent chunked (bytes)
	firstBackoff   = 100 * time.Millisecond // mean backoff before the first retry; doubles with each further one
)

// clientRequest is a request of a client.
type clientRequest struct {
	invariant.Request
	conn        *clientConn
	rng         *rand.Rand
	retryNumber int // 0: the first request of the operation
	customer    int
	operation   int
	body        string
	work        time.Duration
	ended       bool
	status      int
	afterFaults bool // sent late enough after the last fault to count for RuleRecovery
}

// send sends a request. position is its place in a pipeline. Responses arrive in order, so a later request gets a longer
// timeout.
func (s *Sim) send(r *clientRequest, c *clientConn, instance, position int) {
	r.conn, r.Instance, r.SentAt = c, instance, s.now
	r.ID = fmt.Sprintf("%s.%d", r.Operation, r.retryNumber)
	text := s.renderRequest(r)
	r.Timeout *= time.Duration(position + 1)
	s.requests = append(s.requests, &r.Request)
	s.checker.RequestSent(r.Request)
	s.logEvent("ask " + r.ID)
	s.digest(requestSent, nil, r.ID)
	r.afterFaults = s.now >= s.faultsEndAt+recoveryTime && s.now < s.script.trafficTime()
	c.awaiting = append(c.awaiting, r)
	c.unsent = append(c.unsent, text...)
	c.flush()
	timeout := r.Timeout
	s.scheduleLast(s.now+timeout, func() { s.expire(r, c) })
	if r.rng.Float64() < s.abortShare {
		s.scheduleAfter(time.Duration(r.rng.Float64()*maxAbortShare*float64(timeout)), func() {
			if !r.ended {
				s.countReached("client quits")
				s.finish(r, invariant.ClientLeft, 0)
			}
		})
	}
}

// expire ends a request at its timeout. A request to which the instance could not have responded in time is exempted from
// the check.
func (s *Sim) expire(r *clientRequest, c *clientConn) {
	switch {
	case r.ended:
	case c.conn == nil: // the connection was not accepted, let alone the request
		c.fail(invariant.NotAccepted)
	case c.responseStarted && c.awaiting[0] == r && s.classOf(r).Stream:
		// A stream that has started is the response, however long it lasts.
		s.countReached("excuse: no end: a stream that has begun")
		c.awaiting = c.awaiting[1:]
		s.finish(r, invariant.Served, 1)
		c.fail(invariant.ClientLeft)
	case c.acceptedAt > r.SentAt+s.roundTripAllowance()/2: // the client had already waited for the connection
		s.countReached("excuse: no answer: accepted late")
		s.finish(r, invariant.ClientLeft, 0)
	default:
		s.finish(r, invariant.ClientTimedOut, 0)
	}
}

// classOf returns the request class of a request.
func (s *Sim) classOf(r *clientRequest) *decision.Class {
	return &s.config.Settings.Classes[s.config.ClassByOperation[r.operation]]
}

// renderRequest draws the request's units and returns the request as HTTP text.
func (s *Sim) renderRequest(r *clientRequest) string {
	operation := s.config.Routes.Operations[r.operation]
	path := operation.Template
	for i := strings.IndexByte(path, '{'); i >= 0; i = strings.IndexByte(path, '{') {
		path = path[:i] + "7" + path[i+strings.IndexByte(path[i:], '}')+1:]
	}
	r.Units = operation.Units.Fixed
	switch operation.Units.In {
	case "query":
		r.Units = min(operation.Units.Max, float64(1+r.rng.IntN(3)))
		path += "?" + operation.Units.Name + "=" + strconv.FormatFloat(r.Units, 'g', -1, 64)
	case "header":
		r.Units = min(operation.Units.Max, float64(1+r.rng.IntN(3)))
	}
	var b strings.Builder
	h := s.config.Headers
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: door\r\n%s: %s\r\nX-Request-Id: %s\r\nX-Work: %.3f\r\n", operation.Method, path, h.Key,
		s.config.Customers[r.customer].Keys[0], r.ID, float64(r.work.Microseconds())/1000)
	fmt.Fprintf(&b, "%s: %d\r\n%s: %d\r\n", h.Timeout, max(0, r.Timeout-s.roundTripAllowance()).Milliseconds(), h.Retry, r.retryNumber)
	if operation.Units.In == "header" {
		fmt.Fprintf(&b, "%s: %g\r\n", operation.Units.Name, r.Units)
	}
	if r.Idempotency == invariant.IdempotentByKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Operation)
	}
	switch {
	case operation.Method == "GET" || operation.Method == "HEAD":
		b.WriteString("\r\n")
	case len(r.body) >= minChunkedBody:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	}
	return b.String()
}

// roundTripAllowance returns the time that a client subtracts from its timeout for the round trip. It is generous, since a
// message that is split into many segments is as late as the latest of them.
func (s *Sim) roundTripAllowance() time.Duration {
	return time.Duration(2 * float64(s.network.latency) * (1 + 12*s.network.jitter))
}

// endingNames are the keys of Outcome.Reached for the endings of requests.
var endingNames = [...]string{
	invariant.Served:           "try served",
	invariant.Rejected:         "try refused",
	invariant.Failed:           "try failed",
	invariant.ConnectionBroken: "try cut",
	invariant.NotAccepted:      "try no door",
	invariant.ClientTimedOut:   "try gave up",
	invariant.ClientLeft:       "try left",
}

// finish ends a request, and retries it if a client would.
func (s *Sim) finish(r *clientRequest, e invariant.Ending, responses int) {
	if r.ended {
		return
	}
	r.ended = true
	s.logEvent(fmt.Sprintf("end %s %d", r.ID, e))
	s.digest(requestEnded, []uint64{uint64(e)}, r.ID)
	s.countReached(endingNames[e])
	outcome := invariant.Outcome{ID: r.ID, Ending: e, At: s.now, Responses: responses}
	s.outcomes[r.ID] = outcome
	s.checker.RequestEnded(outcome)
	if r.afterFaults && e != invariant.ClientLeft && r.status != 429 {
		s.sentAfterFaults++
		if e == invariant.Served {
			s.servedAfterFaults++
		}
	}
	if e == invariant.ClientTimedOut || e == invariant.ClientLeft {
		r.conn.close(true)
	}
	if s.shouldRetry(r, e) {
		s.retry(r)
	}
}

// shouldRetry reports whether the client retries a request that ended: only if that is harmless and its idempotency key is
// not too old.
func (s *Sim) shouldRetry(r *clientRequest, e invariant.Ending) bool {
	harmless := e == invariant.Rejected || e == invariant.NotAccepted || r.Idempotency != invariant.NotIdempotent && e != invariant.Served
	if !harmless || e == invariant.ClientLeft || r.retryNumber >= s.script.Clients.Retries || s.stopped {
		return false
	}
	return r.Idempotency != invariant.IdempotentByKey || s.now-r.SentAt <= s.keyTTL/2
}

// retry repeats a request after an exponential backoff with jitter.
func (s *Sim) retry(r *clientRequest) {
	next := *r
	next.retryNumber++
	next.ended, next.status = false, 0
	next.Timeout = min(next.Timeout, s.classOf(r).Deadline)
	backoff := time.Duration((0.5 + r.rng.Float64()) * float64(firstBackoff<<r.retryNumber))
	s.scheduleAfter(backoff, func() {
		instance := s.instanceFor(r.customer, r.rng)
		s.send(&next, s.clientPools[instance].get(r.rng), instance, 0)
	})
}
