package main

import (
	"strings"
	"testing"
)

const start = "init\tdoor-0\t5\tservices.count=1\tservices.0.aim-ms=600\tservices.0.semantics=retryable\n" +
	"census\t0\t1\nrow\t-\t0\t0\t7\t0\tup\t1\ndirectory_update\tdoor-0\trestored\t0\t1\n"

// TestStopDiscardsActionsOfItsBatch: the actions that an instance took earlier in the batch in which it stops must be discarded.
func TestStopDiscardsActionsOfItsBatch(t *testing.T) {
	in := "clock\t1\n" + start + "end\nclock\t2\naccept\tdoor-0\t1f\t0\t0\tc\t500\t1\t1\t0\t0\nstop\tdoor-0\n" + start + "end\n"
	var out strings.Builder
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "deliver") || strings.Count(out.String(), "done\n") != 2 {
		t.Errorf("got %q", out.String())
	}
}

// TestMalformedInputEndsTheRun: malformed input and invalid settings must cause an error. The simulator would take an empty reply
// for a decision.
func TestMalformedInputEndsTheRun(t *testing.T) {
	for _, in := range []string{"clock\t1\nbogus\n", "clock\t1\ninit\tdoor-0\t5\tservices.count=0\nend\n"} {
		var out strings.Builder
		if err := run(strings.NewReader(in), &out); err == nil {
			t.Errorf("%q: no error", in)
		}
	}
}
