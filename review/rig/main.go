// Command rig plays one case of the review. It starts proxy instances with the command of the deploy file, as separate
// processes on loopback addresses, together with small emulated peers in this process: discovery, backends, the shared
// counter and clients. They follow the operators' pages.
//
//	rig -case NAME -run COMMAND -record FILE [-calm]
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With -calm the case runs
// without its disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// options are the settings of a run.
type options struct {
	runCommand string // of the deploy file
	calm       bool   // without the disruption
	record     *record
}

// verdict is the result of a case.
type verdict struct {
	broken   []string // one text for each violation of the rule
	unusable string   // why the run cannot be judged; "": it can
}

// cases are the cases by name.
var cases = map[string]func(*options) (verdict, error){
	"expired-key":  playExpiredKey,
	"short-length": playShortLength,
	"stuck":        playStuck,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	runCommand := flag.String("run", "", "command of the deploy file that runs an instance")
	recordFile := flag.String("record", "record.txt", "file for the record")
	calm := flag.Bool("calm", false, "play without the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil || *runCommand == "" {
		fmt.Fprintln(os.Stderr, "rig: expected -case and -run")
		return statusNotRun
	}
	rec, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return statusNotRun
	}
	defer rec.close()
	result, err := play(&options{runCommand: *runCommand, calm: *calm, record: rec})
	if err != nil {
		result.unusable = err.Error()
	}
	return conclude(rec, result)
}

// conclude writes the verdict to the record and to the standard output, and returns the exit status.
func conclude(rec *record, result verdict) int {
	status, text := statusHeld, "the rule held"
	switch {
	case result.unusable != "":
		status, text = statusNotRun, "the case could not run: "+result.unusable
	case len(result.broken) > 0:
		status = statusBroken
		text = fmt.Sprintf("the rule was broken %d times:\n  %s", len(result.broken), strings.Join(result.broken, "\n  "))
	}
	rec.add("%s", text)
	fmt.Println(text)
	return status
}
