package cli

import (
	"errors"
	"fmt"
	"time"

	"sandyard/coreid"
	"sandyard/trace"
)

// traceReplay is the command "sandyard-trace replay".
type traceReplay struct {
	traceFiles
	output
}

func (t traceReplay) Run(c *Console) error {
	var r *trace.Replay
	next := 0
	started := time.Now()
	err := t.eachRecord(c, func(h trace.Header) error {
		if err := coreid.Check(h.Core, "the trace"); err != nil {
			return err
		}
		if r == nil {
			var err error
			if r, err = trace.NewReplay(h); err != nil {
				return err
			}
		} else if h.Part != next {
			return fmt.Errorf("part %d follows part %d", h.Part, next-1)
		}
		next = h.Part + 1
		return nil
	}, func(h trace.Header, record trace.Record) error { return r.Step(h, record) })
	if err != nil {
		return err
	}
	took := time.Since(started).Seconds()
	if t.json() {
		if err := printJSON(c.Out, r); err != nil {
			return err
		}
		if r.Differences > r.Uncertain {
			return errReplayDiffers
		}
		return nil
	}
	fmt.Fprintf(c.Out, "%d steps replayed and %d states compared, %d differ, %d missing; %.0f steps a second\n", r.Steps, r.States, r.Differences, r.Dropped, float64(r.Steps)/took)
	if r.Skipped > 0 {
		fmt.Fprintf(c.Out, "%d steps before the first recorded state could not be replayed\n", r.Skipped)
	}
	if r.Differences > 0 {
		fmt.Fprintf(c.Out, "first at %v: %s\n", r.FirstDifferenceAt, r.FirstDifference)
		if r.Uncertain == r.Differences {
			fmt.Fprintln(c.Out, "all of them follow steps that are missing from the trace, which may explain them: no verdict on them is possible")
			return nil
		}
		return errReplayDiffers
	}
	return nil
}

// errReplayDiffers is returned if steps or states differ and steps that are missing from the trace can't explain it.
var errReplayDiffers = errors.New("the core's decisions differ from those in the trace")
