package coreid

import (
	"errors"
	"strings"
	"testing"
)

// A tool of another build that answers all the same misleads whoever is on call. Check must accept this build's identity and
// return a Mismatch that names both for another.
func TestCheckRefusesAnotherCore(t *testing.T) {
	if err := Check(Core(), "the trace"); err != nil || len(Core()) != 2*digestBytes {
		t.Errorf("%q: %v", Core(), err)
	}
	err := Check("0123456789abcdef", "the trace")
	var m Mismatch
	if !errors.As(err, &m) || m.Mine != Core() || m.Theirs != "0123456789abcdef" || !strings.Contains(err.Error(), "the trace") {
		t.Errorf("%v", err)
	}
}
