package decision

import (
	"math"
	"time"
)

// This file holds the moving averages that the rules read. Each is an exponentially weighted mean of recent values; its
// window is a time, stretched where values come so seldom that the time alone would hold too few of them.

const (
	// averageWindow is the time over which the weight of a value falls to 1/e: a change of load shows
	// within about 1 s.
	averageWindow = time.Second
	// averageFadeTime is the time over which a mean without new values falls to 1/e, see movingAverage.current.
	averageFadeTime = time.Second
	// minSamples is the number of values that a mean holds at least, however seldom they come: with hundreds of
	// instances a mean over fewer attempts is noise.
	minSamples = 12.0
	// minNoisySamples is the same for values that vary more, such as single latencies and rare failures.
	minNoisySamples = 4 * minSamples
)

// movingAverage is an exponentially weighted mean of recent values.
type movingAverage struct {
	value      float64
	weight     float64 // of all values taken in; the last one has weight 1
	gap        float64 // mean time between values, seconds
	minSamples float64 // values that it holds at least
	window     float64 // seconds
	fadeTime   float64 // seconds
	updatedAt  time.Duration
}

// newMovingAverage is an average without a value, which holds at least so many.
func newMovingAverage(minSamples float64, now time.Duration) movingAverage {
	return movingAverage{minSamples: minSamples, window: averageWindow.Seconds(), fadeTime: averageFadeTime.Seconds(), updatedAt: now}
}

// add takes a value in. Older ones fade with time, but never below the weight that they need for minSamples.
func (a *movingAverage) add(x float64, now time.Duration) {
	elapsed := (now - a.updatedAt).Seconds()
	keep := max(math.Exp(-elapsed/a.window), 1-1/a.minSamples)
	a.weight = a.weight*keep + 1
	if a.weight > 1 {
		a.gap += (elapsed - a.gap) / min(a.weight, a.minSamples)
	}
	a.value += (x - a.value) / a.weight
	a.updatedAt = now
}

// current is the mean, fading while no values come. A gateway that sheds everything gets no reports; without the
// fading it would believe in the last overload for ever and never send again.
func (a *movingAverage) current(now time.Duration) float64 {
	return a.value * math.Exp(-(now-a.updatedAt).Seconds()/max(a.fadeTime, a.minSamples*a.gap))
}

// seconds is the duration of so many seconds.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// indicator is 1 for true and 0 for false, to average how often something holds.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
