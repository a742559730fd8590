package strictyaml

import "testing"

// TestRatesAndSizesNeedTheirUnits checks that values without units, negative values and values that are too large are
// rejected. A number without a unit could be read as per second by one operator and as per minute by another.
func TestRatesAndSizesNeedTheirUnits(t *testing.T) {
	var r Rate
	var z Size
	for s, want := range map[string]float64{"12/s": 12, "30/min": 0.5, "0.5/s": 0.5, "12": -1, "-1/s": -1, "x/s": -1, "1/day": -1, "Inf/s": -1} {
		if err := r.DecodeText(s); (err == nil) != (want >= 0) || err == nil && float64(r) != want {
			t.Errorf("%s: %v %v", s, r, err)
		}
	}
	for s, want := range map[string]int{"64KiB": 65536, "1MiB": 1 << 20, "7B": 7, "64": -1, "x": -1, "-1KiB": -1, "99999999999999GiB": -1} {
		if err := z.DecodeText(s); (err == nil) != (want >= 0) || err == nil && int(z) != want {
			t.Errorf("%s: %v %v", s, z, err)
		}
	}
}
