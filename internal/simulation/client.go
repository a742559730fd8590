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

// asker is the clients of one door: their connections, kept for further requests.
type asker struct {
	s    *Sim
	door int
	idle []*askConn
}

// askConn is a client's connection. It may have several requests out, which are answered in order.
type askConn struct {
	a       *asker
	ask     *pending
	e       *end
	rd      *http1.Reader
	out     []byte
	waiting []*try
	head    *http1.Head
	begun   bool // the answer to the first that waits has
	gone    bool
	slow    bool
	taken   time.Duration // when it was accepted
	used    time.Duration
}

// try is one request of a client.
type try struct {
	invariant.Request
	conn   *askConn
	rng    *rand.Rand
	number int
	studio int
	op     int
	body   string
	work   time.Duration
	over   bool
	status int
	tail   bool
}

// next draws the next request, and plans the one after it.
func (s *Sim) next() {
	if s.now > time.Duration(s.script.Seconds*float64(time.Second)) {
		for _, a := range s.askers { // clients go home
			for _, c := range append([]*askConn(nil), a.idle...) {
				c.end(false)
			}
		}
		return
	}
	rng := s.traffic
	rate := s.script.Rate
	if f, ok := s.surge["*"]; ok {
		rate *= f
	}
	weights := make([]float64, len(s.cfg.Customers))
	sum, usual := 0.0, 0.0
	for i, st := range s.cfg.Customers {
		w := 1.0
		p := s.cfg.CustomerByName(st.Name).Plan
		if q := float64(s.cfg.Plans[p].Rate); q > 0 {
			w = q
		}
		usual += w
		for _, name := range [2]string{st.Name, st.Plan} {
			if f, ok := s.surge[name]; ok {
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
	s.ops++
	own := rand.New(rand.NewPCG(s.script.Seed, uint64(s.ops)))
	s.operate(i, s.ops, own)
	s.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), s.next)
}

// operate is one thing that a client wants.
func (s *Sim) operate(studio, n int, rng *rand.Rand) {
	switch x := rng.Float64(); {
	case x < s.noise:
		s.nuisance(rng, false)
		return
	case x < s.noise+s.drip:
		s.nuisance(rng, true)
		return
	}
	count := 1
	if rng.Float64() < s.script.Clients.Pipeline {
		count = 2 + rng.IntN(3)
	}
	door := s.doorFor(studio, rng)
	conn := s.askers[door].take(rng)
	for k := range count {
		ops := s.cfg.Routes.Operations
		op := rng.IntN(len(ops))
		class := s.cfg.Settings.Classes[s.cfg.ClassByOperation[op]]
		work := time.Duration((0.3 + 0.7*rng.ExpFloat64()) * float64(s.script.Backends.Work))
		t := &try{rng: rng, studio: studio, op: op, work: min(work, 6*time.Duration(s.script.Backends.Work))}
		t.Request = invariant.Request{Op: fmt.Sprintf("%d.%d", n, k), Customer: s.cfg.Customers[studio].Name, Plan: s.cfg.Customers[studio].Plan,
			Idempotency: invariant.Idempotency(class.Idempotency), Units: 1, Work: t.work, Value: class.PriorityWeight, LateShare: class.LateShare, LatencyObjective: class.LatencyObjective,
			Timeout: time.Duration((0.6 + 0.4*rng.Float64()) * float64(class.Deadline))}
		if s.script.Clients.Body > 0 {
			t.body = strings.Repeat("x", rng.IntN(s.script.Clients.Body+1))
		}
		s.send(t, conn, door, k)
	}
}

// doorFor is the door that a studio's request comes in through.
func (s *Sim) doorFor(studio int, rng *rand.Rand) int {
	cu := s.cfg.CustomerByName(s.cfg.Customers[studio].Name)
	turn := s.moved[cu.Name]
	if rng.Float64() < 0.25 {
		turn++
	}
	return (cu.First + turn%max(1, cu.Spread)) % len(s.doors)
}

// send asks. position is the request's place in a pipeline: answers come in order, and who sends several knows that.
func (s *Sim) send(t *try, c *askConn, door, position int) {
	t.conn, t.Instance, t.SentAt = c, door, s.now
	t.ID = fmt.Sprintf("%s.%d", t.Op, t.number)
	op := s.cfg.Routes.Operations[t.op]
	path := op.Template
	for i := strings.IndexByte(path, '{'); i >= 0; i = strings.IndexByte(path, '{') {
		path = path[:i] + "7" + path[i+strings.IndexByte(path[i:], '}')+1:]
	}
	var b strings.Builder
	units := op.Units.Fixed
	switch op.Units.In {
	case "query":
		units = min(op.Units.Max, float64(1+t.rng.IntN(3)))
		path += "?" + op.Units.Name + "=" + strconv.FormatFloat(units, 'g', -1, 64)
	case "header":
		units = min(op.Units.Max, float64(1+t.rng.IntN(3)))
	}
	t.Units = units
	h := s.cfg.Headers
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: door\r\n%s: %s\r\nX-Request-Id: %s\r\nX-Work: %.3f\r\n%s: %d\r\n%s: %d\r\n", op.Method, path, h.Key,
		s.cfg.Customers[t.studio].Keys[0], t.ID, float64(t.work.Microseconds())/1000, h.Timeout, max(0, t.Timeout-s.ways()).Milliseconds(), h.Retry, t.number)
	if op.Units.In == "header" {
		fmt.Fprintf(&b, "%s: %g\r\n", op.Units.Name, units)
	}
	if t.Idempotency == invariant.IdempotentByKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Op)
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
	s.tries = append(s.tries, &t.Request)
	s.check.RequestSent(t.Request)
	s.note("ask " + t.ID)
	s.digest(requestSent, nil, t.ID)
	end := time.Duration(s.script.Seconds * float64(time.Second))
	t.tail = s.now >= s.lastCalm+recovery && s.now < end
	c.waiting = append(c.waiting, t)
	c.out = append(c.out, b.String()...)
	c.flush()
	patience := t.Timeout
	s.last(s.now+patience, func() {
		switch {
		case t.over:
			return
		case c.e == nil: // nobody has accepted the connection, let alone the request
			c.lost(invariant.NotAccepted)
			return
		case c.begun && c.waiting[0] == t && s.cfg.Settings.Classes[s.cfg.ClassByOperation[t.op]].Stream:
			// a stream that has begun is the answer, however long it lasts
			s.reach("excuse: no end: a stream that has begun")
			c.waiting = c.waiting[1:]
			s.finish(t, invariant.Served, 1)
			c.lost(invariant.ClientLeft)
			return
		case c.taken > t.SentAt+s.ways()/2: // it was accepted when the client had already waited
			s.reach("excuse: no answer: accepted late")
			s.finish(t, invariant.ClientLeft, 0)
			return
		}
		s.finish(t, invariant.ClientTimedOut, 0)
	})
	if t.rng.Float64() < s.quit {
		s.after(time.Duration(t.rng.Float64()*0.2*float64(patience)), func() {
			if !t.over {
				s.reach("client quits")
				s.finish(t, invariant.ClientLeft, 0)
			}
		})
	}
}

// ways is what a client takes off its patience for the way there and back: generous, since a message that is cut into
// many pieces is as late as the latest of them.
func (s *Sim) ways() time.Duration {
	return time.Duration(2 * float64(s.net.latency) * (1 + 12*s.net.jitter))
}

// finish ends a try, and asks again where a client would.
func (s *Sim) finish(t *try, e invariant.Ending, answers int) {
	if t.over {
		return
	}
	t.over = true
	s.note(fmt.Sprintf("end %s %d", t.ID, e))
	s.digest(requestEnded, []uint64{uint64(e)}, t.ID)
	s.reach([...]string{"try served", "try refused", "try failed", "try cut", "try no door", "try gave up", "try left"}[e])
	end := invariant.End{ID: t.ID, Ending: e, At: s.now, Responses: answers}
	s.ends[t.ID] = end
	s.check.RequestEnded(end)
	if t.tail && e != invariant.ClientLeft && t.status != 429 {
		s.asked++
		if e == invariant.Served {
			s.served++
		}
	}
	if e == invariant.ClientTimedOut || e == invariant.ClientLeft {
		t.conn.end(true)
	}
	again := e == invariant.Rejected || e == invariant.NotAccepted || t.Idempotency != invariant.NotIdempotent && e != invariant.Served
	if !again || e == invariant.ClientLeft || t.number >= s.script.Clients.Retries || t.Idempotency == invariant.IdempotentByKey && s.now-t.SentAt > s.keyTTL/2 || s.stop {
		return
	}
	next := *t
	next.number++
	next.over, next.status = false, 0
	next.Timeout = min(next.Timeout, s.cfg.Settings.Classes[s.cfg.ClassByOperation[t.op]].Deadline)
	wait := time.Duration((0.5 + t.rng.Float64()) * float64(100*time.Millisecond<<t.number))
	s.after(wait, func() {
		door := s.doorFor(t.studio, t.rng)
		s.send(&next, s.askers[door].take(t.rng), door, 0)
	})
}

// take finds a connection with nothing out, or begins one.
func (a *asker) take(rng *rand.Rand) *askConn {
	if rng.Float64() >= a.s.script.Clients.Fresh {
		for len(a.idle) > 0 {
			c := a.idle[len(a.idle)-1]
			a.idle = a.idle[:len(a.idle)-1]
			if !c.gone && a.s.now-c.used < 3*time.Second {
				return c
			}
			c.end(false)
		}
	}
	c := &askConn{a: a, rd: http1.NewResponses(http1.Limits{}), used: a.s.now}
	c.ask = a.s.net.dial(a.s.world, fmt.Sprintf("door-%d", a.door), c, func(e *end, ok bool) {
		switch {
		case c.gone:
			if e != nil {
				e.close(true)
			}
		case !ok:
			c.lost(invariant.NotAccepted)
		default:
			c.e, c.taken = e, a.s.now
			c.flush()
			if len(e.inbox) > 0 { // a door may turn a connection away before its client knows that it stands
				c.readable(e)
			}
		}
	})
	return c
}

func (c *askConn) flush() {
	if c.e == nil || c.gone {
		return
	}
	c.out = c.e.flow(c.out, nil)
}

func (c *askConn) writable(*end) { c.flush() }

func (c *askConn) closed(e *end, reset bool) {
	if c.e == nil { // it ended before its client knew that it stood
		c.e = e
	}
	c.lost(invariant.ConnectionBroken)
}

// lost ends what was out on a connection that is gone.
func (c *askConn) lost(e invariant.Ending) {
	out := c.waiting
	c.waiting = nil
	if e == invariant.ConnectionBroken && c.e != nil && c.e.turned { // its door has too many: the reset may overtake the answer that says so
		c.a.s.reach("excuse: no answer: turned away")
		e = invariant.NotAccepted
	}
	c.end(true)
	for i, t := range out {
		if i == 0 && c.begun && e == invariant.ConnectionBroken { // an answer that flowed and broke off: its client knows that it failed
			c.a.s.reach("excuse: broken off: an answer that flowed")
			c.a.s.finish(t, invariant.Failed, 1)
			continue
		}
		if i > 0 && e == invariant.ConnectionBroken { // a door takes one request at a time: those behind were not accepted
			c.a.s.reach("excuse: no answer: behind one that was cut")
			e = invariant.ClientLeft
		}
		c.a.s.finish(t, e, 0)
	}
}

func (c *askConn) end(reset bool) {
	if c.gone {
		return
	}
	c.gone = true
	for i, o := range c.a.idle {
		if o == c {
			c.a.idle = append(c.a.idle[:i], c.a.idle[i+1:]...)
			break
		}
	}
	if c.e != nil {
		c.e.close(reset)
	} else if c.ask != nil {
		c.ask.off = true
	}
	if out := c.waiting; len(out) > 0 { // a client that gives up on one gives up on all that it sent behind it
		c.waiting = nil
		for _, t := range out {
			c.a.s.finish(t, invariant.ClientLeft, 0)
		}
	}
}

func (c *askConn) readable(*end) {
	if c.e == nil {
		return
	}
	s := c.a.s
	in := c.e.read()
	for !c.gone {
		if len(c.waiting) == 0 {
			if len(in) == 0 {
				break
			}
			if c.slow && len(in) > 12 {
				s.reach("status " + string(in[9:12]))
			}
			if !c.slow {
				s.find(RuleOwnResponse, fmt.Sprintf("door %d sends %.40q to a client that awaits nothing", c.a.door, in))
			}
			c.end(true)
			return
		}
		t := c.waiting[0]
		c.rd.Expect(s.cfg.Routes.Operations[t.op].Method)
		n, part, err := c.rd.Feed(in)
		in = in[n:]
		if err != nil {
			s.find(RuleOwnResponse, fmt.Sprintf("door %d answers %s with what is no answer: %v", c.a.door, t.ID, err))
			return
		}
		if part.Kind == http1.More {
			return
		}
		switch part.Kind {
		case http1.HeadEnd:
			if part.Head.Status >= 200 {
				c.head, c.begun = part.Head, true
			}
		case http1.End:
			c.begun = false
			c.waiting = c.waiting[1:]
			c.whole(t)
			if c.head.Close {
				c.lost(invariant.NotAccepted) // what it sent behind was never taken
				return
			}
		}
	}
	if len(c.waiting) == 0 && !c.gone && len(c.out) == 0 {
		c.used = s.now
		c.a.idle = append(c.a.idle, c)
	}
}

// whole is the end of an answer.
func (c *askConn) whole(t *try) {
	s, h := c.a.s, c.head
	s.reach("status " + strconv.Itoa(h.Status))
	if id, ok := h.Get("X-Answers"); ok && id != t.ID {
		s.find(RuleOwnResponse, fmt.Sprintf("%s got the answer to %s", t.ID, id))
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

// unread is a client that asks for a lot and reads nothing.
func (s *Sim) unread(a *asker, c *askConn) {
	s.reach("client reads nothing")
	text := strings.Repeat(fmt.Sprintf("GET /bookings HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", s.cfg.Headers.Key, s.cfg.Customers[0].Keys[0]), 8)
	c.ask = s.net.dial(s.world, fmt.Sprintf("door-%d", a.door), mute{c}, func(e *end, ok bool) {
		if ok && !c.gone {
			c.e = e
			e.write([]byte(text))
		}
	})
	s.after(12*time.Second, func() { c.end(true) })
}

// mute owns the connection of a client that does not read.
type mute struct{ c *askConn }

func (mute) readable(*end)       {}
func (mute) writable(*end)       {}
func (m mute) closed(*end, bool) { m.c.end(true) }

// nuisance is a client that sends what is no request, or sends one so slowly that nobody waits for it.
func (s *Sim) nuisance(rng *rand.Rand, slow bool) {
	a := s.askers[rng.IntN(len(s.askers))]
	c := &askConn{a: a, rd: http1.NewResponses(http1.Limits{}), slow: true}
	if slow && rng.IntN(3) == 0 {
		s.unread(a, c)
		return
	}
	text := []string{"GET / HTTP/1.1\n\n", "POST /payments HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"\x16\x03\x01\x00\xa5\x01\x00\x00", "GET /bookings HTTP/1.1\r\nHost: h\r\nX-Api-Key: nobody\r\n\r\nGET", fmt.Sprintf("POST /payments HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 999999999\r\n\r\nx", s.cfg.Headers.Key, s.cfg.Customers[0].Keys[0]),
		strings.Repeat("a", 9000)}[rng.IntN(6)]
	gap := time.Duration(0)
	if slow {
		text = fmt.Sprintf("POST /bookings HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 50\r\n\r\n%s", s.cfg.Headers.Key, s.cfg.Customers[0].Keys[0], strings.Repeat("y", 30))
		gap = time.Duration(50+rng.IntN(500)) * time.Millisecond
	}
	if slow {
		s.reach("client drips")
	} else {
		s.reach("client makes noise")
	}
	c.ask = s.net.dial(s.world, fmt.Sprintf("door-%d", a.door), c, func(e *end, ok bool) {
		if !ok || c.gone {
			if e != nil {
				e.close(true)
			}
			return
		}
		c.e = e
		var feed func()
		feed = func() {
			if c.gone || len(text) == 0 {
				return
			}
			n := len(text)
			if gap > 0 {
				n = 1
			}
			c.out = append(c.out, text[:n]...)
			text = text[n:]
			c.flush()
			s.after(gap, feed)
		}
		feed()
	})
	s.after(12*time.Second, func() { c.end(true) })
}
