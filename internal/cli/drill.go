package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"sandyard/internal/drill"
	"sandyard/internal/simulation"
)

// programPrefix is the prefix of a first argument that names a program to run as. With it a single executable can start the
// other programs of a drill or benchmark as its children.
const programPrefix = "--as="

// Drill runs the sandyard-drill program.
func Drill(args []string, out, errs io.Writer) int {
	if len(args) > 0 && strings.HasPrefix(args[0], programPrefix) {
		switch strings.TrimPrefix(args[0], programPrefix) {
		case "sandyard":
			return Gateway(args[1:], out, errs)
		case "sandyard-emulator":
			return Emulator(args[1:], out, errs)
		}
		fmt.Fprintln(errs, "sandyard-drill: no program", args[0])
		return Usage
	}
	var g struct {
		Play     drillArgs    `cmd:"" default:"withargs" help:"Play the day; the command may be left out."`
		Soak     soakArgs     `cmd:"" help:"Play ends of a process, drawn from seeds, and check what crossed the sockets."`
		Exposure exposureArgs `cmd:"" help:"Tell from the logs of plays how often a shutdown crossed a change of the endpoint list."`
	}
	return program("sandyard-drill", "A bad day on real sockets, with the five rules checked from what crossed them.", &g, args, out, errs,
		&Console{out, errs})
}

// drillArgs is the command "sandyard-drill play", which is the default command of sandyard-drill.
type drillArgs struct {
	Seed      uint64  `default:"1" help:"Seed of the traffic."`
	Seconds   float64 `default:"45" help:"Seconds of traffic."`
	Instances int     `name:"doors" default:"3" help:"Front doors."`
	Backends  int     `name:"boxes" default:"8" help:"Boxes; the built-in day needs 8."`
	Rate      float64 `default:"180" help:"Requests a second on a usual second."`
	Script    string  `type:"existingfile" help:"A script of sandyard-sim to play instead of the built-in day: its seed, seconds, doors, boxes, rate and troubles." placeholder:"FILE"`
	output
	Keep  string `type:"path" help:"Keep the processes' logs and files in this folder." placeholder:"DIR"`
	Quiet bool   `help:"Don't tell of troubles as they are played."`
}

func (a drillArgs) Run(c *Console) error {
	opt := drill.Options{Seed: a.Seed, Seconds: a.Seconds, Instances: a.Instances, Backends: a.Backends, Rate: a.Rate, LogDir: a.Keep, Command: childCommand}
	if a.Instances < 2 || a.Backends < 1 || !(a.Seconds > 0) || !(a.Rate > 0) {
		return fmt.Errorf("at least 2 doors, 1 box, and more than 0 seconds and requests are needed")
	}
	if a.Script != "" {
		text, err := os.ReadFile(a.Script)
		if err != nil {
			return err
		}
		script, err := simulation.ReadScript(a.Script, text)
		if err != nil {
			return err
		}
		opt.Events, opt.Seed, opt.Seconds, opt.Instances, opt.Backends, opt.Rate = script.Events, script.Seed, script.Seconds, script.Instances,
			script.Backends.Count, script.Rate
	}
	if !a.Quiet {
		opt.Log = c.Errs
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := drill.Run(ctx, opt)
	if err != nil {
		return err
	}
	if a.json() {
		if err := printJSON(c.Out, r); err != nil {
			return err
		}
	} else {
		printReport(c.Out, r)
	}
	if r.Failed() {
		return fmt.Errorf("%d violations, not exercised: %v, bad exits: %d", r.Violations, r.NotExercised, len(r.Exits))
	}
	return nil
}

// childCommand returns the executable and the first arguments that run a program as a child from this executable.
func childCommand(program string) (string, []string) {
	exe, err := os.Executable()
	if err != nil {
		exe = os.Args[0]
	}
	return exe, []string{programPrefix + program}
}

// printReport prints the rules' cases and violations, the results by plan and the unexpected exits.
func printReport(out io.Writer, r drill.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seed %d: %d tries in %.0f s, %d troubles; %.3f of the worth asked for was served\n\n", r.Seed, r.Requests, r.Seconds,
		r.Faults, r.ValueShare)
	fmt.Fprintln(w, "rule\tcases\tviolations\tnearest\tof")
	for _, rule := range r.Rules {
		cases := fmt.Sprint(rule.Cases)
		if rule.Cases == 0 {
			cases = "not exercised"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%s\n", rule.Name, cases, rule.Count, rule.Nearest, rule.Limit)
	}
	fmt.Fprintln(w, "\nplan\ttries\tserved\tof them late\trefused\tfailed\tlost\tcut\tno door\tworth served")
	for _, p := range r.Plans {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\n", p.Plan, p.Requests, p.Served, p.Late, p.Rejected, p.Failed, p.TimedOut, p.Broken, p.NotAccepted,
			p.ValueServed/max(p.ValueOffered, 1e-9))
	}
	w.Flush()
	for _, rule := range r.Rules {
		for _, v := range rule.Violations {
			fmt.Fprintf(out, "%s: %s\n", rule.Name, v)
		}
	}
	for _, e := range r.Exits {
		fmt.Fprintln(out, "exit:", e)
	}
}
