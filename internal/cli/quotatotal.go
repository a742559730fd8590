package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"text/tabwriter"
	"time"

	"sandyard/internal/resp"
	"sandyard/internal/server"
)

// quotaTotal is the command "sandyard-quota total".
type quotaTotal struct {
	Customer string `name:"studio" required:"" help:"The studio's name."`
	Socket   string `required:"" help:"The admin socket of a front door that serves it: it knows the name." placeholder:"PATH"`
	Counter  string `name:"keeper" help:"Ask this keeper, instead of the front door's." placeholder:"HOST:PORT"`
	output
}

// totalView is the output of quotaTotal.
type totalView struct {
	Customer    string  `json:"studio"`
	Name        string  `json:"name"`
	CounterAddr string  `json:"keeper"`
	Held        bool    `json:"held"`    // the counter has a value for the name
	Units       float64 `json:"units"`   // recent use over all instances, with older use decayed
	ExpiresIn   float64 `json:"lives_s"` // time until the counter drops the name (s); -1: never
}

func (q quotaTotal) Run(c *Console) error {
	var n server.CounterEntry
	if err := queryAdmin(q.Socket, "/v1/counted?name="+url.QueryEscape(q.Customer), &n); err != nil {
		return err
	}
	if !n.Known {
		return fmt.Errorf("the front door has not seen %q lately, or no other front door serves it: the keeper has no total of it", q.Customer)
	}
	if q.Counter != "" {
		n.CounterAddr = q.Counter
	}
	v := totalView{Customer: q.Customer, Name: n.Name, CounterAddr: n.CounterAddr, ExpiresIn: -1}
	values, err := callCounter(n.CounterAddr, []string{"GET", n.Name}, []string{"PTTL", n.Name})
	if err != nil {
		return fmt.Errorf("keeper %s: %w", n.CounterAddr, err)
	}
	if values[0].Type != resp.Null {
		x, ok := values[0].Float()
		if !ok || !(n.Weight > 0) {
			return fmt.Errorf("keeper %s holds %.40q under %s, which is no total", n.CounterAddr, values[0].Str, n.Name)
		}
		v.Held, v.Units = true, x/n.Weight
	}
	if values[1].Type == resp.Integer && values[1].Int >= 0 {
		v.ExpiresIn = float64(values[1].Int) / 1000
	}
	if q.json() {
		return json.NewEncoder(c.Out).Encode(v)
	}
	return v.print(c.Out)
}

func (v totalView) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
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

// callCounter sends commands to a counter and returns their replies. It returns an error if a reply is an error.
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
	var replies resp.Reader
	var values []resp.Value
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return nil, err
		}
		for in := b[:n]; ; {
			used, v, complete, err := replies.Feed(in)
			if err != nil {
				return nil, err
			}
			if in = in[used:]; !complete {
				break
			}
			if v.Type == resp.SimpleError {
				return nil, fmt.Errorf("error reply %.80q", v.Str)
			}
			if values = append(values, v); len(values) == len(commands) {
				return values, nil
			}
		}
	}
}
