package cli

import (
	"fmt"
	"io"
	"strings"

	"sandyard/internal/bench"
)

// Bench runs the sandyard-bench program.
func Bench(args []string, out, errs io.Writer) int {
	if len(args) > 0 && strings.HasPrefix(args[0], programPrefix) {
		var err error
		switch rest := args[1:]; strings.TrimPrefix(args[0], programPrefix) {
		case "sandyard":
			return Gateway(rest, out, errs)
		case "box":
			err = bench.Backend(out)
		case "reverseproxy":
			err = bench.ReverseProxy(out, rest[0])
		case "fasthttp":
			err = bench.FastHTTP(out, rest[0])
		}
		fmt.Fprintln(errs, err)
		return Failure
	}
	var b struct {
		Measure benchArgs  `cmd:"" default:"withargs" help:"Measure; the command may be left out."`
		Tools   benchTools `cmd:"" help:"Measure what recording decisions and looking at a studio cost a front door."`
	}
	return program("sandyard-bench", "A front door beside proxies without decisions, in one run.", &b, args, out, errs, &Console{out, errs})
}

// benchArgs is the command "sandyard-bench measure".
type benchArgs struct {
	Conns   []int   `default:"1,64,1024" help:"Numbers of connections."`
	Seconds float64 `default:"3" help:"Seconds of each load."`
	Rounds  int     `default:"3" help:"Rounds, played in turn; medians are told."`
	Idle    int     `default:"10000" help:"Idle connections whose memory is measured; 0 for none."`
}

func (b benchArgs) Run(c *Console) error {
	if b.Rounds < 1 || !(b.Seconds > 0) {
		return fmt.Errorf("at least one round and more than 0 seconds are needed")
	}
	return bench.Run(bench.Options{Conns: b.Conns, Seconds: b.Seconds, Rounds: b.Rounds, Idle: b.Idle, Out: c.Out, Command: childCommand})
}

// benchTools is the command "sandyard-bench tools".
type benchTools struct {
	Conns     []int   `default:"64" help:"Numbers of connections."`
	Seconds   float64 `default:"3" help:"Seconds of each load."`
	Rounds    int     `default:"5" help:"Rounds, played in turn; medians are told."`
	Rate      float64 `default:"8000" help:"Requests a second of the open loop."`
	QueryRate int     `name:"looks" default:"100" help:"Looks a second at a studio."`
}

func (b benchTools) Run(c *Console) error {
	if b.Rounds < 1 || !(b.Seconds > 0) || !(b.Rate > 0) || b.QueryRate < 1 {
		return fmt.Errorf("at least one round and one look, and more than 0 seconds and requests are needed")
	}
	return bench.Tools(bench.ToolOptions{Options: bench.Options{Conns: b.Conns, Seconds: b.Seconds, Rounds: b.Rounds, Out: c.Out, Command: childCommand},
		Rate: b.Rate, QueryRate: b.QueryRate, Query: func(socket, path string) error {
			var v any
			return queryAdmin(socket, path, &v)
		}})
}
