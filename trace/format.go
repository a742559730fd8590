// Package trace encodes, decodes and replays records of an instance's decisions: each event that was passed to package
// decision, with the resulting actions. If the process is killed, its file can be read up to the last complete frame. The
// package processes bytes only; internal/server writes them to disk. A trace contains no keys or tokens: it has the name of a
// customer, not its key.
//
// A file consists of the line Format and frames. A frame is the length of its payload (4 bytes, big-endian), a CRC-32C of
// the payload (4 bytes), and the payload: CBOR, compressed with zstd. The payload of the first frame is a Header. The others
// contain records in the order of the decisions.
package trace

import (
	"time"

	"sandyard/decision"
)

// Format is the first line of a file, with the version of the format. Readers reject other versions.
const Format = "sandyard-trace 1\n"

const (
	maxFrameBytes    = 16 << 20 // maximum length of a compressed payload; a greater length means that the frame is corrupt
	frameHeaderBytes = 8        // bytes of length and checksum
)

// Header describes the instance that made the decisions, and its settings.
type Header struct {
	Core       string            `cbor:"1,keyasint"`
	Config     string            `cbor:"2,keyasint"` // digest of the configuration files
	Instance   int               `cbor:"3,keyasint"`
	Seed       uint64            `cbor:"4,keyasint"`
	StartedAt  time.Duration     `cbor:"5,keyasint"` // time on the instance's clock at which its gateway was created
	Origin     int64             `cbor:"6,keyasint"` // Unix time (ns) at which the instance's clock was zero
	Settings   decision.Settings `cbor:"7,keyasint"`
	Classes    []string          `cbor:"8,keyasint"`
	Plans      []string          `cbor:"9,keyasint"`
	Operations []string          `cbor:"10,keyasint"` // operation IDs
	Part       int               `cbor:"11,keyasint"` // number of the file in its series, from 0; only part 0 begins at StartedAt
	Share      float64           `cbor:"12,keyasint"` // share of the requests that is recorded; 1: all requests, and all steps without a request
}

// Record is one step of package decision: an event and its actions. It can instead be a state, the name of a backend or a
// number of dropped records.
type Record struct {
	At        time.Duration   `cbor:"1,keyasint"`
	Event     Event           `cbor:"2,keyasint,omitempty"`
	Actions   []Action        `cbor:"3,keyasint,omitempty"`
	Dropped   uint64          `cbor:"4,keyasint,omitempty"` // number of records dropped at this point because the buffer was full
	Backend   *BackendName    `cbor:"5,keyasint,omitempty"` // name of a backend
	Operation int             `cbor:"6,keyasint,omitempty"` // of an arrival: its number in Header.Operations, from 1
	Initial   bool            `cbor:"7,keyasint,omitempty"` // the actions are those of decision.New
	Snapshot  *decision.State `cbor:"8,keyasint,omitempty"` // state of the gateway before the next step; no other field but At is set
}

// BackendName is the name of a backend. Package decision knows a backend only by its number.
type BackendName struct {
	Backend decision.BackendID `cbor:"1,keyasint"`
	Name    string             `cbor:"2,keyasint"`
}
