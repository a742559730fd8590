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

// traceFiles holds the arguments of commands that read traces.
type traceFiles struct {
	Files []string `arg:"" type:"existingfile" help:"Trace files of one front door, in the order of their parts."`
}

// eachRecord calls begin with the header and f with every record of each file. A file that was truncated because its process was
// killed is read up to its last complete frame.
func (t traceFiles) eachRecord(c *Console, begin func(trace.Header) error, f func(trace.Header, trace.Record) error) error {
	for _, name := range t.Files {
		truncatedAt, err := eachRecordInFile(name, begin, f)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if truncatedAt > 0 {
			fmt.Fprintf(c.Errs, "%s: truncated; read up to byte %d\n", name, truncatedAt)
		}
	}
	return nil
}

// eachRecordInFile calls begin with the header and f with every record of one file. It returns the byte at which the file is truncated, or 0 if it is complete.
func eachRecordInFile(name string, begin func(trace.Header) error, f func(trace.Header, trace.Record) error) (truncatedAt int, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return 0, err
	}
	return trace.Each(text, begin, f)
}

// histories reads the files and returns the last file's header and the histories of all requests.
func (t traceFiles) histories(c *Console) (trace.Header, *trace.Histories, error) {
	histories := trace.NewHistories()
	var head trace.Header
	err := t.eachRecord(c, func(h trace.Header) error { head = h; return nil }, func(_ trace.Header, record trace.Record) error { histories.Add(record); return nil })
	if histories.Dropped > 0 {
		fmt.Fprintf(c.Errs, "%d steps were dropped while recording and are missing here\n", histories.Dropped)
	}
	return head, histories, err
}

// requestArgs holds the arguments of commands about one request.
type requestArgs struct {
	Request uint64 `arg:"" help:"The request's number, as show has it."`
	traceFiles
}

func (t requestArgs) find(c *Console) (trace.Header, *trace.Histories, *trace.RequestHistory, error) {
	head, histories, err := t.histories(c)
	if err != nil {
		return head, nil, nil, err
	}
	req := histories.Find(decision.RequestID(t.Request))
	if req == nil {
		return head, nil, nil, fmt.Errorf("the trace has no request %d", t.Request)
	}
	return head, histories, req, nil
}

// traceFollow is the command "sandyard-trace follow".
type traceFollow struct {
	requestArgs
	output
}

func (t traceFollow) Run(c *Console) error {
	head, histories, req, err := t.find(c)
	if err != nil {
		return err
	}
	if t.json() {
		return printJSON(c.Out, newRequestReport(head, histories, req))
	}
	at := func(d time.Duration) string {
		return fmt.Sprintf("%+10.3f ms", float64((d-req.At).Microseconds())/1000)
	}
	fmt.Fprintf(c.Out, "%s  arrived: %q, plan %s, class %s, %g units, %v left\n", at(req.At), req.Customer, nameAt(head.Plans, int(req.Plan)),
		nameAt(head.Classes, int(req.Class)), req.Units, req.TimeLeft)
	if k := req.CounterCall; k != nil {
		fmt.Fprintf(c.Out, "%s  keeper asked: %q + %g\n", at(k.SentAt), k.Name, k.Amount)
		if k.RepliedAt > 0 {
			fmt.Fprintf(c.Out, "%s  keeper: %s, total %g\n", at(k.RepliedAt), trace.OutcomeText(k.Outcome), k.Total)
		}
	}
	for i, a := range req.Attempts {
		fmt.Fprintf(c.Out, "%s  attempt %d sent to %s\n", at(a.SentAt), i+1, histories.BackendNames[a.Backend])
		if a.EndedAt > 0 {
			fmt.Fprintf(c.Out, "%s  attempt %d: %s\n", at(a.EndedAt), i+1, trace.OutcomeText(a.Outcome))
		}
	}
	if req.Ended > 0 {
		fmt.Fprintf(c.Out, "%s  %s\n", at(req.Ended), req.Outcome)
	}
	return nil
}

// traceExplain is the command "sandyard-trace explain".
type traceExplain struct {
	requestArgs
	output
}

func (t traceExplain) Run(c *Console) error {
	head, histories, req, err := t.find(c)
	if err != nil {
		return err
	}
	if t.json() {
		return printJSON(c.Out, struct {
			Request     uint64        `json:"request"`
			Outcome     trace.Outcome `json:"outcome"`
			Explanation string        `json:"explanation"`
		}{t.Request, req.Outcome, histories.Explain(head, req)})
	}
	_, err = fmt.Fprintln(c.Out, histories.Explain(head, req))
	return err
}
