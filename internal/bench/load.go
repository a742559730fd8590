// Package bench measures a front door beside what a user would pick instead, all in one run: direct, through
// net/http/httputil's reverse proxy and through a fasthttp proxy, both without any decision.
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

// Result is what a load saw. Latencies are in microseconds.
type Result struct {
	Done, Bad uint64
	Took      time.Duration
	Latency   *hdrhistogram.Histogram
}

// PerSecond is the throughput.
func (r Result) PerSecond() float64 { return float64(r.Done) / r.Took.Seconds() }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// one is a connection that asks the same thing again and again.
type one struct {
	conn net.Conn
	rd   *http1.Reader
	req  []byte
	buf  []byte
}

func dial(addr string, req []byte) (*one, error) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &one{conn: c, rd: http1.NewResponses(http1.Limits{}), req: req, buf: make([]byte, 8<<10)}, nil
}

func (o *one) ask() (status int, err error) {
	if _, err := o.conn.Write(o.req); err != nil {
		return 0, err
	}
	o.rd.Expect("GET")
	for {
		n, err := o.conn.Read(o.buf)
		if err != nil {
			return 0, err
		}
		for in := o.buf[:n]; ; {
			used, part, err := o.rd.Feed(in)
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

// Load asks over a number of connections for a time. With a rate (in all, a second) each connection asks on a
// schedule of its own and latencies count from when an ask was due if the answer before it was late, so that waiting
// for a slow answer is not left out; without one, each asks as soon as it is answered.
func Load(addr string, req []byte, conns int, rate float64, d time.Duration) (Result, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	r := Result{Latency: newHistogram()}
	var firstErr error
	all := make([]*one, 0, conns)
	defer func() {
		for _, o := range all {
			o.conn.Close()
		}
	}()
	for range conns {
		o, err := dial(addr, req)
		if err != nil {
			return r, err
		}
		all = append(all, o)
	}
	begun := time.Now()
	end := begun.Add(d)
	for i, o := range all {
		wg.Go(func() {
			h := newHistogram()
			var done, bad uint64
			var failed error
			gap := time.Duration(0)
			due := begun
			if rate > 0 {
				gap = time.Duration(float64(conns) / rate * float64(time.Second))
				due = begun.Add(gap * time.Duration(i) / time.Duration(conns))
			}
			o.conn.SetDeadline(end.Add(10 * time.Second))
			for due.Before(end) {
				from := due
				if wait := time.Until(due); rate == 0 || wait > 0 {
					time.Sleep(wait)
					from = time.Now() // the timer's own lateness is not the peer's
				}
				status, err := o.ask()
				now := time.Now()
				if err != nil {
					failed = err
					break
				}
				if status != 200 {
					bad++
				}
				done++
				h.RecordValue(max(1, now.Sub(from).Microseconds()))
				if rate > 0 {
					due = due.Add(gap)
				} else {
					due = now
				}
			}
			mu.Lock()
			defer mu.Unlock()
			r.Done, r.Bad = r.Done+done, r.Bad+bad
			r.Latency.Merge(h)
			firstErr = errors.Join(firstErr, failed)
		})
	}
	wg.Wait()
	r.Took = time.Since(begun)
	if firstErr != nil {
		return r, fmt.Errorf("%s: %w", addr, firstErr)
	}
	return r, nil
}
