// Package bench measures a gateway beside what a user would pick instead, all in one run: direct, through net/http/httputil's
// reverse proxy and through a fasthttp proxy, both without any decision.
package bench

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sandyard/internal/http1"
)

// Result is what a load measured.
type Result struct {
	Done    uint64 // responses
	NotOK   uint64 // of them with a status other than 200
	Took    time.Duration
	Latency *hdrhistogram.Histogram // in microseconds
}

// PerSecond returns the throughput in responses a second.
func (r Result) PerSecond() float64 { return float64(r.Done) / r.Took.Seconds() }

// maxLatency is in microseconds: a minute, longer than any timeout.
const maxLatency = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

// Timeouts of a load's connections.
const (
	dialTimeout     = 5 * time.Second
	responseTimeout = 10 * time.Second // after the load's end
)

// benchConn is a connection that sends the same request again and again.
type benchConn struct {
	conn    net.Conn
	reader  *http1.Reader
	request []byte
	buffer  []byte
}

func dial(addr string, req []byte) (*benchConn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &benchConn{conn: c, reader: http1.NewResponses(http1.Limits{}), request: req, buffer: make([]byte, 8<<10)}, nil
}

// roundTrip sends the request and reads its response.
func (c *benchConn) roundTrip() (status int, err error) {
	if _, err := c.conn.Write(c.request); err != nil {
		return 0, err
	}
	c.reader.Expect("GET")
	for {
		n, err := c.conn.Read(c.buffer)
		if err != nil {
			return 0, err
		}
		for in := c.buffer[:n]; ; {
			used, part, err := c.reader.Feed(in)
			in = in[used:]
			switch {
			case err != nil:
				return 0, err
			case part.Kind == http1.HeadEnd:
				status = part.Head.Status
			case part.Kind == http1.End:
				return status, nil
			}
			if part.Kind == http1.More {
				break
			}
		}
	}
}

// Load sends requests over a number of connections for a time. With a rate, in requests a second over all connections, each
// connection sends on a schedule of its own (an open loop), and latencies count from when a request was due if the response
// before it was late, so that waiting for a slow response is not left out. Without one, each sends as soon as it has its
// response (a closed loop).
func Load(addr string, req []byte, conns int, rate float64, d time.Duration) (Result, error) {
	all := make([]*benchConn, 0, conns)
	defer func() {
		for _, c := range all {
			c.conn.Close()
		}
	}()
	for range conns {
		c, err := dial(addr, req)
		if err != nil {
			return Result{Latency: newHistogram()}, err
		}
		all = append(all, c)
	}
	begun := time.Now()
	results, errs := make([]Result, conns), make([]error, conns)
	var wg sync.WaitGroup
	for i, c := range all {
		first, gap := begun, time.Duration(0)
		if rate > 0 {
			gap = time.Duration(float64(conns) / rate * float64(time.Second))
			first = begun.Add(gap * time.Duration(i) / time.Duration(conns))
		}
		wg.Go(func() { results[i], errs[i] = c.run(first, gap, begun.Add(d)) })
	}
	wg.Wait()
	total := Result{Took: time.Since(begun), Latency: newHistogram()}
	for _, r := range results {
		total.Done, total.NotOK = total.Done+r.Done, total.NotOK+r.NotOK
		total.Latency.Merge(r.Latency)
	}
	if err := errors.Join(errs...); err != nil {
		return total, fmt.Errorf("%s: %w", addr, err)
	}
	return total, nil
}

// run sends requests from a time until another, one each gap; 0: as soon as there is a response.
func (c *benchConn) run(due time.Time, gap time.Duration, end time.Time) (Result, error) {
	r := Result{Latency: newHistogram()}
	c.conn.SetDeadline(end.Add(responseTimeout))
	for due.Before(end) {
		from := due
		if wait := time.Until(due); gap == 0 || wait > 0 {
			time.Sleep(wait)
			from = time.Now() // the timer's own lateness is not the target's
		}
		status, err := c.roundTrip()
		now := time.Now()
		if err != nil {
			return r, err
		}
		if status != 200 {
			r.NotOK++
		}
		r.Done++
		r.Latency.RecordValue(max(1, now.Sub(from).Microseconds()))
		if gap > 0 {
			due = due.Add(gap)
		} else {
			due = now
		}
	}
	return r, nil
}
