package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sandyard/internal/http1"
)

// misbehaveTime is how long a misbehaving client stays connected. It exceeds the instance's timeouts for heads and bodies.
const misbehaveTime = 12 * time.Second

// misbehave simulates a client that sends an invalid request. With slow set, the client instead sends a request so slowly
// that the instance times out, or reads no response.
func (s *Sim) misbehave(rng *rand.Rand, slow bool) {
	pool := s.clientPools[rng.IntN(len(s.clientPools))]
	c := &clientConn{pool: pool, reader: http1.NewResponses(http1.Limits{}), misbehaving: true}
	if slow && rng.IntN(3) == 0 {
		s.requestWithoutReading(pool, c)
		return
	}
	text, gap := s.invalidRequest(rng.IntN(6)), time.Duration(0)
	if slow {
		text = s.withKey("POST /bookings HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 50\r\n\r\n" + strings.Repeat("y", 30))
		gap = time.Duration(50+rng.IntN(500)) * time.Millisecond
		s.countReached("client drips")
	} else {
		s.countReached("client makes noise")
	}
	c.dialing = s.network.dial(s.clientHost, fmt.Sprintf("door-%d", pool.instance), c, func(conn *netConn, ok bool) {
		switch {
		case ok && !c.done:
			c.conn = conn
			s.writeText(c, text, gap)
		case conn != nil:
			conn.close(true)
		}
	})
	s.scheduleAfter(misbehaveTime, func() { c.close(true) })
}

// withKey formats a text with the name of the key header and the first customer's key.
func (s *Sim) withKey(format string) string {
	return fmt.Sprintf(format, s.config.Headers.Key, s.config.Customers[0].Keys[0])
}

// invalidRequest returns one of six texts that an instance must reject.
func (s *Sim) invalidRequest(number int) string {
	return [...]string{
		"GET / HTTP/1.1\n\n",
		"POST /payments HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"\x16\x03\x01\x00\xa5\x01\x00\x00", // beginning of a TLS handshake
		"GET /bookings HTTP/1.1\r\nHost: h\r\nX-Api-Key: nobody\r\n\r\nGET",
		s.withKey("POST /payments HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 999999999\r\n\r\nx"),
		strings.Repeat("a", 9000),
	}[number]
}

// writeText writes a text at once or, with a gap, byte by byte.
func (s *Sim) writeText(c *clientConn, text string, gap time.Duration) {
	if c.done || len(text) == 0 {
		return
	}
	n := len(text)
	if gap > 0 {
		n = 1
	}
	c.unsent = append(c.unsent, text[:n]...)
	c.flush()
	s.scheduleAfter(gap, func() { s.writeText(c, text[n:], gap) })
}

// requestWithoutReading simulates a client that sends several pipelined requests and reads no response.
func (s *Sim) requestWithoutReading(pool *clientPool, c *clientConn) {
	s.countReached("client reads nothing")
	text := strings.Repeat(s.withKey("GET /bookings HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n"), 8)
	c.dialing = s.network.dial(s.clientHost, fmt.Sprintf("door-%d", pool.instance), nonReader{c}, func(conn *netConn, ok bool) {
		if ok && !c.done {
			c.conn = conn
			conn.write([]byte(text))
		}
	})
	s.scheduleAfter(misbehaveTime, func() { c.close(true) })
}

// nonReader is the connHandler of a client that does not read.
type nonReader struct{ c *clientConn }

func (nonReader) readable(*netConn) {}

func (nonReader) writable(*netConn) {}

func (m nonReader) closed(*netConn, bool) { m.c.close(true) }
