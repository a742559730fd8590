package strictyaml

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Errors of values with a wrong or missing unit. Each is the cause of a diagnostic.Problem.
var (
	ErrDuration = errors.New("expected a time such as 600ms or 2.5s")
	ErrRate     = errors.New("expected a rate such as 12/s, 30/min or 900/h")
	ErrSize     = errors.New("expected a size such as 64KiB or 1MiB")
)

// Duration is a duration, written as 600ms or 2.5s.
type Duration time.Duration

// DecodeText parses a duration, 0 or more. The error is ErrDuration.
func (t *Duration) DecodeText(s string) error {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return ErrDuration
	}
	*t = Duration(d)
	return nil
}

// Rate is a rate in units per second, written as 12/s or 30/min.
type Rate float64

// DecodeText parses a rate, 0 or more. The error is ErrRate.
func (r *Rate) DecodeText(s string) error {
	number, per, ok := strings.Cut(s, "/")
	x, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	seconds := map[string]float64{"s": 1, "min": 60, "h": 3600}[strings.TrimSpace(per)]
	if !ok || err != nil || seconds == 0 || !(x >= 0) || math.IsInf(x, 0) {
		return ErrRate
	}
	*r = Rate(x / seconds)
	return nil
}

// Size is a number of bytes, written as 64KiB or 1MiB.
type Size int

// DecodeText parses a size, 0 or more. The error is ErrSize.
func (z *Size) DecodeText(s string) error {
	units := []struct {
		name   string
		factor int
	}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}
	for _, u := range units {
		if number, ok := strings.CutSuffix(s, u.name); ok {
			n, err := strconv.Atoi(strings.TrimSpace(number))
			if err != nil || n < 0 || n > math.MaxInt/u.factor {
				break
			}
			*z = Size(n * u.factor)
			return nil
		}
	}
	return ErrSize
}
