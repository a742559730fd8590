package decision

import (
	"math"
	"time"
)

// This file implements the moving averages that the rules read. Each is an exponentially weighted mean of recent
// values. Its window is a duration, which is extended if values are so rare that the window would contain too few of
// them.

const (
	// averageWindow is the time in which the weight of a value falls to 1/e: a change of load shows within about 1 s.
	averageWindow = time.Second
	// averageFadeTime is the time in which a mean without new values falls to 1/e, see movingAverage.current.
	averageFadeTime = time.Second
	// minSamples is the minimum number of values that a mean covers, however rare they are: with hundreds of instances,
	// a mean over fewer attempts is noise.
	minSamples = 12.0
	// minNoisySamples is the minimum for values that vary more, such as single latencies and rare failures.
	minNoisySamples = 4 * minSamples
)

// movingAverage is an exponentially weighted mean of recent values.
type movingAverage struct {
	value      float64
	weight     float64 // total weight of all values; the last one has weight 1
	gap        float64 // mean time between values, seconds
	minSamples float64 // minimum number of values that the mean covers
	window     float64 // seconds
	fadeTime   float64 // seconds
	updatedAt  time.Duration
}

// newMovingAverage returns an average without values, which will cover at least minSamples of them.
func newMovingAverage(minSamples float64, now time.Duration) movingAverage {
	return movingAverage{minSamples: minSamples, window: averageWindow.Seconds(), fadeTime: averageFadeTime.Seconds(), updatedAt: now}
}

// add adds a value. The weight of older values decays with time, but never below what minSamples requires.
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

// current returns the mean, which decays towards 0 while no values arrive. A gateway that sheds every request gets no
// reports; without the decay it would act on the last overload forever and never send an attempt again.
func (a *movingAverage) current(now time.Duration) float64 {
	return a.value * math.Exp(-(now-a.updatedAt).Seconds()/max(a.fadeTime, a.minSamples*a.gap))
}

// seconds converts a number of seconds to a duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// indicator returns 1 for true and 0 for false. The average of its values is the share of cases in which b holds.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
