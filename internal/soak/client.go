package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"sandyard/internal/http1"
)

// class is a request class.
type class struct {
	name, semantics, method string
	objective               time.Duration
	deadlineShare           float64 // share of the plan's longest deadline
	trafficShare            float64
}

// classes are the request classes of a run. Latency objectives are short compared with deadlines, so that retries happen late in
// the lifetime of a request.
var classes = []class{
	{"read", "retryable", "GET", 150 * time.Millisecond, 1, 0.5},
	{"write", "dedup", "POST", 200 * time.Millisecond, 0.8, 0.25},
	{"pay", "fragile", "POST", 200 * time.Millisecond, 0.6, 0.25},
}

const (
	keyTTL             = 10 * time.Second
	connectTimeout     = time.Second
	maxPause           = 60 * time.Millisecond  // longest pause between two requests of a client
	maxLongPause       = 900 * time.Millisecond // longest pause between two requests of a client with long pauses
	retryPause         = 10 * time.Millisecond  // after a failed connection attempt
	maxDisconnectDelay = 150 * time.Millisecond // longest time after which a client that disconnects early does so
	// graceAfterDeadline is how long after the deadline a response still counts, by the platform's rules.
	graceAfterDeadline = 500 * time.Millisecond
	clientReadSize     = 4 << 10
)

// client sends one request at a time and reuses its connection for as long as that stays open.
type client struct {
	run    *run
	number int
	rng    *rand.Rand
	pause  time.Duration // longest pause between two requests
	sent   int

	conn        net.Conn // nil: none
	connectedAt time.Duration
	used        bool // a request was written on conn
	reader      *http1.Reader
}

func newClient(run *run, number int) *client {
	pause := maxPause
	if number-run.firstClient >= run.plan.Clients {
		pause = maxLongPause
	}
	return &client{run: run, number: number, pause: pause, rng: rand.New(rand.NewPCG(run.plan.Seed, uint64(number)+100))}
}

// sendRequests sends requests until the run ends, or until the client has no connection and may not open a new one.
func (c *client) sendRequests() {
	defer c.close()
	for !c.run.isOver() {
		time.Sleep(time.Duration(c.rng.Float64() * float64(c.pause)))
		if c.conn != nil && c.endedWhileIdle() {
			c.close()
		}
		if c.conn == nil && !c.connect() {
			if !c.run.newConnectionsAllowed() {
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

// connect opens a connection, if new connections are still allowed, and reports whether it did.
func (c *client) connect() bool {
	if !c.run.newConnectionsAllowed() {
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

// endedWhileIdle reports whether the instance has closed the idle connection or sent unsolicited bytes on it.
func (c *client) endedWhileIdle() bool {
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	n, err := c.conn.Read(make([]byte, 1))
	if n > 0 {
		c.run.record.update(func() { c.run.connsWithExtraBytes++ })
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

// text returns the request in HTTP/1.1.
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

// exchange sends a request and records how it ends. Some clients disconnect early.
func (c *client) exchange(req *request) {
	c.run.record.sent(req)
	disconnects := c.rng.Float64() < c.run.plan.DisconnectShare
	disconnectDelay := time.Duration(c.rng.Float64() * float64(maxDisconnectDelay))
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
	if disconnects {
		until = time.Now().Add(disconnectDelay)
	}
	c.readResponse(req, until, disconnects)
}

// readResponse reads until the response is complete, the connection ends, or the given time has come. At that time the client
// disconnects.
func (c *client) readResponse(req *request, until time.Time, disconnects bool) {
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
				if disconnects {
					req.disconnectedAt = now
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

// parse passes bytes to the codec, and reports whether the response is complete and whether more bytes follow it.
func (c *client) parse(in []byte, head **http1.Head) (complete, extra bool) {
	for {
		used, part, err := c.reader.Feed(in)
		in = in[used:]
		if err != nil {
			return false, false // the connection will end, or the client will time out
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

// end records how a request ended. Status 0 means that its connection ended without a complete response.
func (c *client) end(req *request, status int, closes bool) {
	now := c.run.record.now()
	c.run.record.update(func() {
		req.endedAt, req.status = now, status
		req.connectionEnded = status == 0
		req.openAtKill = status == 0 && c.run.record.killedAt > 0
	})
	if closes {
		c.close()
	}
}
