package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerGrace is how long a client waits beyond its time for a late answer.
const answerGrace = 600 * time.Millisecond

// try is one request of a client.
type try struct {
	customer      uint64
	plan, class   string
	method        string
	key           string // "": none
	timeout       time.Duration
	units         int
	spread, first int
}

// result is how a try ended. Status 0 means that its connection ended or nothing came.
type result struct {
	id      string
	status  int
	sentAt  time.Time
	endedAt time.Time
}

// clients send tries over connections that they keep.
type clients struct {
	record *record
	http   http.Client
	lastID atomic.Uint64
	sentTo sync.Map // number of the instance by request id
}

func newClients(record *record) *clients {
	return &clients{record: record, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// send sends a try to an instance and waits for its answer.
func (c *clients) send(i *instance, t try) result {
	r := result{id: fmt.Sprintf("%08x%08x", t.customer&0xffffffff, c.lastID.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout+answerGrace)
	defer cancel()
	var body io.Reader
	if t.method == http.MethodPost {
		body = strings.NewReader("order=" + r.id)
	}
	request, err := http.NewRequestWithContext(ctx, t.method, fmt.Sprintf("http://%s/api?client=%016x", i.listen, t.customer), body)
	if err != nil {
		return r
	}
	header := request.Header
	header.Set("X-Request-Id", r.id)
	header.Set("X-Class", t.class)
	header.Set("X-Tier", t.plan)
	header.Set("X-Deadline-Ms", fmt.Sprint(t.timeout.Milliseconds()))
	header.Set("X-Call-Terms", fmt.Sprintf("units=%d,spread=%d,first=%d", t.units, t.spread, t.first))
	if t.key != "" {
		header.Set("Idempotency-Key", t.key)
	}
	c.sentTo.Store(r.id, i.number)
	c.record.add("sent", "%s %s class=%s key=%s time=%dms", i.name, r.id, t.class, t.key, t.timeout.Milliseconds())
	response, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	r.endedAt = time.Now()
	if err == nil {
		r.status = response.StatusCode
	}
	c.record.add("answered", "%s %s status=%d after=%dms", i.name, r.id, r.status, r.endedAt.Sub(r.sentAt).Milliseconds())
	return r
}

// pause waits for the time between two requests of a Poisson process.
func pause(perSecond float64) {
	time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
}
