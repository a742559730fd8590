// Command simhost runs the decisions of many instances on the simulator's wire: batches of messages on standard input,
// actions on standard output. It ends with 0 when the input ends between batches, else with 1.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"sandyard/decision"
	"sandyard/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	h := host{gateways: map[string]*decision.Gateway{}}
	for {
		batch, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		replies, err := h.handleBatch(batch)
		if err != nil {
			return err
		}
		if err := write(w, replies); err != nil {
			return err
		}
	}
}

func write(w *simwire.Writer, replies []reply) error {
	for _, r := range replies {
		for _, a := range r.actions {
			w.Action(r.instance, a)
		}
	}
	return w.Done()
}

// reply holds the actions that an instance takes on one message.
type reply struct {
	instance string
	actions  []decision.Action
}

// host holds the instances that run, by name.
type host struct{ gateways map[string]*decision.Gateway }

// handleBatch hands each message to its instance. Actions of an instance that stops in the same batch are void.
func (h *host) handleBatch(b simwire.Batch) ([]reply, error) {
	var replies []reply
	for _, m := range b.Messages {
		if m.Kind == simwire.Stop {
			delete(h.gateways, m.Instance)
			replies = slices.DeleteFunc(replies, func(r reply) bool { return r.instance == m.Instance })
			continue
		}
		actions, err := h.handle(m, b.Now)
		if err != nil {
			return nil, err
		}
		if len(actions) > 0 {
			replies = append(replies, reply{m.Instance, actions})
		}
	}
	return replies, nil
}

// handle starts an instance or hands it an event. An event of an instance that does not run has no effect.
func (h *host) handle(m simwire.Message, now time.Duration) ([]decision.Action, error) {
	if m.Kind == simwire.Start {
		g, first, err := decision.New(m.Settings, m.Seed, now)
		if err != nil {
			return nil, fmt.Errorf("init of %s: %w", m.Instance, err)
		}
		h.gateways[m.Instance] = g
		return first, nil
	}
	g := h.gateways[m.Instance]
	if g == nil || m.Event == nil {
		return nil, nil
	}
	return g.Handle(m.Event, now), nil
}
