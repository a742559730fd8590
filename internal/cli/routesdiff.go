package cli

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"sandyard/routes"
	"sandyard/trace"
)

// routesDiff is the command "sandyard-routes diff".
type routesDiff struct {
	Old   string   `arg:"" type:"existingfile" help:"The description in force."`
	New   string   `arg:"" type:"existingfile" help:"The one to come."`
	Trace []string `type:"existingfile" help:"Traces whose traffic tells who would pay more." placeholder:"FILE"`
	output
}

// difference is one difference between two descriptions.
type difference struct {
	Kind      string `json:"kind"` // new, gone, shadowed, class, cost, repeat or id
	Operation string `json:"operation"`
	What      string `json:"what"`
}

// customerUnits is the cost of a customer's traffic in the traces (units) under the old description and the new one.
type customerUnits struct {
	Customer string  `json:"studio"`
	Before   float64 `json:"was"`
	After    float64 `json:"now"`
}

// comparison is the output of routesDiff.
type comparison struct {
	Operations  [2]int          `json:"operations"` // of each description
	Differences []difference    `json:"differences"`
	Customers   int             `json:"studios,omitempty"`   // in the traces
	Changed     []customerUnits `json:"otherwise,omitempty"` // customers whose cost differs, the largest increase first
}

func (d routesDiff) Run(c *Console) error {
	oldTable, err := compileRoutes(d.Old)
	if err != nil {
		return err
	}
	newTable, err := compileRoutes(d.New)
	if err != nil {
		return err
	}
	diff := diffTables(oldTable, newTable)
	out := comparison{Operations: [2]int{len(oldTable.Operations), len(newTable.Operations)}, Differences: diff.found}
	if len(d.Trace) > 0 {
		if out.Customers, out.Changed, err = d.compareUnits(c, diff.cost); err != nil {
			return err
		}
	}
	if d.json() {
		return printJSON(c.Out, out)
	}
	return d.print(c, out)
}

func compileRoutes(file string) (*routes.Table, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return routes.Compile(file, text)
}

// tableDiff collects the differences between two descriptions.
type tableDiff struct {
	found []difference
	cost  map[string][2]float64 // old and new units by the operation's id in the old description, if both are fixed
}

func (t *tableDiff) add(kind, operation, format string, args ...any) {
	t.found = append(t.found, difference{kind, operation, fmt.Sprintf(format, args...)})
}

func operationKey(op *routes.Operation) string { return op.Method + " " + op.Template }

// diffTables compares two descriptions and returns their differences, sorted by kind and operation.
func diffTables(oldTable, newTable *routes.Table) *tableDiff {
	t := &tableDiff{found: []difference{}, cost: map[string][2]float64{}}
	before, after := map[string]*routes.Operation{}, map[string]bool{}
	for _, op := range oldTable.Operations {
		before[operationKey(op)] = op
	}
	for _, op := range newTable.Operations {
		key := operationKey(op)
		after[key] = true
		if oldOperation, ok := before[key]; ok {
			t.compare(key, oldOperation, op)
		} else {
			t.add("new", key, "line %d: class %s, %s", op.Line, op.Class, unitsText(op.Units))
		}
	}
	for _, op := range oldTable.Operations {
		if key := operationKey(op); !after[key] {
			t.add("gone", key, "line %d", op.Line)
			if hit, v := newTable.Match(op.Method, strings.NewReplacer("{", "", "}", "").Replace(op.Template)); v == routes.Found {
				t.add("shadowed", key, "its requests become %s (line %d)", operationKey(hit), hit.Line)
			}
		}
	}
	slices.SortFunc(t.found, func(a, b difference) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Operation, b.Operation))
	})
	return t
}

// compare adds the differences between the old and the new description of an operation.
func (t *tableDiff) compare(key string, oldOperation, newOperation *routes.Operation) {
	if oldOperation.Class != newOperation.Class {
		t.add("class", key, "%s (line %d) to %s (line %d)", oldOperation.Class, oldOperation.Line, newOperation.Class, newOperation.Line)
	}
	if oldOperation.Units != newOperation.Units {
		t.add("cost", key, "%s (line %d) to %s (line %d)", unitsText(oldOperation.Units), oldOperation.Line, unitsText(newOperation.Units), newOperation.Line)
		if oldOperation.Units.In == "" && newOperation.Units.In == "" {
			t.cost[oldOperation.ID] = [2]float64{oldOperation.Units.Fixed, newOperation.Units.Fixed}
		}
	}
	if oldOperation.Repeat != newOperation.Repeat {
		t.add("repeat", key, "line %d to line %d", oldOperation.Line, newOperation.Line)
	}
	if oldOperation.ID != newOperation.ID {
		t.add("id", key, "%s to %s", oldOperation.ID, newOperation.ID)
	}
}

func (d routesDiff) print(c *Console, out comparison) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	for _, difference := range out.Differences {
		fmt.Fprintf(w, "%s\t%s\t%s\n", difference.Kind, difference.Operation, difference.What)
	}
	w.Flush()
	fmt.Fprintf(c.Out, "%d differences in %d and %d operations\n", len(out.Differences), out.Operations[0], out.Operations[1])
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

// compareUnits returns the number of customers in the traces, and the customers whose traffic would have cost more or fewer units.
func (d routesDiff) compareUnits(c *Console, cost map[string][2]float64) (customers int, changed []customerUnits, err error) {
	byCustomer := map[string]*customerUnits{}
	err = traceFiles{d.Trace}.eachRecord(c, nil, func(h trace.Header, record trace.Record) error {
		a := record.Event.Arrived
		if a == nil {
			return nil
		}
		customer := byCustomer[a.Customer]
		if customer == nil {
			customer = &customerUnits{Customer: a.Customer}
			byCustomer[a.Customer] = customer
		}
		customer.Before += a.Units
		if units, ok := cost[nameAt(h.Operations, record.Operation-1)]; ok {
			customer.After += units[1]
		} else {
			customer.After += a.Units
		}
		return nil
	})
	for _, customer := range byCustomer {
		if customer.Before != customer.After {
			changed = append(changed, *customer)
		}
	}
	slices.SortFunc(changed, func(a, b customerUnits) int {
		return cmp.Or(cmp.Compare(b.After-b.Before, a.After-a.Before), strings.Compare(a.Customer, b.Customer))
	})
	return len(byCustomer), changed, err
}

func unitsText(u routes.Units) string {
	if u.In == "" {
		return fmt.Sprintf("%g units", u.Fixed)
	}
	return fmt.Sprintf("units by %s %s, %g if absent, at most %g", u.In, u.Name, u.Default, u.Max)
}
