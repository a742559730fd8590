package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"sandyard/internal/http1"
)

// class is a class of requests.
type class struct {
	name, semantics, method string
	objective               time.Duration
	deadlineShare           float64 // of the plan's longest deadline
	trafficShare            float64
}

// classes are those of a run. Objectives are short beside deadlines, so that retries come late in a request's time.
var classes = []class{
	{"read", "retryable", "GET", 150 * time.Millisecond, 1, 0.5},
	{"write", "dedup", "POST", 200 * time.Millisecond, 0.8, 0.25},
	{"pay", "fragile", "POST", 200 * time.Millisecond, 0.6, 0.25},
}

const (
	keyTTL         = 10 * time.Second
	connectTimeout = time.Second
	maxPause       = 60 * time.Millisecond  // between two requests of a client
	maxRest        = 900 * time.Millisecond // between two requests of a client that rests
	retryPause     = 10 * time.Millisecond  // after a connection that could not be made
	maxLeaveDelay  = 150 * time.Millisecond
	// graceAfterDeadline is how long after its time a response still counts as one, by the platform's rules.
	graceAfterDeadline = 500 * time.Millisecond
	clientReadSize     = 4 << 10
)

// client sends one request at a time, on one connection for as long as that stays open.
type client struct {
	run    *run
	number int
	rng    *rand.Rand
	pause  time.Duration // the longest between two requests
	sent   int

	conn        net.Conn // nil: none
	connectedAt time.Duration
	used        bool // a request was written on conn
	reader      *http1.Reader
}

func newClient(run *run, number int) *client {
	pause := maxPause
	if number-run.firstClient >= run.plan.Clients {
		pause = maxRest
	}
	return &client{run: run, number: number, pause: pause, rng: rand.New(rand.NewPCG(run.plan.Seed, uint64(number)+100))}
}

// play sends requests until the run ends, or the client has no connection and new ones do not come any more.
func (c *client) play() {
	defer c.close()
	for !c.run.over() {
		time.Sleep(time.Duration(c.rng.Float64() * float64(c.pause)))
		if c.conn != nil && c.endedWhileIdle() {
			c.close()
		}
		if c.conn == nil && !c.connect() {
			if !c.run.connectionsCome() {
				return
			}
			time.Sleep(retryPause)
			continue
		}
		c.exchange(c.newRequest())
	}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect makes a connection, if new ones still come.
func (c *client) connect() bool {
	if !c.run.connectionsCome() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.run.instanceAddress, connectTimeout)
	c.run.record.update(func() {
		c.run.record.connects++
		if err != nil {
			c.run.record.refused++
		}
	})
	if err != nil {
		return false
	}
	c.conn, c.used, c.reader = conn, false, http1.NewResponses(http1.Limits{})
	c.connectedAt = c.run.record.now()
	return true
}

// endedWhileIdle reports whether the instance has ended the idle connection, or sent something that nobody asked for.
func (c *client) endedWhileIdle() bool {
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	n, err := c.conn.Read(make([]byte, 1))
	if n > 0 {
		c.run.record.update(func() { c.run.extraBytes++ })
		return true
	}
	netError, ok := err.(net.Error)
	return !ok || !netError.Timeout()
}

// newRequest draws a request.
func (c *client) newRequest() *request {
	pick, k := c.rng.Float64(), 0
	for ; k < len(classes)-1 && pick >= classes[k].trafficShare; k++ {
		pick -= classes[k].trafficShare
	}
	c.sent++
	deadline := time.Duration(classes[k].deadlineShare * float64(c.run.plan.LongestDeadline))
	return &request{
		id:          fmt.Sprintf("%06x%04x%06x", c.run.plan.Seed&0xffffff, c.number, c.sent),
		class:       &classes[k],
		timeout:     time.Duration((0.5+0.5*c.rng.Float64())*float64(deadline)) / time.Millisecond * time.Millisecond,
		connectedAt: c.connectedAt,
		firstOfConn: !c.used,
	}
}

// text renders a request.
func (r *request) text() string {
	text := fmt.Sprintf("%s /api?client=%016x HTTP/1.1\r\nHost: soak\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: team\r\nX-Deadline-Ms: %d\r\n"+
		"X-Call-Terms: units=1,spread=1,first=0\r\n", r.class.method, 1, r.id, r.class.name, r.timeout.Milliseconds())
	if r.class.semantics == "dedup" {
		text += "Idempotency-Key: " + r.id + "\r\n"
	}
	if r.class.method == "POST" {
		return text + "Content-Length: 2\r\n\r\nok"
	}
	return text + "\r\n"
}

// exchange sends a request and notes how it ends. Some clients leave early.
func (c *client) exchange(req *request) {
	c.run.record.sent(req)
	leaves := c.rng.Float64() < c.run.plan.LeaveShare
	leaveDelay := time.Duration(c.rng.Float64() * float64(maxLeaveDelay))
	c.reader.Expect(req.class.method)
	_, err := c.conn.Write([]byte(req.text()))
	now := c.run.record.now()
	c.run.record.update(func() { req.writtenAt = now })
	c.used = true
	if err != nil {
		c.end(req, 0, true)
		return
	}
	until := time.Now().Add(req.timeout + graceAfterDeadline)
	if leaves {
		until = time.Now().Add(leaveDelay)
	}
	c.readResponse(req, until, leaves)
}

// readResponse reads until the response is whole, the connection ends, or a time has come: then the client leaves.
func (c *client) readResponse(req *request, until time.Time, leaves bool) {
	c.conn.SetReadDeadline(until)
	buffer := make([]byte, clientReadSize)
	var head *http1.Head
	for {
		n, err := c.conn.Read(buffer)
		if netError, ok := err.(net.Error); ok && netError.Timeout() {
			now := c.run.record.now()
			c.close()
			c.run.record.update(func() {
				req.endedAt = now
				if leaves {
					req.leftAt = now
				}
			})
			return
		}
		if err != nil {
			c.end(req, 0, true)
			return
		}
		complete, extra := c.parse(buffer[:n], &head)
		if complete {
			c.run.record.update(func() { req.extraResponses = extra })
			c.end(req, head.Status, head.Close || extra)
			return
		}
	}
}

// parse feeds bytes to the codec, and reports whether the response is complete and whether bytes come behind it.
func (c *client) parse(in []byte, head **http1.Head) (complete, extra bool) {
	for {
		used, part, err := c.reader.Feed(in)
		in = in[used:]
		if err != nil {
			return false, false // the connection's end follows, or the client's time runs out
		}
		switch part.Kind {
		case http1.More:
			return false, false
		case http1.HeadEnd:
			*head = part.Head
		case http1.End:
			return true, len(in) > 0
		}
	}
}

// end notes how a request ended; status 0: its connection ended without a whole response.
func (c *client) end(req *request, status int, closes bool) {
	now := c.run.record.now()
	c.run.record.update(func() {
		req.endedAt, req.status = now, status
		req.connectionEnds = status == 0
		req.cutAtKill = status == 0 && c.run.record.killedAt > 0
	})
	if closes {
		c.close()
	}
}
