// Command simhost runs gateways on the bench's wire: batches of events on standard input, actions on standard output.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"sandyard/choice"
	"sandyard/internal/wire"
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
	actions  []choice.Action
}

func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	gateways := map[string]*choice.Gateway{}
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
			var actions []choice.Action
			switch it.Kind {
			case wire.Start:
				g, first, err := choice.New(it.Settings, it.Seed, b.Now)
				if err != nil {
					return fmt.Errorf("init of %s: %w", it.Instance, err)
				}
				gateways[it.Instance], actions = g, first
			case wire.Stop:
				delete(gateways, it.Instance)
				replies = slices.DeleteFunc(replies, func(r reply) bool { return r.instance == it.Instance })
			case wire.Event:
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
