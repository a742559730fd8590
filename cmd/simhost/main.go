// Command simhost runs gateways on the bench's wire: batches of events on standard input, actions on standard output.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"sandyard/decision"
	"sandyard/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// reply is what an instance does in answer to one event; it is void if the instance stops in the same batch.
type reply struct {
	instance string
	actions  []decision.Action
}

func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	gateways := map[string]*decision.Gateway{}
	for {
		b, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var replies []reply
		for _, it := range b.Items {
			var actions []decision.Action
			switch it.Kind {
			case simwire.Start:
				g, first, err := decision.New(it.Settings, it.Seed, b.Now)
				if err != nil {
					return fmt.Errorf("init of %s: %w", it.Instance, err)
				}
				gateways[it.Instance], actions = g, first
			case simwire.Stop:
				delete(gateways, it.Instance)
				replies = slices.DeleteFunc(replies, func(r reply) bool { return r.instance == it.Instance })
			case simwire.Event:
				if g := gateways[it.Instance]; g != nil && it.Event != nil {
					actions = g.Handle(it.Event, b.Now)
				}
			}
			if len(actions) > 0 {
				replies = append(replies, reply{it.Instance, actions})
			}
		}
		for _, r := range replies {
			for _, a := range r.actions {
				w.Action(r.instance, a)
			}
		}
		if err := w.Done(); err != nil {
			return err
		}
	}
}
