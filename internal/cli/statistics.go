package cli

import (
	"math"
)

// pairedDifference returns the mean of the paired differences b[i]-a[i], and its distance from 0 in standard errors.
func pairedDifference(a, b []float64) (mean, deviations float64) {
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
