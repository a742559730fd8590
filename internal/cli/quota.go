package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"sandyard/coreid"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/resp"
	"sandyard/internal/server"
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

// queryAdmin gets an answer from a front door's admin socket. One of another core is refused.
func queryAdmin(socket, path string, into any) error {
	c, err := net.DialTimeout("unix", socket, 2*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: admin\r\n\r\n", path); err != nil {
		return err
	}
	rd := http1.NewResponses(http1.Limits{})
	rd.Expect("GET")
	text, err := io.ReadAll(io.LimitReader(c, 1<<20))
	if err != nil {
		return err
	}
	var head *http1.Head
	var body []byte
	for {
		n, part, err := rd.Feed(text)
		text = text[n:]
		if err != nil {
			return err
		}
		switch part.Kind {
		case http1.More:
			return errors.New("the front door's answer is cut off")
		case http1.HeadEnd:
			head = part.Head
			core, _ := head.Get("Sandyard-Core")
			if err := coreid.Check(core, "the running front door"); err != nil {
				return err
			}
		case http1.Data:
			body = append(body, part.Data...)
		case http1.End:
			if head.Status != 200 {
				var e struct{ Error string }
				json.Unmarshal(body, &e)
				return fmt.Errorf("the front door says: %s", e.Error)
			}
			return json.Unmarshal(body, into)
		}
	}
}

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
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
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
		fmt.Fprintf(w, "keeper\thas told nothing yet\n")
	default:
		fmt.Fprintf(w, "keeper\ttold a recent use of %.2f units over all front doors, %.3f s ago\n", v.CounterTotal, v.CounterTotalAge)
	}
	if v.OverQuotaFor > 0 {
		fmt.Fprintf(w, "beyond its quota\tfor another %.3f s at least\n", v.OverQuotaFor)
	}
	return w.Flush()
}

// viewFromTrace replays up to a time and looks there.
func (q quotaShow) viewFromTrace(c *Console) (quota.View, error) {
	var r *trace.Replay
	var head trace.Header
	var first, last time.Duration
	begun, plan := false, decision.PlanID(-1)
	stop := errors.New("far enough")
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
	}, func(h trace.Header, it trace.Record) error {
		if !begun {
			first, begun = it.At, true
		}
		if q.At > 0 && it.At > first+q.At {
			return stop
		}
		if a := it.Event.Arrived; a != nil && a.Customer == q.Customer {
			plan = a.Plan
		}
		last = max(last, it.At)
		return r.Step(h, it)
	})
	if err != nil && !errors.Is(err, stop) {
		return quota.View{}, err
	}
	if r == nil || r.Gateway() == nil {
		return quota.View{}, errors.New("the trace holds no state to look at")
	}
	if r.Dropped > 0 {
		fmt.Fprintf(c.Errs, "%d steps are missing from the trace: the figures may be off\n", r.Dropped)
	}
	st, known := r.Gateway().Customer(q.Customer)
	return quota.Inspect(head.Settings, plan, q.Customer, st, known, last), nil
}

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

type quotaTotal struct {
	Customer string `name:"studio" required:"" help:"The studio's name."`
	Socket   string `required:"" help:"The admin socket of a front door that serves it: it knows the name." placeholder:"PATH"`
	Counter  string `name:"keeper" help:"Ask this keeper, instead of the front door's." placeholder:"HOST:PORT"`
	output
}

// totalView is what total prints.
type totalView struct {
	Customer    string  `json:"studio"`
	Name        string  `json:"name"`
	CounterAddr string  `json:"keeper"`
	Held        bool    `json:"held"`    // the keeper has the name
	Units       float64 `json:"units"`   // recent use over all front doors, as it fades
	ExpiresIn   float64 `json:"lives_s"` // seconds until the keeper forgets the name; -1: never
}

func (q quotaTotal) Run(c *Console) error {
	var n server.CounterEntry
	if err := queryAdmin(q.Socket, "/v1/counted?name="+url.QueryEscape(q.Customer), &n); err != nil {
		return err
	}
	if !n.Known {
		return fmt.Errorf("the front door has not seen %q lately, or shares it with no other: the keeper holds nothing of it", q.Customer)
	}
	if q.Counter != "" {
		n.CounterAddr = q.Counter
	}
	v := totalView{Customer: q.Customer, Name: n.Name, CounterAddr: n.CounterAddr, ExpiresIn: -1}
	got, err := callCounter(n.CounterAddr, []string{"GET", n.Name}, []string{"PTTL", n.Name})
	if err != nil {
		return fmt.Errorf("keeper %s: %w", n.CounterAddr, err)
	}
	if got[0].Type != resp.Null {
		x, ok := got[0].Float()
		if !ok || !(n.Weight > 0) {
			return fmt.Errorf("keeper %s holds %.40q under %s, which is no total", n.CounterAddr, got[0].Str, n.Name)
		}
		v.Held, v.Units = true, x/n.Weight
	}
	if got[1].Type == resp.Integer && got[1].Int >= 0 {
		v.ExpiresIn = float64(got[1].Int) / 1000
	}
	if q.json() {
		return json.NewEncoder(c.Out).Encode(v)
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "studio\t%q\nkeeper\t%s\nname\t%q\n", v.Customer, v.CounterAddr, v.Name)
	if !v.Held {
		fmt.Fprintf(w, "held\tnothing: not counted yet, forgotten, or another keeper\n")
		return w.Flush()
	}
	fmt.Fprintf(w, "recent use\t%.2f units over all front doors\n", v.Units)
	if v.ExpiresIn >= 0 {
		fmt.Fprintf(w, "forgotten in\t%.1f s\n", v.ExpiresIn)
	}
	return w.Flush()
}

// callCounter sends commands that change nothing and returns their answers.
func callCounter(addr string, commands ...[]string) ([]resp.Value, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	var out []byte
	for _, args := range commands {
		out = resp.AppendCommand(out, args...)
	}
	if _, err := c.Write(out); err != nil {
		return nil, err
	}
	var rd resp.Reader
	var got []resp.Value
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return nil, err
		}
		for in := b[:n]; ; {
			used, v, whole, err := rd.Feed(in)
			if err != nil {
				return nil, err
			}
			if in = in[used:]; !whole {
				break
			}
			if v.Type == resp.SimpleError {
				return nil, fmt.Errorf("it says %.80q", v.Str)
			}
			if got = append(got, v); len(got) == len(commands) {
				return got, nil
			}
		}
	}
}
