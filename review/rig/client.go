package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// try is one request of a client: what it asked and what came of it.
type try struct {
	id, key       string
	method, class string
	plan          string
	customer      uint32
	units         int
	spread, first int
	body          int // bytes
	budget        time.Duration
	via           string // the instance

	sentAt     time.Duration
	answeredAt time.Duration
	status     int // 0: no answer before the client gave up; -1: the connection ended without a whole answer
	answer     string
}

// refused reports whether the answer promises that trying again is harmless.
func (t *try) refused() bool { return t.status == 429 || t.status == 503 }

// randomID returns 16 hex digits.
func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// text returns the request as it is sent.
func (t *try) text() string {
	head := fmt.Sprintf("%s /api?client=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: %s\r\n"+
		"X-Deadline-Ms: %d\r\nX-Call-Terms: units=%d,spread=%d,first=%d\r\n",
		t.method, t.customer, t.id, t.class, t.plan, t.budget.Milliseconds(), t.units, t.spread, t.first)
	if t.key != "" {
		head += "Idempotency-Key: " + t.key + "\r\n"
	}
	if t.method == "GET" {
		return head + "\r\n"
	}
	body := make([]byte, t.body)
	for i := range body {
		body[i] = 'x'
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// clientPool holds the clients' idle connections to one instance.
type clientPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

// clientConn is a client's connection, which carries one request at a time.
type clientConn struct {
	conn     net.Conn
	in       *bufio.Reader
	finished bool // the last answer announced the end of the connection
}

func (p *clientPool) take() (conn *clientConn, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		conn = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	if conn != nil {
		return conn, true, nil
	}
	fresh, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{conn: fresh, in: bufio.NewReader(fresh)}, false, nil
}

func (p *clientPool) put(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

// errCrossed means that a kept connection ended before anything of the answer came: the request is sent once more.
var errCrossed = errors.New("the request crossed the end of its connection")

// send sends a try and waits for its answer, until its budget has passed. Then the client closes the connection.
func (p *clientPool) send(rec *record, t *try) {
	for range 3 {
		conn, reused, err := p.take()
		if err != nil {
			t.status = -1
			break
		}
		err = conn.exchange(rec, t)
		if err == nil && t.status > 0 && !conn.finished {
			p.put(conn)
			break
		}
		conn.conn.Close()
		if !reused || !errors.Is(err, errCrossed) {
			break
		}
	}
	t.answeredAt = rec.now()
	rec.add("client: %s %s key %q via %s: status %d after %.3f s of %.3f s", t.class, t.id, t.key, t.via, t.status, (t.answeredAt - t.sentAt).Seconds(), t.budget.Seconds())
}

// exchange sends a try and reads its answer. A status of 0 without an error means that the budget has passed.
func (c *clientConn) exchange(rec *record, t *try) error {
	t.sentAt = rec.now()
	rec.add("client: sends %s %s key %q via %s", t.class, t.id, t.key, t.via)
	c.conn.SetDeadline(time.Now().Add(t.budget))
	t.status = -1
	if _, err := io.WriteString(c.conn, t.text()); err != nil {
		return errCrossed
	}
	if _, err := c.in.Peek(1); err != nil {
		return c.ended(t, err, errCrossed)
	}
	response, err := http.ReadResponse(c.in, &http.Request{Method: t.method})
	if err != nil {
		return c.ended(t, err, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return c.ended(t, err, err)
	}
	t.status, t.answer, c.finished = response.StatusCode, string(body), response.Close
	return nil
}

// ended sets the status of a try without a whole answer.
func (c *clientConn) ended(t *try, err, result error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.status = 0
		return nil
	}
	return result
}
