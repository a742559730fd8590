// Package bench measures a gateway and the alternatives to it in one run: direct connections to the backend, net/http/httputil's
// reverse proxy and a fasthttp proxy. Neither proxy makes any decisions.
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

// Result holds the measurements of a load.
type Result struct {
	Done    uint64 // responses
	NotOK   uint64 // responses with a status other than 200
	Took    time.Duration
	Latency *hdrhistogram.Histogram // in microseconds
}

// PerSecond returns the throughput (responses per second).
func (r Result) PerSecond() float64 { return float64(r.Done) / r.Took.Seconds() }

// maxLatency is the greatest latency that a histogram records (us): a minute, longer than any timeout.
const maxLatency = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

// Timeouts of the connections of a load.
const (
	dialTimeout     = 5 * time.Second
	responseTimeout = 10 * time.Second // from the end of the load
)

// benchConn is a connection that sends the same request repeatedly.
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

// roundTrip sends the request and reads the response.
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

// Load sends requests over a number of connections for the duration d. A rate above 0, in requests per second over all
// connections, makes an open loop: each connection sends on its own schedule. If a response arrives after the next request is
// due, the latency of that request is measured from its due time, so that the wait for a slow response is included. A rate of
// 0 makes a closed loop: each connection sends as soon as it has received the response.
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
	started := time.Now()
	results, errs := make([]Result, conns), make([]error, conns)
	var wg sync.WaitGroup
	for i, c := range all {
		first, interval := started, time.Duration(0)
		if rate > 0 {
			interval = time.Duration(float64(conns) / rate * float64(time.Second))
			first = started.Add(interval * time.Duration(i) / time.Duration(conns))
		}
		wg.Go(func() { results[i], errs[i] = c.run(first, interval, started.Add(d)) })
	}
	wg.Wait()
	total := Result{Took: time.Since(started), Latency: newHistogram()}
	for _, r := range results {
		total.Done, total.NotOK = total.Done+r.Done, total.NotOK+r.NotOK
		total.Latency.Merge(r.Latency)
	}
	if err := errors.Join(errs...); err != nil {
		return total, fmt.Errorf("%s: %w", addr, err)
	}
	return total, nil
}

// run sends requests from due to end at the given interval. If the interval is 0, it sends each request as soon as it has received
// the response to the previous one.
func (c *benchConn) run(due time.Time, interval time.Duration, end time.Time) (Result, error) {
	r := Result{Latency: newHistogram()}
	c.conn.SetDeadline(end.Add(responseTimeout))
	for due.Before(end) {
		measuredFrom := due
		if wait := time.Until(due); interval == 0 || wait > 0 {
			time.Sleep(wait)
			measuredFrom = time.Now() // excludes the delay of the timer from the target's latency
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
		r.Latency.RecordValue(max(1, now.Sub(measuredFrom).Microseconds()))
		if interval > 0 {
			due = due.Add(interval)
		} else {
			due = now
		}
	}
	return r, nil
}
