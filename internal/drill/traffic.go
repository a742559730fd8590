package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"sandyard/invariant"
)

// traffic starts operations at random times. Each is drawn from the seed alone, so the outcome of one does not change the next.
func (d *Drill) traffic(ctx context.Context, startedAt time.Time) error {
	var g errgroup.Group
	rng := rand.New(rand.NewPCG(d.options.Seed, 11))
	at, n := 0.0, 0
	for {
		rate, weights, sum := d.rates()
		at += rng.ExpFloat64() / (rate * sum)
		if at > d.options.Seconds {
			break
		}
		pick, s := rng.Float64()*sum, 0
		for ; s < len(weights)-1 && pick >= weights[s]; s++ {
			pick -= weights[s]
		}
		if !sleep(ctx, time.Until(startedAt.Add(time.Duration(at*float64(time.Second))))) {
			break
		}
		n++
		op, opRNG := n, rand.New(rand.NewPCG(d.options.Seed, uint64(n)+1000))
		g.Go(func() error { d.operate(ctx, op, d.customers[s], opRNG); return nil })
	}
	return g.Wait()
}

// rates returns the operations a second without surges of single customers or plans, the weight of each customer in the traffic, and
// the sum of the weights.
func (d *Drill) rates() (rate float64, weights []float64, sum float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	weights = make([]float64, len(d.customers))
	for i, c := range d.customers {
		p := plans[c.plan]
		weight := p.trafficShare / float64(p.customers)
		for _, name := range []string{c.name, p.name} {
			if f, ok := d.surges[name]; ok {
				weight *= f
			}
		}
		weights[i] = weight
		sum += weight
	}
	return d.options.Rate * d.totalSurge, weights, sum
}

// maxWorkFactor bounds the work of a request, as a multiple of the mean. More work would exceed deadlines by itself.
const maxWorkFactor = 6

// firstBackoff is the mean backoff before a client's first retry. It doubles for each further retry.
const firstBackoff = 100 * time.Millisecond

// operate sends the request of one operation of a client, and its retries.
func (d *Drill) operate(ctx context.Context, number int, c *customer, rng *rand.Rand) {
	pick, k := rng.Float64(), 0
	for ; k < len(classes)-1 && pick >= classes[k].trafficShare; k++ {
		pick -= classes[k].trafficShare
	}
	class := classes[k]
	operation := fmt.Sprintf("%d.%d", d.options.Seed, number)
	requestWork := min(time.Duration((0.3+rng.ExpFloat64()*0.7)*float64(work)), maxWorkFactor*work)
	timeout := time.Duration((0.6 + 0.4*rng.Float64()) * float64(class.deadline))
	for attempt := 0; attempt <= clientRetries; attempt++ {
		r := invariant.Request{ID: fmt.Sprintf("%s.%d", operation, attempt), Operation: operation, Customer: c.name, Plan: plans[c.plan].name,
			Idempotency: class.idempotency, Units: 1, Work: requestWork, Timeout: timeout, Value: class.value * plans[c.plan].price,
			LateShare: lateShare, LatencyObjective: class.latencyObjective}
		ending := d.send(&r, class, c, attempt, rng)
		mayRetry := ending == invariant.Rejected || ending == invariant.NotAccepted ||
			class.idempotency != invariant.NotIdempotent && ending != invariant.Served
		if !mayRetry || class.idempotency == invariant.IdempotentByKey && d.now()-r.SentAt > keyTTL/2 {
			return
		}
		if !sleep(ctx, time.Duration((0.5+rng.Float64())*float64(firstBackoff<<attempt))) {
			return
		}
	}
}

// send sends a request through one of its customer's instances, and records the request and its ending.
func (d *Drill) send(r *invariant.Request, class classSpec, c *customer, attempt int, rng *rand.Rand) invariant.Ending {
	d.mu.Lock()
	r.Instance = (c.firstInstance + (c.moves+rng.IntN(4)/3)%2) % d.options.Instances
	client := d.clients[r.Instance]
	d.requests++
	r.SentAt = d.now()
	d.auditor.RequestSent(*r)
	d.mu.Unlock()
	var times callTimes
	render := func(timeLeft time.Duration) []byte { return []byte(requestText(r, class, attempt, timeLeft)) }
	ending, responses := client.call(render, class.method, d.origin.Add(r.SentAt+r.Timeout), &times)
	d.mu.Lock()
	defer d.mu.Unlock()
	if ending == invariant.ClientTimedOut || ending == invariant.ConnectionBroken {
		d.unanswered = append(d.unanswered, d.unansweredRequest(r, ending, &times))
	}
	endedAt := d.now()
	if responses > 0 {
		endedAt = times.answered.Sub(d.origin) // not when this process read it
	}
	d.auditor.RequestEnded(invariant.Outcome{ID: r.ID, Ending: ending, At: endedAt, Responses: responses})
	return ending
}

// requestText returns a request of a client that waits for another timeLeft. A request that is not idempotent has no key: with a key,
// backends would discard its repeats, and the auditor would not see them run.
func requestText(r *invariant.Request, class classSpec, attempt int, timeLeft time.Duration) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: door\r\nX-Api-Key: key-%s\r\nX-Request-Id: %s\r\nX-Work: %.3f\r\nX-Patience: %d\r\nX-Retry: %d\r\n",
		class.method, class.path, r.Customer, r.ID, r.Work.Seconds()*1000, max(0, timeLeft.Milliseconds()), attempt)
	if class.idempotency != invariant.NotIdempotent {
		text += "Idempotency-Key: " + r.Operation + "\r\n"
	}
	return text + "Content-Length: 2\r\n\r\nok"
}
