package cli

import (
	"math"
)

// pairedDifference returns the mean of paired differences, and how many standard errors it is from 0.
func pairedDifference(a, b []float64) (mean, units float64) {
	n := float64(len(a))
	if n < 2 {
		return 0, 0
	}
	for i := range a {
		mean += (b[i] - a[i]) / n
	}
	sum := 0.0
	for i := range a {
		d := b[i] - a[i] - mean
		sum += d * d
	}
	if sum == 0 {
		return mean, 0
	}
	return mean, mean / math.Sqrt(sum/(n-1)/n)
}
