package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"sandyard/config"
	"sandyard/proxy"
	"sandyard/routes"
	"sandyard/trace"
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

type routesMatch struct {
	Config   string   `type:"path" xor:"from" required:"" help:"The gateway.yaml." placeholder:"FILE"`
	Socket   string   `xor:"from" required:"" help:"Or a running front door's admin socket: it answers by what it has." placeholder:"PATH"`
	Key      string   `help:"A studio's key."`
	Customer string   `name:"studio" help:"A studio by name, instead of a key."`
	Header   []string `short:"H" sep:"none" help:"A field of the request, as Name: value."`
	output
	Request []string `name:"what" arg:"" help:"METHOD and target, or - for lines of METHOD TARGET [STUDIO] on standard input."`
}

// match asks the running front door, or the front door's own code with the configuration's files.
func (m routesMatch) match(cfg *config.Config, method, target, studio string) (proxy.InspectionResult, error) {
	l := proxy.Inspection{Method: method, Target: target, Fields: m.Header, Key: m.Key, Customer: studio}
	if cfg != nil {
		return l.Run(cfg), nil
	}
	var out proxy.InspectionResult
	return out, queryAdmin(m.Socket, "/v1/match?"+l.Query(), &out)
}

func (m routesMatch) Run(c *Console) error {
	var cfg *config.Config
	if m.Config != "" {
		var err error
		if cfg, err = config.Load(m.Config); err != nil {
			return err
		}
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	enc := json.NewEncoder(c.Out)
	print := func(x proxy.InspectionResult, err error) error {
		if err != nil {
			return err
		}
		if m.json() {
			return enc.Encode(x)
		}
		status := "decided"
		if x.Status != 0 {
			status = fmt.Sprintf("%d %s", x.Status, x.Reason)
		}
		_, err = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%g\t%q\t%s\t%s\n", x.Method, x.Target, x.Operation, x.Class, x.Idempotency, x.Units, x.Customer, x.Plan, status)
		return err
	}
	if !m.json() {
		fmt.Fprintln(w, "method\ttarget\toperation\tclass\trepeat\tunits\tstudio\tplan\tanswer")
	}
	defer w.Flush()
	switch {
	case len(m.Request) == 1 && m.Request[0] == "-":
		in := bufio.NewScanner(os.Stdin)
		in.Buffer(nil, 1<<20)
		for n := 1; in.Scan(); n++ {
			f := strings.Fields(in.Text())
			if len(f) == 0 {
				continue
			}
			if len(f) < 2 || len(f) > 3 {
				return fmt.Errorf("standard input, line %d: expected METHOD TARGET [STUDIO]", n)
			}
			studio := m.Customer
			if len(f) == 3 {
				studio = f[2]
			}
			if err := print(m.match(cfg, f[0], f[1], studio)); err != nil {
				return err
			}
		}
		return in.Err()
	case len(m.Request) == 2:
		return print(m.match(cfg, m.Request[0], m.Request[1], m.Customer))
	}
	return fmt.Errorf("expected METHOD TARGET, or -")
}

type routesDiff struct {
	Old   string   `arg:"" type:"existingfile" help:"The description in force."`
	New   string   `arg:"" type:"existingfile" help:"The one to come."`
	Trace []string `type:"existingfile" help:"Traces whose traffic tells who would pay more." placeholder:"FILE"`
	output
}

// difference is one between two descriptions.
type difference struct {
	Kind      string `json:"kind"` // new, gone, shadowed, class, cost, repeat or id
	Operation string `json:"operation"`
	What      string `json:"what"`
}

// customerUnits is what a studio pays for the traffic of traces, in units.
type customerUnits struct {
	Customer string  `json:"studio"`
	Before   float64 `json:"was"`
	After    float64 `json:"now"`
}

// comparison is what diff prints.
type comparison struct {
	Operations  [2]int          `json:"operations"` // of each description
	Differences []difference    `json:"differences"`
	Customers   int             `json:"studios,omitempty"`   // in the traces
	Changed     []customerUnits `json:"otherwise,omitempty"` // those that would pay otherwise, who pays more first
}

func (d routesDiff) Run(c *Console) error {
	var tables [2]*routes.Table
	for i, name := range []string{d.Old, d.New} {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if tables[i], err = routes.Compile(name, text); err != nil {
			return err
		}
	}
	key := func(op *routes.Operation) string { return op.Method + " " + op.Template }
	old, now := map[string]*routes.Operation{}, map[string]*routes.Operation{}
	for _, op := range tables[0].Operations {
		old[key(op)] = op
	}
	lines := []difference{}
	tell := func(kind, op, what string, args ...any) {
		lines = append(lines, difference{kind, op, fmt.Sprintf(what, args...)})
	}
	cost := map[string][2]float64{} // by old operation id
	for _, op := range tables[1].Operations {
		now[key(op)] = op
		was, ok := old[key(op)]
		if !ok {
			tell("new", key(op), "line %d: class %s, %s", op.Line, op.Class, unitsText(op.Units))
			continue
		}
		if was.Class != op.Class {
			tell("class", key(op), "%s (line %d) to %s (line %d)", was.Class, was.Line, op.Class, op.Line)
		}
		if was.Units != op.Units {
			tell("cost", key(op), "%s (line %d) to %s (line %d)", unitsText(was.Units), was.Line, unitsText(op.Units), op.Line)
			if was.Units.In == "" && op.Units.In == "" {
				cost[was.ID] = [2]float64{was.Units.Fixed, op.Units.Fixed}
			}
		}
		if was.Repeat != op.Repeat {
			tell("repeat", key(op), "line %d to line %d", was.Line, op.Line)
		}
		if was.ID != op.ID {
			tell("id", key(op), "%s to %s", was.ID, op.ID)
		}
	}
	for _, op := range tables[0].Operations {
		if now[key(op)] == nil {
			tell("gone", key(op), "line %d", op.Line)
			if hit, v := tables[1].Match(op.Method, strings.NewReplacer("{", "", "}", "").Replace(op.Template)); v == routes.Found {
				tell("shadowed", key(op), "its requests become %s (line %d)", key(hit), hit.Line)
			}
		}
	}
	slices.SortFunc(lines, func(a, b difference) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Operation, b.Operation))
	})
	out := comparison{Operations: [2]int{len(tables[0].Operations), len(tables[1].Operations)}, Differences: lines}
	if len(d.Trace) > 0 {
		var err error
		if out.Customers, out.Changed, err = d.compareUnits(c, cost); err != nil {
			return err
		}
	}
	if d.json() {
		return printJSON(c.Out, out)
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\n", l.Kind, l.Operation, l.What)
	}
	w.Flush()
	fmt.Fprintf(c.Out, "%d differences in %d and %d operations\n", len(lines), out.Operations[0], out.Operations[1])
	if len(d.Trace) == 0 {
		return nil
	}
	fmt.Fprintln(w, "\nstudio\tunits in the traces\tunder the new description\tchange")
	for _, x := range out.Changed {
		fmt.Fprintf(w, "%q\t%g\t%g\t%+.1f%%\n", x.Customer, x.Before, x.After, 100*(x.After/max(x.Before, 1e-9)-1))
	}
	w.Flush()
	_, err := fmt.Fprintf(c.Out, "%d of %d studios would pay otherwise\n", len(out.Changed), out.Customers)
	return err
}

// compareUnits tells how many studios there are in the traces, and who would have paid otherwise for their traffic.
func (d routesDiff) compareUnits(c *Console, cost map[string][2]float64) (studios int, otherwise []customerUnits, err error) {
	by := map[string]*customerUnits{}
	err = traceFiles{d.Trace}.eachRecord(c, nil, func(h trace.Header, it trace.Record) error {
		a := it.Event.Arrived
		if a == nil {
			return nil
		}
		s := by[a.Customer]
		if s == nil {
			s = &customerUnits{Customer: a.Customer}
			by[a.Customer] = s
		}
		s.Before += a.Units
		if ch, ok := cost[nameAt(h.Operations, it.Operation-1)]; ok {
			s.After += ch[1]
		} else {
			s.After += a.Units
		}
		return nil
	})
	for _, s := range by {
		if s.Before != s.After {
			otherwise = append(otherwise, *s)
		}
	}
	slices.SortFunc(otherwise, func(a, b customerUnits) int {
		return cmp.Or(cmp.Compare(b.After-b.Before, a.After-a.Before), strings.Compare(a.Customer, b.Customer))
	})
	return len(by), otherwise, err
}

func unitsText(u routes.Units) string {
	if u.In == "" {
		return fmt.Sprintf("%g units", u.Fixed)
	}
	return fmt.Sprintf("units by %s %s, %g if absent, at most %g", u.In, u.Name, u.Default, u.Max)
}
