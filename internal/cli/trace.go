package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"sandyard/decision"
	"sandyard/trace"
)

// Trace runs the sandyard-trace program.
func Trace(args []string, out, errs io.Writer) int {
	var g struct {
		Show    traceShow    `cmd:"" help:"List requests and what became of them."`
		Follow  traceFollow  `cmd:"" help:"Follow one request through its attempts and keeper calls."`
		Explain traceExplain `cmd:"" help:"Say in a paragraph why a request ended as it did."`
		Replay  traceReplay  `cmd:"" help:"Feed the recorded events to this program's core and compare what it does."`
		Info    traceInfo    `cmd:"" help:"Tell who recorded, what, and whether the files are whole."`
		Version version      `cmd:"" help:"Print the version."`
	}
	return program("sandyard-trace", "What a front door decided, from its trace files.", &g, args, out, errs, &Console{out, errs})
}

// traceFiles is what commands that read traces take.
type traceFiles struct {
	Files []string `arg:"" type:"existingfile" help:"Trace files of one front door, in the order of their parts."`
}

// eachRecord calls f with every item of the files; a file that was cut off by a kill is read to its last whole frame.
func (t traceFiles) eachRecord(c *Console, begin func(trace.Header) error, f func(trace.Header, trace.Record) error) error {
	for _, name := range t.Files {
		cut, err := eachRecordInFile(name, begin, f)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if cut > 0 {
			fmt.Fprintf(c.Errs, "%s: cut off; read up to byte %d\n", name, cut)
		}
	}
	return nil
}

// eachRecordInFile does so for one file and returns where it is cut off, or 0.
func eachRecordInFile(name string, begin func(trace.Header) error, f func(trace.Header, trace.Record) error) (cut int, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return 0, err
	}
	return trace.Each(text, begin, f)
}

func (t traceFiles) histories(c *Console) (trace.Header, *trace.Histories, error) {
	s := trace.NewHistories()
	var head trace.Header
	err := t.eachRecord(c, func(h trace.Header) error { head = h; return nil }, func(_ trace.Header, it trace.Record) error { s.Add(it); return nil })
	if s.Dropped > 0 {
		fmt.Fprintf(c.Errs, "%d steps were dropped while recording and are missing here\n", s.Dropped)
	}
	return head, s, err
}

// requestArgs is what commands about one request take.
type requestArgs struct {
	Request uint64 `arg:"" help:"The request's number, as show has it."`
	traceFiles
}

func (t requestArgs) find(c *Console) (trace.Header, *trace.Histories, *trace.RequestHistory, error) {
	head, s, err := t.histories(c)
	if err != nil {
		return head, nil, nil, err
	}
	st := s.Find(decision.RequestID(t.Request))
	if st == nil {
		return head, nil, nil, fmt.Errorf("the trace has no request %d", t.Request)
	}
	return head, s, st, nil
}

// traceFollow is "sandyard-trace follow".
type traceFollow struct {
	requestArgs
	output
}

func (t traceFollow) Run(c *Console) error {
	head, s, st, err := t.find(c)
	if err != nil {
		return err
	}
	if t.json() {
		return printJSON(c.Out, newRequestReport(head, s, st))
	}
	at := func(d time.Duration) string { return fmt.Sprintf("%+10.3f ms", float64((d-st.At).Microseconds())/1000) }
	fmt.Fprintf(c.Out, "%s  arrived: %q, plan %s, class %s, %g units, %v left\n", at(st.At), st.Customer, nameAt(head.Plans, int(st.Plan)),
		nameAt(head.Classes, int(st.Class)), st.Units, st.TimeLeft)
	if k := st.CounterCall; k != nil {
		fmt.Fprintf(c.Out, "%s  keeper asked: %q + %g\n", at(k.SentAt), k.Name, k.Amount)
		if k.RepliedAt > 0 {
			fmt.Fprintf(c.Out, "%s  keeper: %s, total %g\n", at(k.RepliedAt), trace.OutcomeText(k.Outcome), k.Total)
		}
	}
	for i, a := range st.Attempts {
		fmt.Fprintf(c.Out, "%s  attempt %d sent to %s\n", at(a.SentAt), i+1, s.BackendNames[a.Backend])
		if a.EndedAt > 0 {
			fmt.Fprintf(c.Out, "%s  attempt %d: %s\n", at(a.EndedAt), i+1, trace.OutcomeText(a.Outcome))
		}
	}
	if st.Ended > 0 {
		fmt.Fprintf(c.Out, "%s  %s\n", at(st.Ended), st.Outcome)
	}
	return nil
}

// traceExplain is "sandyard-trace explain".
type traceExplain struct {
	requestArgs
	output
}

func (t traceExplain) Run(c *Console) error {
	head, s, st, err := t.find(c)
	if err != nil {
		return err
	}
	if t.json() {
		return printJSON(c.Out, struct {
			Request     uint64        `json:"request"`
			Outcome     trace.Outcome `json:"outcome"`
			Explanation string        `json:"explanation"`
		}{t.Request, st.Outcome, s.Explain(head, st)})
	}
	_, err = fmt.Fprintln(c.Out, s.Explain(head, st))
	return err
}
