package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"sandyard/internal/http1"
	"sandyard/invariant"
)

// clientPool is the clients of one door: their connections, kept for further requests.
type clientPool struct {
	sim      *Sim
	instance int
	idle     []*clientConn
}

// clientConn is a client's connection. It may have several requests out, which are answered in order.
type clientConn struct {
	pool          *clientPool
	dialing       *dialing
	conn          *netConn
	reader        *http1.Reader
	unsent        []byte
	awaiting      []*clientRequest
	head          *http1.Head
	responseBegan bool // the answer to the first that waits has
	done          bool
	misbehaving   bool
	acceptedAt    time.Duration // when it was accepted
	lastUsed      time.Duration
}

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

// generateRequest draws the next request, and plans the one after it.
func (s *Sim) generateRequest() {
	if s.now > time.Duration(s.script.Seconds*float64(time.Second)) {
		for _, a := range s.clientPools { // clients go home
			for _, c := range append([]*clientConn(nil), a.idle...) {
				c.close(false)
			}
		}
		return
	}
	rng := s.traffic
	rate := s.script.Rate
	if f, ok := s.surges["*"]; ok {
		rate *= f
	}
	weights := make([]float64, len(s.config.Customers))
	sum, usual := 0.0, 0.0
	for i, st := range s.config.Customers {
		w := 1.0
		p := s.config.CustomerByName(st.Name).Plan
		if q := float64(s.config.Plans[p].Rate); q > 0 {
			w = q
		}
		usual += w
		for _, name := range [2]string{st.Name, st.Plan} {
			if f, ok := s.surges[name]; ok {
				w *= f
			}
		}
		weights[i] = w
		sum += w
	}
	rate *= sum / usual
	pick, i := rng.Float64()*sum, 0
	for ; i < len(weights)-1 && pick >= weights[i]; i++ {
		pick -= weights[i]
	}
	s.operations++
	own := rand.New(rand.NewPCG(s.script.Seed, uint64(s.operations)))
	s.startOperation(i, s.operations, own)
	s.scheduleAfter(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), s.generateRequest)
}

// startOperation is one thing that a client wants.
func (s *Sim) startOperation(studio, n int, rng *rand.Rand) {
	switch x := rng.Float64(); {
	case x < s.invalidShare:
		s.misbehave(rng, false)
		return
	case x < s.invalidShare+s.slowShare:
		s.misbehave(rng, true)
		return
	}
	count := 1
	if rng.Float64() < s.script.Clients.PipelineShare {
		count = 2 + rng.IntN(3)
	}
	door := s.instanceFor(studio, rng)
	conn := s.clientPools[door].get(rng)
	for k := range count {
		ops := s.config.Routes.Operations
		op := rng.IntN(len(ops))
		class := s.config.Settings.Classes[s.config.ClassByOperation[op]]
		work := time.Duration((0.3 + 0.7*rng.ExpFloat64()) * float64(s.script.Backends.Work))
		t := &clientRequest{rng: rng, customer: studio, operation: op, work: min(work, 6*time.Duration(s.script.Backends.Work))}
		t.Request = invariant.Request{Operation: fmt.Sprintf("%d.%d", n, k), Customer: s.config.Customers[studio].Name, Plan: s.config.Customers[studio].Plan,
			Idempotency: invariant.Idempotency(class.Idempotency), Units: 1, Work: t.work, Value: class.PriorityWeight, LateShare: class.LateShare, LatencyObjective: class.LatencyObjective,
			Timeout: time.Duration((0.6 + 0.4*rng.Float64()) * float64(class.Deadline))}
		if s.script.Clients.MaxBody > 0 {
			t.body = strings.Repeat("x", rng.IntN(s.script.Clients.MaxBody+1))
		}
		s.send(t, conn, door, k)
	}
}

// instanceFor is the door that a studio's request comes in through.
func (s *Sim) instanceFor(studio int, rng *rand.Rand) int {
	cu := s.config.CustomerByName(s.config.Customers[studio].Name)
	turn := s.trafficMoves[cu.Name]
	if rng.Float64() < 0.25 {
		turn++
	}
	return (cu.First + turn%max(1, cu.Spread)) % len(s.instances)
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

// get finds a connection with nothing out, or begins one.
func (a *clientPool) get(rng *rand.Rand) *clientConn {
	if rng.Float64() >= a.sim.script.Clients.NewConnShare {
		for len(a.idle) > 0 {
			c := a.idle[len(a.idle)-1]
			a.idle = a.idle[:len(a.idle)-1]
			if !c.done && a.sim.now-c.lastUsed < 3*time.Second {
				return c
			}
			c.close(false)
		}
	}
	c := &clientConn{pool: a, reader: http1.NewResponses(http1.Limits{}), lastUsed: a.sim.now}
	c.dialing = a.sim.network.dial(a.sim.clientHost, fmt.Sprintf("door-%d", a.instance), c, func(e *netConn, ok bool) {
		switch {
		case c.done:
			if e != nil {
				e.close(true)
			}
		case !ok:
			c.fail(invariant.NotAccepted)
		default:
			c.conn, c.acceptedAt = e, a.sim.now
			c.flush()
			if len(e.received) > 0 { // a door may turn a connection away before its client knows that it stands
				c.readable(e)
			}
		}
	})
	return c
}

func (c *clientConn) flush() {
	if c.conn == nil || c.done {
		return
	}
	c.unsent = c.conn.writeBuffered(c.unsent, nil)
}

func (c *clientConn) writable(*netConn) { c.flush() }

func (c *clientConn) closed(e *netConn, reset bool) {
	if c.conn == nil { // it ended before its client knew that it stood
		c.conn = e
	}
	c.fail(invariant.ConnectionBroken)
}

// fail ends what was out on a connection that is gone.
func (c *clientConn) fail(e invariant.Ending) {
	out := c.awaiting
	c.awaiting = nil
	if e == invariant.ConnectionBroken && c.conn != nil && c.conn.tooManyConns { // its door has too many: the reset may overtake the answer that says so
		c.pool.sim.cover("excuse: no answer: turned away")
		e = invariant.NotAccepted
	}
	c.close(true)
	for i, t := range out {
		if i == 0 && c.responseBegan && e == invariant.ConnectionBroken { // an answer that flowed and broke off: its client knows that it failed
			c.pool.sim.cover("excuse: broken off: an answer that flowed")
			c.pool.sim.finish(t, invariant.Failed, 1)
			continue
		}
		if i > 0 && e == invariant.ConnectionBroken { // a door takes one request at a time: those behind were not accepted
			c.pool.sim.cover("excuse: no answer: behind one that was cut")
			e = invariant.ClientLeft
		}
		c.pool.sim.finish(t, e, 0)
	}
}

func (c *clientConn) close(reset bool) {
	if c.done {
		return
	}
	c.done = true
	for i, o := range c.pool.idle {
		if o == c {
			c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
			break
		}
	}
	if c.conn != nil {
		c.conn.close(reset)
	} else if c.dialing != nil {
		c.dialing.ended = true
	}
	if out := c.awaiting; len(out) > 0 { // a client that gives up on one gives up on all that it sent behind it
		c.awaiting = nil
		for _, t := range out {
			c.pool.sim.finish(t, invariant.ClientLeft, 0)
		}
	}
}

func (c *clientConn) readable(*netConn) {
	if c.conn == nil {
		return
	}
	s := c.pool.sim
	in := c.conn.read()
	for !c.done {
		if len(c.awaiting) == 0 {
			if len(in) == 0 {
				break
			}
			if c.misbehaving && len(in) > 12 {
				s.cover("status " + string(in[9:12]))
			}
			if !c.misbehaving {
				s.report(RuleOwnResponse, fmt.Sprintf("door %d sends %.40q to a client that awaits nothing", c.pool.instance, in))
			}
			c.close(true)
			return
		}
		t := c.awaiting[0]
		c.reader.Expect(s.config.Routes.Operations[t.operation].Method)
		n, part, err := c.reader.Feed(in)
		in = in[n:]
		if err != nil {
			s.report(RuleOwnResponse, fmt.Sprintf("door %d answers %s with what is no answer: %v", c.pool.instance, t.ID, err))
			return
		}
		if part.Kind == http1.More {
			return
		}
		switch part.Kind {
		case http1.HeadEnd:
			if part.Head.Status >= 200 {
				c.head, c.responseBegan = part.Head, true
			}
		case http1.End:
			c.responseBegan = false
			c.awaiting = c.awaiting[1:]
			c.responseComplete(t)
			if c.head.Close {
				c.fail(invariant.NotAccepted) // what it sent behind was never taken
				return
			}
		}
	}
	if len(c.awaiting) == 0 && !c.done && len(c.unsent) == 0 {
		c.lastUsed = s.now
		c.pool.idle = append(c.pool.idle, c)
	}
}

// responseComplete is the end of an answer.
func (c *clientConn) responseComplete(t *clientRequest) {
	s, h := c.pool.sim, c.head
	s.cover("status " + strconv.Itoa(h.Status))
	if id, ok := h.Get("X-Answers"); ok && id != t.ID {
		s.report(RuleOwnResponse, fmt.Sprintf("%s got the answer to %s", t.ID, id))
	}
	t.status = h.Status
	e := invariant.Failed
	switch {
	case h.Status < 400:
		e = invariant.Served
	case h.Status == 429, h.Status == 503, h.Status < 500:
		e = invariant.Rejected
	}
	s.finish(t, e, 1)
}

// requestWithoutReading is a client that asks for a lot and reads nothing.
func (s *Sim) requestWithoutReading(a *clientPool, c *clientConn) {
	s.cover("client reads nothing")
	text := strings.Repeat(fmt.Sprintf("GET /bookings HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", s.config.Headers.Key, s.config.Customers[0].Keys[0]), 8)
	c.dialing = s.network.dial(s.clientHost, fmt.Sprintf("door-%d", a.instance), nonReader{c}, func(e *netConn, ok bool) {
		if ok && !c.done {
			c.conn = e
			e.write([]byte(text))
		}
	})
	s.scheduleAfter(12*time.Second, func() { c.close(true) })
}

// nonReader owns the connection of a client that does not read.
type nonReader struct{ c *clientConn }

func (nonReader) readable(*netConn)       {}
func (nonReader) writable(*netConn)       {}
func (m nonReader) closed(*netConn, bool) { m.c.close(true) }

// misbehave is a client that sends what is no request, or sends one so slowly that nobody waits for it.
func (s *Sim) misbehave(rng *rand.Rand, slow bool) {
	a := s.clientPools[rng.IntN(len(s.clientPools))]
	c := &clientConn{pool: a, reader: http1.NewResponses(http1.Limits{}), misbehaving: true}
	if slow && rng.IntN(3) == 0 {
		s.requestWithoutReading(a, c)
		return
	}
	text := []string{"GET / HTTP/1.1\n\n", "POST /payments HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"\x16\x03\x01\x00\xa5\x01\x00\x00", "GET /bookings HTTP/1.1\r\nHost: h\r\nX-Api-Key: nobody\r\n\r\nGET", fmt.Sprintf("POST /payments HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 999999999\r\n\r\nx", s.config.Headers.Key, s.config.Customers[0].Keys[0]),
		strings.Repeat("a", 9000)}[rng.IntN(6)]
	gap := time.Duration(0)
	if slow {
		text = fmt.Sprintf("POST /bookings HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 50\r\n\r\n%s", s.config.Headers.Key, s.config.Customers[0].Keys[0], strings.Repeat("y", 30))
		gap = time.Duration(50+rng.IntN(500)) * time.Millisecond
	}
	if slow {
		s.cover("client drips")
	} else {
		s.cover("client makes noise")
	}
	c.dialing = s.network.dial(s.clientHost, fmt.Sprintf("door-%d", a.instance), c, func(e *netConn, ok bool) {
		if !ok || c.done {
			if e != nil {
				e.close(true)
			}
			return
		}
		c.conn = e
		var feed func()
		feed = func() {
			if c.done || len(text) == 0 {
				return
			}
			n := len(text)
			if gap > 0 {
				n = 1
			}
			c.unsent = append(c.unsent, text[:n]...)
			text = text[n:]
			c.flush()
			s.scheduleAfter(gap, feed)
		}
		feed()
	})
	s.scheduleAfter(12*time.Second, func() { c.close(true) })
}
