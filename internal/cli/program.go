// Package cli is the programs' command lines.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"sandyard/coreid"
	"sandyard/internal/diagnostic"
)

// Exit statuses of all programs.
const (
	Success = 0
	Failure = 1 // the work was done and its outcome is bad, or it could not be done
	Usage   = 2 // the command line is wrong, or a file that is checked with its places
	// Inconclusive: a run could not be played, or not be judged.
	Inconclusive = 2
	// CoreMismatch: the tool's core is not that of what it was given.
	CoreMismatch = 3
)

// program parses a command line by a kong grammar, runs the command, and turns what comes of it into an exit status. What is
// bound is what the commands' Run methods take.
func program(name, about string, grammar any, args []string, out, errs io.Writer, bind ...any) int {
	status := -1
	k, err := kong.New(grammar, kong.Name(name), kong.Description(about), kong.Writers(out, errs), kong.Bind(bind...),
		kong.Exit(func(code int) { status = code }), kong.UsageOnError(),
		kong.DynamicCommand("completion", "Print what makes a shell complete this program's command line.", "", &completion{}))
	if err != nil {
		fmt.Fprintln(errs, name+":", err)
		return Usage
	}
	if kongplete.Complete(k, kongplete.WithExitFunc(func(code int) { status = code })); status >= 0 {
		return status
	}
	ctx, err := k.Parse(args)
	if status >= 0 { // --help
		return status
	}
	if err != nil {
		fmt.Fprintln(errs, name+":", err)
		return Usage
	}
	switch err := ctx.Run(); {
	case err == nil:
		return Success
	case errors.Is(err, errInconclusive):
		fmt.Fprintln(errs, name+":", err)
		return Inconclusive
	case errors.As(err, &coreid.Mismatch{}):
		fmt.Fprintln(errs, name+":", err)
		return CoreMismatch
	case errors.As(err, &diagnostic.Problems{}):
		fmt.Fprintln(errs, err)
		return Usage
	default:
		fmt.Fprintln(errs, name+":", err)
		return Failure
	}
}

// Console is where a program prints.
type Console struct{ Out, Errs io.Writer }
