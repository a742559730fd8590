// Package trace is the record of a front door's decisions: each event that was handed to the decision module with the
// actions it took, in files that can be read up to their last whole frame after a kill. It takes and gives bytes;
// package sockets writes them to disk. Keys and tokens are never part of it: a studio is named, not its key.
//
// A file is a magic line and frames. A frame is the length of its payload (4 bytes, big-endian), a CRC-32C of it (4
// bytes) and the payload: CBOR, compressed by zstd. The first frame is a Head. A frame holds items in the order in which they happened.
package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"sandyard/decision"
)

// Format is the version of files; readers refuse others.
const Format = "sandyard-trace 1\n"

const maxFrameBytes = 16 << 20 // bytes of a payload, compressed or not

// Header says who decided, and with what.
type Header struct {
	Core       string            `cbor:"1,keyasint"`
	Config     string            `cbor:"2,keyasint"` // digest of the configuration's files
	Instance   int               `cbor:"3,keyasint"`
	Seed       uint64            `cbor:"4,keyasint"`
	StartedAt  time.Duration     `cbor:"5,keyasint"` // the door's time when its module was made
	Origin     int64             `cbor:"6,keyasint"` // Unix time in nanoseconds at which the door's time was zero
	Settings   decision.Settings `cbor:"7,keyasint"`
	Classes    []string          `cbor:"8,keyasint"`
	Plans      []string          `cbor:"9,keyasint"`
	Operations []string          `cbor:"10,keyasint"` // operation ids
	Part       int               `cbor:"11,keyasint"` // number of the file in its series; only part 0 begins at Began
	Share      float64           `cbor:"12,keyasint"` // of the requests that are recorded; 1: everything
}

// Record is one step of the module, or a note about it.
type Record struct {
	At        time.Duration   `cbor:"1,keyasint"`
	Event     Event           `cbor:"2,keyasint,omitempty"`
	Actions   []Action        `cbor:"3,keyasint,omitempty"`
	Dropped   uint64          `cbor:"4,keyasint,omitempty"` // items that were dropped here, for want of room
	Backend   *BackendName    `cbor:"5,keyasint,omitempty"` // a box's name
	Operation int             `cbor:"6,keyasint,omitempty"` // of an arrival: its operation, from 1
	Initial   bool            `cbor:"7,keyasint,omitempty"` // the actions are those of New
	Snapshot  *decision.State `cbor:"8,keyasint,omitempty"` // the module's state before the next step; nothing else is set
}

// BackendName names a server.
type BackendName struct {
	Backend decision.BackendID `cbor:"1,keyasint"`
	Name    string             `cbor:"2,keyasint"`
}

// Event is a choice.Event as data: one of the fields is set.
type Event struct {
	Arrived          *decision.RequestArrived     `cbor:"1,keyasint,omitempty"`
	Disconnected     *decision.ClientDisconnected `cbor:"2,keyasint,omitempty"`
	AttemptEnded     *decision.AttemptEnded       `cbor:"3,keyasint,omitempty"`
	StreamStarted    *decision.StreamStarted      `cbor:"4,keyasint,omitempty"`
	ProbeEnded       *decision.ProbeEnded         `cbor:"5,keyasint,omitempty"`
	CounterReplied   *decision.CounterReplied     `cbor:"6,keyasint,omitempty"`
	EndpointsChanged *decision.EndpointsChanged   `cbor:"7,keyasint,omitempty"`
	Timer            *decision.TimerFired         `cbor:"8,keyasint,omitempty"`
}

// Action is a choice.Action as data: one of the fields is set.
type Action struct {
	Send           *decision.SendAttempt    `cbor:"1,keyasint,omitempty"`
	Cancel         *decision.CancelAttempt  `cbor:"2,keyasint,omitempty"`
	Reject         *decision.Reject         `cbor:"3,keyasint,omitempty"`
	Fail           *decision.Fail           `cbor:"4,keyasint,omitempty"`
	Probe          *decision.Probe          `cbor:"5,keyasint,omitempty"`
	AddToCounter   *decision.AddToCounter   `cbor:"6,keyasint,omitempty"`
	SetTimer       *decision.SetTimer       `cbor:"7,keyasint,omitempty"`
	WatchEndpoints *decision.WatchEndpoints `cbor:"8,keyasint,omitempty"`
}

// NewEvent makes data of an event.
func NewEvent(e decision.Event) (d Event) {
	switch e := e.(type) {
	case decision.RequestArrived:
		d.Arrived = &e
	case decision.ClientDisconnected:
		d.Disconnected = &e
	case decision.AttemptEnded:
		d.AttemptEnded = &e
	case decision.StreamStarted:
		d.StreamStarted = &e
	case decision.ProbeEnded:
		d.ProbeEnded = &e
	case decision.CounterReplied:
		d.CounterReplied = &e
	case decision.EndpointsChanged:
		d.EndpointsChanged = &e
	case decision.TimerFired:
		d.Timer = &e
	}
	return d
}

// Decision is the event itself; nil if there is none.
func (d Event) Decision() decision.Event {
	switch {
	case d.Arrived != nil:
		return *d.Arrived
	case d.Disconnected != nil:
		return *d.Disconnected
	case d.AttemptEnded != nil:
		return *d.AttemptEnded
	case d.StreamStarted != nil:
		return *d.StreamStarted
	case d.ProbeEnded != nil:
		return *d.ProbeEnded
	case d.CounterReplied != nil:
		return *d.CounterReplied
	case d.EndpointsChanged != nil:
		return *d.EndpointsChanged
	case d.Timer != nil:
		return *d.Timer
	}
	return nil
}

// NewActions makes data of actions.
func NewActions(as []decision.Action) []Action {
	out := make([]Action, len(as))
	for i, a := range as {
		switch a := a.(type) {
		case decision.SendAttempt:
			out[i].Send = &a
		case decision.CancelAttempt:
			out[i].Cancel = &a
		case decision.Reject:
			out[i].Reject = &a
		case decision.Fail:
			out[i].Fail = &a
		case decision.Probe:
			out[i].Probe = &a
		case decision.AddToCounter:
			out[i].AddToCounter = &a
		case decision.SetTimer:
			out[i].SetTimer = &a
		case decision.WatchEndpoints:
			out[i].WatchEndpoints = &a
		}
	}
	return out
}

// Decision is the action itself.
func (d Action) Decision() decision.Action {
	switch {
	case d.Send != nil:
		return *d.Send
	case d.Cancel != nil:
		return *d.Cancel
	case d.Reject != nil:
		return *d.Reject
	case d.Fail != nil:
		return *d.Fail
	case d.Probe != nil:
		return *d.Probe
	case d.AddToCounter != nil:
		return *d.AddToCounter
	case d.SetTimer != nil:
		return *d.SetTimer
	case d.WatchEndpoints != nil:
		return *d.WatchEndpoints
	}
	return nil
}

var codec = func() (m struct {
	enc cbor.EncMode
	dec cbor.DecMode
}) {
	var err error
	if m.enc, err = (cbor.EncOptions{Sort: cbor.SortNone}).EncMode(); err != nil {
		panic(err)
	}
	opt := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8: cbor.UTF8DecodeInvalid} // names of studios are whatever the configuration has
	if m.dec, err = opt.DecMode(); err != nil {
		panic(err)
	}
	return m
}()

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Writer makes frames. It has one owner.
type Writer struct{ zip *zstd.Encoder }

// NewWriter makes a Writer.
func NewWriter() (*Writer, error) {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	return &Writer{zip: z}, err
}

// Begin is the start of a file.
func (w *Writer) Begin(h Header) ([]byte, error) {
	b, err := codec.enc.Marshal(h)
	if err != nil {
		return nil, err
	}
	return w.frame([]byte(Format), b), nil
}

// Frame is a frame of items.
func (w *Writer) Frame(items []Record) ([]byte, error) {
	b, err := codec.enc.Marshal(items)
	if err != nil {
		return nil, err
	}
	return w.frame(nil, b), nil
}

func (w *Writer) frame(to, b []byte) []byte {
	p := w.zip.EncodeAll(b, nil)
	to = binary.BigEndian.AppendUint32(to, uint32(len(p)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(p, castagnoli))
	return append(to, p...)
}

// Errors of reading. Cut is no more than the end of what a killed process has written.
var (
	ErrFormat    = errors.New("trace: not a trace of this version")
	ErrTruncated = errors.New("trace: the file ends within a frame")
	ErrCorrupt   = errors.New("trace: a frame is broken")
)

// Reader takes a file apart. It has one owner.
type Reader struct {
	Head Header
	text []byte
	at   int
	zip  *zstd.Decoder
}

// NewReader reads the start of a file.
func NewReader(file []byte) (*Reader, error) {
	if len(file) < len(Format) || string(file[:len(Format)]) != Format {
		first := file[:min(len(file), 24)]
		return nil, fmt.Errorf("%w: it begins %q, expected %q", ErrFormat, first, Format)
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(4*maxFrameBytes))
	if err != nil {
		return nil, err
	}
	r := &Reader{text: file, at: len(Format), zip: z}
	b, err := r.frame()
	if err == nil {
		err = codec.dec.Unmarshal(b, &r.Head)
	}
	if err != nil {
		z.Close()
		return nil, fmt.Errorf("its head: %w", err)
	}
	return r, nil
}

// Close frees what a Reader holds.
func (r *Reader) Close() { r.zip.Close() }

// Next is the next frame's items; nil at the end. After ErrTruncated or ErrCorrupt there is no more.
func (r *Reader) Next() ([]Record, error) {
	if r.at == len(r.text) {
		return nil, nil
	}
	b, err := r.frame()
	if err != nil {
		return nil, err
	}
	var items []Record
	if err := codec.dec.Unmarshal(b, &items); err != nil {
		return nil, fmt.Errorf("%w: at byte %d: %v", ErrCorrupt, r.at, err)
	}
	return items, nil
}

func (r *Reader) frame() ([]byte, error) {
	rest := r.text[r.at:]
	if len(rest) < 8 {
		return nil, fmt.Errorf("%w: at byte %d", ErrTruncated, r.at)
	}
	n, sum := int(binary.BigEndian.Uint32(rest)), binary.BigEndian.Uint32(rest[4:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("%w: at byte %d: %d bytes", ErrCorrupt, r.at, n)
	}
	if len(rest) < 8+n {
		return nil, fmt.Errorf("%w: at byte %d", ErrTruncated, r.at)
	}
	p := rest[8 : 8+n]
	if crc32.Checksum(p, castagnoli) != sum {
		return nil, fmt.Errorf("%w: at byte %d: its checksum differs", ErrCorrupt, r.at)
	}
	b, err := r.zip.DecodeAll(p, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: at byte %d: %v", ErrCorrupt, r.at, err)
	}
	r.at += 8 + n
	return b, nil
}

// Each calls begin, if there is one, with a file's head, and f with every item. A file that a kill cut off is read up to its
// last whole frame, whose end is then returned as cut; 0 says that it is whole. Errors of begin and f are returned as they are.
func Each(file []byte, begin func(Header) error, f func(Header, Record) error) (cut int, err error) {
	r, err := NewReader(file)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	if begin != nil {
		if err := begin(r.Head); err != nil {
			return 0, err
		}
	}
	for {
		items, err := r.Next()
		if errors.Is(err, ErrTruncated) {
			return r.at, nil
		}
		if err != nil || items == nil {
			return 0, err
		}
		for _, it := range items {
			if err := f(r.Head, it); err != nil {
				return 0, err
			}
		}
	}
}
