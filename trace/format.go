// Package trace is the record of an instance's decisions: each event that was handed to package decision with the actions
// it took, in files that can be read up to their last complete frame after a kill. It takes and gives bytes; internal/server
// writes them to disk. Keys and tokens are never part of it: a customer is named, not its key.
//
// A file is a magic line and frames. A frame is the length of its payload (4 bytes, big-endian), a CRC-32C of it (4
// bytes) and the payload: CBOR, compressed by zstd. The first frame is a Header. The others hold records in the order in
// which they happened.
package trace

import (
	"time"

	"sandyard/decision"
)

// Format is the version of files; readers refuse others.
const Format = "sandyard-trace 1\n"

const (
	maxFrameBytes    = 16 << 20 // of a compressed payload; a longer one is taken for damage
	frameHeaderBytes = 8        // length and checksum
)

// Header says who decided, and with what.
type Header struct {
	Core       string            `cbor:"1,keyasint"`
	Config     string            `cbor:"2,keyasint"` // digest of the configuration's files
	Instance   int               `cbor:"3,keyasint"`
	Seed       uint64            `cbor:"4,keyasint"`
	StartedAt  time.Duration     `cbor:"5,keyasint"` // the instance's time when its gateway was made
	Origin     int64             `cbor:"6,keyasint"` // Unix time in nanoseconds at which the instance's time was zero
	Settings   decision.Settings `cbor:"7,keyasint"`
	Classes    []string          `cbor:"8,keyasint"`
	Plans      []string          `cbor:"9,keyasint"`
	Operations []string          `cbor:"10,keyasint"` // operation ids
	Part       int               `cbor:"11,keyasint"` // number of the file in its series; only part 0 begins at StartedAt
	Share      float64           `cbor:"12,keyasint"` // of the requests that are recorded; 1: everything
}

// Record is one step of the decisions, or a note about them.
type Record struct {
	At        time.Duration   `cbor:"1,keyasint"`
	Event     Event           `cbor:"2,keyasint,omitempty"`
	Actions   []Action        `cbor:"3,keyasint,omitempty"`
	Dropped   uint64          `cbor:"4,keyasint,omitempty"` // records that were dropped here, for want of room
	Backend   *BackendName    `cbor:"5,keyasint,omitempty"` // a backend's name
	Operation int             `cbor:"6,keyasint,omitempty"` // of an arrival: its operation, from 1
	Initial   bool            `cbor:"7,keyasint,omitempty"` // the actions are those of New
	Snapshot  *decision.State `cbor:"8,keyasint,omitempty"` // the gateway's state before the next step; nothing else is set
}

// BackendName is the name of a backend, which the decisions know by its number alone.
type BackendName struct {
	Backend decision.BackendID `cbor:"1,keyasint"`
	Name    string             `cbor:"2,keyasint"`
}
