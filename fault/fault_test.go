package fault

import (
	"errors"
	"strings"
	"testing"
)

// If a fault were parsed as another verb or with another value, a script would not test what it says.
func TestParseReadsVerbAndValue(t *testing.T) {
	for text, want := range map[string]struct {
		verb  Verb
		value float64
	}{
		"slow 3":   {Slow, 3},
		" hang ":   {Hang, 0},
		"reset 10": {ResetResponse, 10},
		"fault":    {ServerErrors, 1},
		"fault .5": {ServerErrors, 0.5},
		"lie -2":   {FalseReports, -2},
	} {
		if verb, value, err := Parse(text); err != nil || verb != want.verb || value != want.value {
			t.Errorf("%q: %s %g, %v", text, verb, value, err)
		}
	}
}

// errors.Is distinguishes the errors of Parse, and their texts name the invalid part.
func TestParseErrorsSayWhatIsWrong(t *testing.T) {
	for _, c := range []struct {
		text string
		kind error
		says string
	}{
		{"hagn", ErrUnknownVerb, `"hagn": expected one of slow hang`},
		{"slow", ErrMissingValue, "slow: a value is missing"},
		{"slow x", ErrInvalidValue, `slow: "x": expected a number`},
		{"slow -1", ErrInvalidValue, "expected a number, 0 or more"},
		{"lie NaN", ErrInvalidValue, "expected a number"},
		{"delay 2e9", ErrInvalidValue, "expected a number"},
	} {
		if _, _, err := Parse(c.text); !errors.Is(err, c.kind) || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%q: %v", c.text, err)
		}
	}
}
