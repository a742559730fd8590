package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"sandyard/decision"
)

// Writer prints replies, one line per action. It is not safe for concurrent use.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer that writes replies to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, bufferBytes)} }

// Action prints one action of an instance. The output is buffered until Done, unless the buffer becomes full.
func (w *Writer) Action(instance string, a decision.Action) {
	switch a := a.(type) {
	case decision.SendAttempt:
		w.line("deliver", instance, hex(a.Request), backend(a.Backend), ms(a.Timeout))
	case decision.CancelAttempt:
		w.line("undo_send", instance, hex(a.Request), strconv.Itoa(a.Attempt))
	case decision.Reject:
		w.line("decline", instance, hex(a.Request), ms(a.RetryAfter))
	case decision.Fail:
		w.line("surrender", instance, hex(a.Request))
	case decision.Probe:
		w.line("ask_load", instance, backend(a.Backend))
	case decision.AddToCounter:
		w.line("charge_counter", instance, a.Name, strconv.FormatFloat(a.Amount, 'f', -1, 64), ms(a.TTL))
	case decision.SetTimer:
		w.line("remind", instance, ms(a.At), fmt.Sprintf("%d.%x", int(a.Timer.Kind), uint64(a.Timer.Request)))
	case decision.WatchEndpoints:
		w.line("stream_changes", instance, "1")
	}
}

// Done ends a reply and flushes the buffer. It may block. It returns the first write error.
func (w *Writer) Done() error {
	w.line("done")
	return w.out.Flush()
}

func (w *Writer) line(parts ...string) {
	for i, p := range parts {
		if i > 0 {
			w.out.WriteByte('\t')
		}
		w.out.WriteString(p)
	}
	w.out.WriteByte('\n')
}

func hex(id decision.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

func backend(id decision.BackendID) string { return strconv.FormatUint(uint64(id), 10) }

func ms(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}
