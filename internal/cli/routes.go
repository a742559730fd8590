package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"sandyard/config"
	"sandyard/proxy"
)

// Routes runs the sandyard-routes program.
func Routes(args []string, out, errs io.Writer) int {
	var g struct {
		Match   routesMatch `cmd:"" help:"Tell what a request is taken for: operation, class, units, studio, plan."`
		Diff    routesDiff  `cmd:"" help:"Compare two descriptions."`
		Version version     `cmd:"" help:"Print the version."`
	}
	return program("sandyard-routes", "What a front door makes of requests, from its files, by its own code.", &g, args, out, errs, &Console{out, errs})
}

// routesMatch is the command "sandyard-routes match".
type routesMatch struct {
	Config   string   `type:"path" xor:"from" required:"" help:"The gateway.yaml." placeholder:"FILE"`
	Socket   string   `xor:"from" required:"" help:"Or a running front door's admin socket: it answers by what it has." placeholder:"PATH"`
	Key      string   `help:"A studio's key."`
	Customer string   `name:"studio" help:"A studio by name, instead of a key."`
	Header   []string `short:"H" sep:"none" help:"A field of the request, as Name: value."`
	output
	Request []string `name:"what" arg:"" help:"METHOD and target, or - for lines of METHOD TARGET [STUDIO] on standard input."`
}

// match classifies a request with the gateway's own code if there is a configuration, or else queries a running gateway.
func (m routesMatch) match(cfg *config.Config, method, target, customer string) (proxy.InspectionResult, error) {
	inspection := proxy.Inspection{Method: method, Target: target, Fields: m.Header, Key: m.Key, Customer: customer}
	if cfg != nil {
		return inspection.Run(cfg), nil
	}
	var out proxy.InspectionResult
	return out, queryAdmin(m.Socket, "/v1/match?"+inspection.Query(), &out)
}

func (m routesMatch) Run(c *Console) error {
	var cfg *config.Config
	if m.Config != "" {
		var err error
		if cfg, err = config.Load(m.Config); err != nil {
			return err
		}
	}
	p := &matchPrinter{table: tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)}
	if m.json() {
		p.json = json.NewEncoder(c.Out)
	} else {
		fmt.Fprintln(p.table, "method\ttarget\toperation\tclass\trepeat\tunits\tstudio\tplan\tanswer")
	}
	defer p.table.Flush()
	switch {
	case len(m.Request) == 1 && m.Request[0] == "-":
		return m.matchLines(cfg, os.Stdin, p)
	case len(m.Request) == 2:
		return p.print(m.match(cfg, m.Request[0], m.Request[1], m.Customer))
	}
	return fmt.Errorf("expected METHOD TARGET, or -")
}

// maxLine is the maximum length of a line of standard input (bytes). It is far above that of a valid target.
const maxLine = 1 << 20

// matchLines classifies the requests of lines METHOD TARGET [STUDIO].
func (m routesMatch) matchLines(cfg *config.Config, lines io.Reader, p *matchPrinter) error {
	in := bufio.NewScanner(lines)
	in.Buffer(nil, maxLine)
	for n := 1; in.Scan(); n++ {
		f := strings.Fields(in.Text())
		if len(f) == 0 {
			continue
		}
		if len(f) < 2 || len(f) > 3 {
			return fmt.Errorf("standard input, line %d: expected METHOD TARGET [STUDIO]", n)
		}
		customer := m.Customer
		if len(f) == 3 {
			customer = f[2]
		}
		if err := p.print(m.match(cfg, f[0], f[1], customer)); err != nil {
			return err
		}
	}
	return in.Err()
}

// matchPrinter prints results as JSON if json is set, or else as rows of a table.
type matchPrinter struct {
	table *tabwriter.Writer
	json  *json.Encoder
}

func (p *matchPrinter) print(x proxy.InspectionResult, err error) error {
	if err != nil {
		return err
	}
	if p.json != nil {
		return p.json.Encode(x)
	}
	status := "decided"
	if x.Status != 0 {
		status = fmt.Sprintf("%d %s", x.Status, x.Reason)
	}
	_, err = fmt.Fprintf(p.table, "%s\t%s\t%s\t%s\t%s\t%g\t%q\t%s\t%s\n", x.Method, x.Target, x.Operation, x.Class, x.Idempotency, x.Units, x.Customer, x.Plan, status)
	return err
}
