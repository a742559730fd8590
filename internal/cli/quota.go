package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"sandyard/coreid"
	"sandyard/decision"
	"sandyard/quota"
	"sandyard/trace"
)

// Quota runs the sandyard-quota program.
func Quota(args []string, out, errs io.Writer) int {
	var g struct {
		Show    quotaShow  `cmd:"" help:"How a studio stands, as one front door sees it."`
		Would   quotaWould `cmd:"" help:"What the front door would decide now on a try; nothing is changed."`
		Total   quotaTotal `cmd:"" help:"What the tally keeper holds of a studio, asked of the keeper itself."`
		Version version    `cmd:"" help:"Print the version."`
	}
	return program("sandyard-quota", "How a studio stands with its quota.", &g, args, out, errs, &Console{out, errs})
}

// quotaShow is the command "sandyard-quota show".
type quotaShow struct {
	Customer string        `name:"studio" required:"" help:"The studio's name."`
	Socket   string        `help:"The front door's admin socket." placeholder:"PATH"`
	Trace    []string      `type:"existingfile" help:"Or trace files." placeholder:"FILE"`
	At       time.Duration `help:"With traces: time after the first step; the end if absent."`
	output
}

func (q quotaShow) Run(c *Console) error {
	var v quota.View
	switch {
	case q.Socket != "" && len(q.Trace) == 0:
		if err := queryAdmin(q.Socket, "/v1/studio?name="+url.QueryEscape(q.Customer), &v); err != nil {
			return err
		}
	case q.Socket == "" && len(q.Trace) > 0:
		var err error
		if v, err = q.viewFromTrace(c); err != nil {
			return err
		}
	default:
		return errors.New("give either --socket or --trace")
	}
	if q.json() {
		return json.NewEncoder(c.Out).Encode(v)
	}
	return printView(c.Out, v)
}

// printView prints one instance's view of a customer's use of its quota.
func printView(out io.Writer, v quota.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "studio\t%q\n", v.Customer)
	fmt.Fprintf(w, "plan\t%g units a second, %g at once\n", v.Rate, v.Burst)
	if !v.Known {
		fmt.Fprintf(w, "seen here\tnot lately\n")
		return w.Flush()
	}
	fmt.Fprintf(w, "shared by\t%g front doors\n", v.Spread)
	fmt.Fprintf(w, "split left here\t%.2f units\n", v.SplitTokens)
	if v.CeilingRate > 0 {
		fmt.Fprintf(w, "ceiling left here\t%.2f units\n", v.SplitCeilingTokens)
	}
	fmt.Fprintf(w, "asked for here lately\t%.2f units\n", v.RecentDemand)
	fmt.Fprintf(w, "attempts out\t%d\n", v.InFlight)
	switch {
	case !v.UsesCounter:
		fmt.Fprintf(w, "keeper\tnot asked: this front door alone serves it, or there is no keeper\n")
	case v.CounterTotalAge < 0:
		fmt.Fprintf(w, "keeper\tno reply yet\n")
	default:
		fmt.Fprintf(w, "keeper\treported a recent use of %.2f units over all front doors, %.3f s ago\n", v.CounterTotal, v.CounterTotalAge)
	}
	if v.OverQuotaFor > 0 {
		fmt.Fprintf(w, "beyond its quota\tfor another %.3f s at least\n", v.OverQuotaFor)
	}
	return w.Flush()
}

// viewFromTrace replays traces up to a time and returns the view of the customer at that time.
func (q quotaShow) viewFromTrace(c *Console) (quota.View, error) {
	var r *trace.Replay
	var head trace.Header
	var first, last time.Duration
	started, plan := false, decision.PlanID(-1)
	errReachedTime := errors.New("the replay reached the requested time")
	err := traceFiles{q.Trace}.eachRecord(c, func(h trace.Header) error {
		if err := coreid.Check(h.Core, "the trace"); err != nil {
			return err
		}
		var err error
		if r == nil {
			head = h
			r, err = trace.NewReplay(h)
		}
		return err
	}, func(h trace.Header, record trace.Record) error {
		if !started {
			first, started = record.At, true
		}
		if q.At > 0 && record.At > first+q.At {
			return errReachedTime
		}
		if a := record.Event.Arrived; a != nil && a.Customer == q.Customer {
			plan = a.Plan
		}
		last = max(last, record.At)
		return r.Step(h, record)
	})
	if err != nil && !errors.Is(err, errReachedTime) {
		return quota.View{}, err
	}
	if r == nil || r.Gateway() == nil {
		return quota.View{}, errors.New("the trace contains no recorded state")
	}
	if r.Dropped > 0 {
		fmt.Fprintf(c.Errs, "%d steps are missing from the trace: the figures may be inaccurate\n", r.Dropped)
	}
	st, known := r.Gateway().Customer(q.Customer)
	return quota.Inspect(head.Settings, plan, q.Customer, st, known, last), nil
}

// quotaWould is the command "sandyard-quota would".
type quotaWould struct {
	Customer string  `name:"studio" required:"" help:"The studio's name."`
	Units    float64 `default:"1" help:"Units of the try."`
	Socket   string  `required:"" help:"The front door's admin socket." placeholder:"PATH"`
	output
}

func (q quotaWould) Run(c *Console) error {
	var v quota.Verdict
	path := "/v1/would?name=" + url.QueryEscape(q.Customer) + "&units=" + strconv.FormatFloat(q.Units, 'g', -1, 64)
	if err := queryAdmin(q.Socket, path, &v); err != nil {
		return err
	}
	if q.json() {
		return json.NewEncoder(c.Out).Encode(v)
	}
	_, err := fmt.Fprintln(c.Out, v.Answer)
	return err
}
