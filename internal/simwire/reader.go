package simwire

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"sandyard/decision"
)

const bufferBytes = 1 << 16 // size of the input and output buffers: most batches have a few KiB and fit, larger ones (several MiB) take several reads or writes

// Reader parses batches. It is not safe for concurrent use.
type Reader struct {
	in    *bufio.Reader
	line  int                         // number of the line that was read last, from 1
	lists map[int][]decision.Endpoint // endpoint lists by number; the simulator reuses numbers
}

// NewReader returns a Reader that reads batches from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferBytes), lists: map[int][]decision.Endpoint{}}
}

// Next returns the next batch. It blocks until the batch has been read completely. The error is io.EOF if the input
// ends between batches, and a *LineError if the input is malformed. Other errors are those of the input.
func (r *Reader) Next() (Batch, error) {
	var b Batch
	f, err := r.nextLine()
	if err != nil {
		return b, err
	}
	if f.name() != "clock" {
		return b, unexpected(r.line, f.name(), `"clock"`)
	}
	b.Now = f.millis("clock")
	if f.err != nil {
		return b, f.err
	}
	for {
		f, err := r.nextLine()
		if err == io.EOF {
			return b, endedInside(r.line, "batch", "end")
		}
		if err != nil {
			return b, err
		}
		if f.name() == "end" {
			return b, nil
		}
		if err := r.add(&b, f); err != nil {
			return b, err
		}
	}
}

// add parses one line of a batch and adds it to the batch.
func (r *Reader) add(b *Batch, f *fields) error {
	if f.name() == "census" {
		return r.endpointList(f)
	}
	m, err := r.message(f)
	if err == nil {
		b.Messages = append(b.Messages, m)
	}
	return err
}

func (r *Reader) nextLine() (*fields, error) {
	s, err := r.in.ReadString('\n')
	if err != nil && (err != io.EOF || s == "") {
		return nil, err
	}
	r.line++
	return &fields{line: r.line, parts: strings.Split(strings.TrimRight(s, "\r\n"), "\t")}, nil
}

// endpointList reads a numbered endpoint list. It replaces an earlier list with the same number; earlier events keep
// the earlier list.
func (r *Reader) endpointList(f *fields) error {
	number, rows := f.int("roster-id"), f.int("rows-in")
	if rows < 0 {
		f.fail("rows-in", strconv.Itoa(rows), "a number of rows")
	}
	if f.err != nil {
		return f.err
	}
	var list []decision.Endpoint
	for range rows {
		e, err := r.endpoint()
		if err != nil {
			return err
		}
		list = append(list, e)
	}
	r.lists[number] = list
	return nil
}

func (r *Reader) endpoint() (decision.Endpoint, error) {
	var e decision.Endpoint
	f, err := r.nextLine()
	if err == io.EOF {
		return e, endedInside(r.line, "census", "row")
	}
	if err != nil {
		return e, err
	}
	if f.name() != "row" {
		return e, unexpected(r.line, f.name(), `"row"`)
	}
	e.Started = f.millis("ready-at-ms")
	e.Cell = f.int("block")
	f.int("class-of-host") // not used, but must be an integer
	e.Backend = f.backend("backend")
	e.Zone = f.int("failure-domain")
	e.State = word(f, "health", endpointStates)
	e.Weight = f.float("nominal")
	return e, f.err
}

func (r *Reader) message(f *fields) (Message, error) {
	name := f.name()
	decode, isEvent := eventDecoders[name]
	if !isEvent && name != "init" && name != "stop" {
		return Message{}, unexpected(r.line, name, "an event of the wire")
	}
	m := Message{Instance: f.text("who")}
	switch name {
	case "init":
		m.Kind, m.Seed = Start, f.uint("seed", 10)
		m.Settings = f.settings()
	case "stop":
		m.Kind = Stop
	default:
		m.Event = decode(r, f)
	}
	return m, f.err
}
