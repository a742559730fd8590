package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"sandyard/coreid"
	"sandyard/decision"
	"sandyard/trace"
)

// OtherCore is the exit status of a tool whose core is not that of what it was given.
const OtherCore = 3

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

type traceFiles struct {
	Files []string `arg:"" type:"existingfile" help:"Trace files of one front door, in the order of their parts."`
}

// eachRecord calls f with every item of the files; a file that was cut off by a kill is read to its last whole frame.
func (t traceFiles) eachRecord(c *Console, begin func(trace.Header) error, f func(trace.Header, trace.Record) error) error {
	for _, name := range t.Files {
		cut, err := eachRecordOf(name, begin, f)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if cut > 0 {
			fmt.Fprintf(c.Errs, "%s: cut off; read up to byte %d\n", name, cut)
		}
	}
	return nil
}

// eachRecordOf does so for one file and returns where it is cut off, or 0.
func eachRecordOf(name string, begin func(trace.Header) error, f func(trace.Header, trace.Record) error) (cut int, err error) {
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

type traceShow struct {
	traceFiles
	Customer string        `name:"studio" help:"Only this studio's."`
	Class    string        `help:"Only this class's."`
	Backend  string        `name:"box" help:"Only those with an attempt at this box."`
	Outcome  string        `help:"Only those that ended so: served, refused, failed, left, open."`
	From     time.Duration `help:"Only from this time after the first."`
	To       time.Duration `help:"Only up to this time after the first; 0 for all."`
	Limit    int           `default:"1000" help:"At most so many."`
	output
}

func nameAt(list []string, i int) string {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return fmt.Sprint(i)
}

func (t traceShow) Run(c *Console) error {
	head, s, err := t.histories(c)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	if !t.json() {
		fmt.Fprintln(w, "request\tat\tstudio\tplan\tclass\toperation\tunits\tattempts\toutcome\tms")
	}
	enc := json.NewEncoder(c.Out)
	shown, matched := 0, 0
	var first time.Duration
	for i, st := range s.All {
		if i == 0 {
			first = st.At
		}
		at := st.At - first
		class := nameAt(head.Classes, int(st.Class))
		if t.Customer != "" && st.Customer != t.Customer || t.Class != "" && class != t.Class || t.Outcome != "" && string(st.Outcome) != t.Outcome ||
			at < t.From || t.To > 0 && at > t.To || t.Backend != "" && !hasAttemptAt(s, st, t.Backend) {
			continue
		}
		if matched++; shown >= t.Limit {
			continue
		}
		shown++
		if t.json() {
			if err := enc.Encode(newRequestReport(head, s, st)); err != nil {
				return err
			}
			continue
		}
		outcome := string(st.Outcome)
		if st.Outcome == trace.Rejected && len(st.Attempts) == 0 {
			outcome += map[decision.RejectReason]string{decision.OverQuota: " (quota)", decision.NoCapacity: " (no room)"}[st.Reason]
		}
		fmt.Fprintf(w, "%d\t%.3fs\t%q\t%s\t%s\t%s\t%g\t%d\t%s\t%.1f\n", st.Request, at.Seconds(), st.Customer, nameAt(head.Plans, int(st.Plan)), class,
			nameAt(head.Operations, st.Operation-1), st.Units, len(st.Attempts), outcome, float64((st.Ended-st.At).Microseconds())/1000)
	}
	w.Flush()
	if !t.json() {
		fmt.Fprintf(c.Out, "%d of %d requests", shown, len(s.All))
		if matched > shown {
			fmt.Fprintf(c.Out, "; %d more match (--limit)", matched-shown)
		}
		fmt.Fprintln(c.Out)
	}
	return nil
}

func hasAttemptAt(s *trace.Histories, st *trace.RequestHistory, box string) bool {
	for _, a := range st.Attempts {
		if s.BackendNames[a.Backend] == box {
			return true
		}
	}
	return false
}

// requestReport is a request with the names that its story has as numbers.
type requestReport struct {
	*trace.RequestHistory
	ClassName string   `json:"class_name"`
	PlanName  string   `json:"plan_name"`
	Operation string   `json:"operation"`
	Backends  []string `json:"boxes"` // of its attempts
}

func newRequestReport(head trace.Header, s *trace.Histories, st *trace.RequestHistory) requestReport {
	v := requestReport{RequestHistory: st, ClassName: nameAt(head.Classes, int(st.Class)), PlanName: nameAt(head.Plans, int(st.Plan)), Operation: nameAt(head.Operations, st.Operation-1), Backends: []string{}}
	for _, a := range st.Attempts {
		v.Backends = append(v.Backends, s.BackendNames[a.Backend])
	}
	return v
}

type traceOne struct {
	Request uint64 `arg:"" help:"The request's number, as show has it."`
	traceFiles
}

func (t traceOne) find(c *Console) (trace.Header, *trace.Histories, *trace.RequestHistory, error) {
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

type traceFollow struct {
	traceOne
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

type traceExplain struct {
	traceOne
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

type traceReplay struct {
	traceFiles
	output
}

func (t traceReplay) Run(c *Console) error {
	var r *trace.Replay
	next := 0
	begun := time.Now()
	err := t.eachRecord(c, func(h trace.Header) error {
		if err := coreid.Check(h.Core, "the trace"); err != nil {
			return err
		}
		if r == nil {
			var err error
			if r, err = trace.NewReplay(h); err != nil {
				return err
			}
		} else if h.Part != next {
			return fmt.Errorf("part %d follows part %d", h.Part, next-1)
		}
		next = h.Part + 1
		return nil
	}, func(h trace.Header, it trace.Record) error { return r.Step(h, it) })
	if err != nil {
		return err
	}
	took := time.Since(begun).Seconds()
	if t.json() {
		if err := printJSON(c.Out, r); err != nil {
			return err
		}
		if r.Differences > r.Uncertain {
			return errReplayDiffers
		}
		return nil
	}
	fmt.Fprintf(c.Out, "%d steps replayed and %d states compared, %d differ, %d missing; %.0f steps a second\n", r.Steps, r.States, r.Differences, r.Dropped, float64(r.Steps)/took)
	if r.Skipped > 0 {
		fmt.Fprintf(c.Out, "%d steps before the first recorded state could not be replayed\n", r.Skipped)
	}
	if r.Differences > 0 {
		fmt.Fprintf(c.Out, "first at %v: %s\n", r.FirstDifferenceAt, r.FirstDifference)
		if r.Uncertain == r.Differences {
			fmt.Fprintln(c.Out, "all of them stand behind steps that the trace lacks, which may be why; what followed can't be told")
			return nil
		}
		return errReplayDiffers
	}
	return nil
}

var errReplayDiffers = errors.New("the core decides otherwise than the trace says")

type traceInfo struct {
	traceFiles
	output
}

// fileInfo is what info tells of a file.
type fileInfo struct {
	File        string    `json:"file"`
	Instance    int       `json:"door"`
	Part        int       `json:"part"`
	Core        string    `json:"core"`
	SameCore    bool      `json:"same_core"` // as this program's
	Config      string    `json:"config"`    // digest
	Share       float64   `json:"share"`
	Plans       []string  `json:"plans"`
	Operations  []string  `json:"operations"`
	From        time.Time `json:"from"`
	Seconds     float64   `json:"seconds"` // from the first step to the last
	Steps       uint64    `json:"steps"`
	Arrivals    uint64    `json:"arrivals"`
	Dropped     uint64    `json:"dropped"`
	States      uint64    `json:"states"`
	Bytes       int64     `json:"bytes"`
	TruncatedAt int       `json:"cut_at"` // byte up to which the file could be read; 0: it is whole
}

func (t traceInfo) Run(c *Console) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	enc := json.NewEncoder(c.Out)
	if !t.json() {
		fmt.Fprintln(w, "file\tdoor\tpart\tcore\tconfiguration\tshare\tfrom\tseconds\tsteps\tarrivals\tdropped\tstates\tbytes\twhole")
	}
	for _, name := range t.Files {
		v := fileInfo{File: name}
		var first, last time.Duration
		cut, err := eachRecordOf(name, func(h trace.Header) error {
			v.Instance, v.Part, v.Core, v.SameCore, v.Config, v.Share = h.Instance, h.Part, h.Core, h.Core == coreid.Core(), h.Config, h.Share
			v.Plans, v.Operations, v.From = h.Plans, h.Operations, time.Unix(0, h.Origin).Add(h.StartedAt).UTC()
			return nil
		}, func(_ trace.Header, it trace.Record) error {
			if it.Snapshot != nil {
				v.States++
				return nil
			}
			if it.Dropped > 0 {
				v.Dropped += it.Dropped
				return nil
			}
			if it.Backend != nil {
				return nil
			}
			if v.Steps++; v.Steps == 1 {
				first = it.At
			}
			last = max(last, it.At)
			if it.Event.Arrived != nil {
				v.Arrivals++
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		v.TruncatedAt, v.Seconds = cut, (last - first).Seconds()
		if st, err := os.Stat(name); err == nil {
			v.Bytes = st.Size()
		}
		if t.json() {
			if err := enc.Encode(v); err != nil {
				return err
			}
			continue
		}
		core, whole := v.Core, "yes"
		if !v.SameCore {
			core += " (this program's is " + coreid.Core() + ")"
		}
		if cut > 0 {
			whole = fmt.Sprintf("cut at %d", cut)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%g\t%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%s\n", name, v.Instance, v.Part, core, v.Config, v.Share, v.From.Format(time.RFC3339),
			v.Seconds, v.Steps, v.Arrivals, v.Dropped, v.States, v.Bytes, whole)
	}
	return w.Flush()
}
