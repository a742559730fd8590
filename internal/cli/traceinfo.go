package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"sandyard/coreid"
	"sandyard/trace"
)

// traceInfo is "sandyard-trace info".
type traceInfo struct {
	traceFiles
	output
}

// fileInfo is what info prints of a file.
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
	TruncatedAt int       `json:"cut_at"` // byte up to which the file could be read; 0: it is complete
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
