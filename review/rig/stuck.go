package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// The case of the stuck instance: an instance that starts while a class is left unanswered refuses everything for good.
const (
	stuckInstances  = 48
	stuckBackends   = 14
	failingBackends = 8                // 57% leave the class unanswered
	meanRate        = 4.5              // requests a second at an instance
	rateSpread      = 0.8              // standard deviation of the logarithm of an instance's rate
	failLength      = 30 * time.Second // from the start of the clients until all backends answer everything
	recoveryTime    = 6 * time.Second  // from then until the instances are judged
	observationTime = 25 * time.Second // for which they are judged
	refusedInARow   = 15               // requests that an instance must refuse to count as stuck
	allowedShare    = 0.1              // of the instances may do so
)

// stuckCase is the state of the case.
type stuckCase struct {
	w     *world
	calm  bool
	began time.Duration
	rates []float64 // of the instances, in requests a second

	mu    sync.Mutex
	tries []*try
}

// playStuck plays clients of the third customer at instances that have just started.
func playStuck(opt *options) (verdict, error) {
	group := newBackendGroup(opt.record, logNormalWork(126*time.Millisecond, 0.8), 0)
	group.cores = 3
	settings := func(me int) map[string]any { return instalmentSettings(me, stuckInstances) }
	w, err := startWorld(opt, group, stuckBackends, []string{"ga", "gb"}, stuckInstances, settings)
	defer w.stop()
	if err != nil {
		return verdict{}, err
	}
	c := &stuckCase{w: w, calm: opt.calm, rates: unevenRates(), began: opt.record.now()}
	group.fault = c.leaveUnanswered
	var clients sync.WaitGroup
	poisson(meanRate*stuckInstances, failLength+recoveryTime+observationTime, func() {
		clients.Go(func() {
			t := instalmentTry(w, c.draw())
			c.mu.Lock()
			defer c.mu.Unlock()
			c.tries = append(c.tries, t)
		})
	})
	clients.Wait()
	return verdict{broken: c.judge(), unusable: w.unexpectedEnd()}, nil
}

// unevenRates draws the rates of the instances: some get several times the mean, some a fraction of it.
func unevenRates() []float64 {
	rates := make([]float64, stuckInstances)
	total := 0.0
	for i := range rates {
		rates[i] = math.Exp(rateSpread * rand.NormFloat64())
		total += rates[i]
	}
	for i := range rates {
		rates[i] *= meanRate * stuckInstances / total
	}
	return rates
}

// leaveUnanswered makes half of the backends leave the requests of one class unanswered. The class has no body; the other
// has one.
func (c *stuckCase) leaveUnanswered(b *backend, a *attempt) func(*http1Peer) {
	if c.calm || b.number >= failingBackends || a.body > 0 || a.receivedAt >= c.began+failLength {
		return nil
	}
	c.w.opt.record.add("backend %s leaves %s unanswered", b.name, a.id)
	return staySilent
}

// draw returns the number of an instance, drawn by the rates.
func (c *stuckCase) draw() int {
	left := rand.Float64() * meanRate * stuckInstances
	for number, rate := range c.rates {
		left -= rate
		if left < 0 {
			return number
		}
	}
	return 0
}

// judge returns the instances that refused all that they got and made no attempt, long after all backends answered again.
func (c *stuckCase) judge() []string {
	from := c.began + failLength + recoveryTime
	var stuck []string
	for _, inst := range c.w.instances {
		requests, refused, attempts := 0, 0, 0
		for _, t := range c.tries {
			if t.via != inst.config.Name || t.sentAt < from {
				continue
			}
			requests++
			if t.refused() {
				refused++
			}
			if c.w.backends.firstAttempt(t.id) != nil {
				attempts++
			}
		}
		c.w.opt.record.add("%s: %d requests, %d refused, attempts for %d, in the last %.0f s", inst.config.Name, requests, refused, attempts, observationTime.Seconds())
		if requests >= refusedInARow && refused == requests && attempts == 0 {
			stuck = append(stuck, fmt.Sprintf("%s refused all of %d requests in %.0f s and made no attempt; before that, all backends had answered everything for %.0f s",
				inst.config.Name, requests, observationTime.Seconds(), recoveryTime.Seconds()))
		}
	}
	fmt.Printf("stuck instances: %d of %d\n", len(stuck), stuckInstances)
	if float64(len(stuck)) <= allowedShare*stuckInstances {
		return nil
	}
	return stuck
}
