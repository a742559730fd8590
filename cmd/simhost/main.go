// Command simhost runs the decision logic of many instances for a simulator. It reads batches of messages from standard
// input and writes the actions to standard output, in the simulator's wire format. Its exit status is 0 if the input ends
// between batches, else 1.
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

// run reads batches and writes the replies to them until the input ends.
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

// write writes the replies and the end of the batch.
func write(w *simwire.Writer, replies []reply) error {
	for _, r := range replies {
		for _, a := range r.actions {
			w.Action(r.instance, a)
		}
	}
	return w.Done()
}

// reply holds the actions of an instance in response to one message.
type reply struct {
	instance string
	actions  []decision.Action
}

// host holds the running instances by name.
type host struct{ gateways map[string]*decision.Gateway }

// handleBatch passes each message to its instance and returns the replies. When an instance stops, its earlier replies in the batch
// are discarded.
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

// handle starts an instance or passes it an event. It ignores an event for an instance that is not running.
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
