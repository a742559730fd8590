// Command standins plays the platform, the backends and the clients of the review cases 6 to 10. It starts instances by the
// line run of the deploy file, and judges one rule from what crossed the wire:
//
//	standins CASE RECORD
//
// It must be started in the root of the repository. With TROUBLE=0 in the environment, the disruption is left out. The exit
// status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxCaseTime is the time after which a case is given up.
const maxCaseTime = 115 * time.Second

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// cases are the cases by name. Each returns the number of violations.
var cases = map[string]func(w *world) (int, error){
	"stale-list":        staleList,
	"discovery-returns": discoveryReturns,
	"cut-request":       cutRequest,
	"small-set":         smallSet,
	"small-units":       smallUnits,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(statusFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case and returns the exit status. All processes that it started have ended when it returns.
func run(name, recordFile string) int {
	w, err := newWorld(recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer w.close()
	type result struct {
		violations int
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := cases[name](w)
		done <- result{violations, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	r := result{err: fmt.Errorf("not done after %v", maxCaseTime)}
	select {
	case signal := <-stop:
		r.err = fmt.Errorf("ended by a signal: %v", signal)
	case r = <-done:
	case <-time.After(maxCaseTime):
	}
	if r.err == nil {
		r.err = w.unexpectedEnd()
	}
	status, text := statusHeld, "the rule held"
	switch {
	case r.err != nil:
		status, text = statusFailed, "the case couldn't run: "+r.err.Error()
	case r.violations > 0:
		status, text = statusBroken, fmt.Sprintf("the rule was broken %d times", r.violations)
	}
	w.record.add("result", "%s: %s (trouble: %v)", name, text, w.disrupted)
	fmt.Printf("%s: %s (trouble: %v)\n", name, text, w.disrupted)
	return status
}
