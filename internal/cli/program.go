// Package cli implements the command lines of all programs.
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
	Failure = 1 // the command failed, or its result is negative, such as a violated rule
	Usage   = 2 // the command line or an input file is invalid; the errors name the places in the file
	// Inconclusive: a run could not be carried out or could not be judged.
	Inconclusive = 2
	// CoreMismatch: the core identity of the tool differs from that of the trace or the running gateway.
	CoreMismatch = 3
)

// program parses a command line by a kong grammar, runs the selected command and returns the exit status for its error. The
// values of bind are passed to the commands' Run methods by their types.
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

// Console holds the standard output and standard error of a program.
type Console struct{ Out, Errs io.Writer }
