package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"sandyard/coreid"
	"sandyard/trace"
)

// traceInfo is the command "sandyard-trace info".
type traceInfo struct {
	traceFiles
	output
}

// fileInfo is the output of traceInfo for a file.
type fileInfo struct {
	File        string    `json:"file"`
	Instance    int       `json:"door"`
	Part        int       `json:"part"`
	Core        string    `json:"core"`
	SameCore    bool      `json:"same_core"` // Core is this program's core identity
	Config      string    `json:"config"`    // digest
	Share       float64   `json:"share"`
	Plans       []string  `json:"plans"`
	Operations  []string  `json:"operations"`
	From        time.Time `json:"from"`
	Seconds     float64   `json:"seconds"` // time from the first step to the last (s)
	Steps       uint64    `json:"steps"`
	Arrivals    uint64    `json:"arrivals"`
	Dropped     uint64    `json:"dropped"`
	States      uint64    `json:"states"`
	Bytes       int64     `json:"bytes"`
	TruncatedAt int       `json:"cut_at"` // byte up to which the file could be read; 0: the file is complete
}

func (t traceInfo) Run(c *Console) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	enc := json.NewEncoder(c.Out)
	if !t.json() {
		fmt.Fprintln(w, "file\tdoor\tpart\tcore\tconfiguration\tshare\tfrom\tseconds\tsteps\tarrivals\tdropped\tstates\tbytes\twhole")
	}
	for _, name := range t.Files {
		v, err := readFileInfo(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if !t.json() {
			v.print(w)
		} else if err := enc.Encode(v); err != nil {
			return err
		}
	}
	return w.Flush()
}

// readFileInfo reads a trace file, up to where it is truncated.
func readFileInfo(name string) (fileInfo, error) {
	v := fileInfo{File: name}
	var first, last time.Duration
	truncatedAt, err := eachRecordInFile(name, func(h trace.Header) error {
		v.Instance, v.Part, v.Core, v.SameCore, v.Config, v.Share = h.Instance, h.Part, h.Core, h.Core == coreid.Core(), h.Config, h.Share
		v.Plans, v.Operations, v.From = h.Plans, h.Operations, time.Unix(0, h.Origin).Add(h.StartedAt).UTC()
		return nil
	}, func(_ trace.Header, r trace.Record) error {
		switch {
		case r.Snapshot != nil:
			v.States++
		case r.Dropped > 0:
			v.Dropped += r.Dropped
		case r.Backend == nil:
			if v.Steps++; v.Steps == 1 {
				first = r.At
			}
			last = max(last, r.At)
			if r.Event.Arrived != nil {
				v.Arrivals++
			}
		}
		return nil
	})
	if err != nil {
		return v, err
	}
	v.TruncatedAt, v.Seconds = truncatedAt, (last - first).Seconds()
	if st, err := os.Stat(name); err == nil {
		v.Bytes = st.Size()
	}
	return v, nil
}

func (v fileInfo) print(w io.Writer) {
	core, complete := v.Core, "yes"
	if !v.SameCore {
		core += " (this program's is " + coreid.Core() + ")"
	}
	if v.TruncatedAt > 0 {
		complete = fmt.Sprintf("cut at %d", v.TruncatedAt)
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%g\t%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%s\n", v.File, v.Instance, v.Part, core, v.Config, v.Share, v.From.Format(time.RFC3339),
		v.Seconds, v.Steps, v.Arrivals, v.Dropped, v.States, v.Bytes, complete)
}
