package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Framing is how discovery writes its messages to a connection. The zero value is one message in one chunk and one write.
type Framing struct {
	Pieces        int           // number of writes into which the bytes are split, at any byte; 0: one
	PieceGap      time.Duration // pause between two pieces
	WithHeartbeat bool          // a heartbeat precedes a message in the same write
	Filler        int           // number of entries of a list that precedes a notice in the same write
}

// fillerAddress is the address of the entries of a filler list. Nothing listens there.
const fillerAddress = "127.0.0.1:1"

// drawFraming draws one or more forms of framing.
func (p *Plan) drawFraming(rng *rand.Rand) {
	forms := 1 + rng.IntN(7) // a non-empty set of three bits
	framing := &p.Framing
	if forms&1 != 0 {
		framing.Pieces = 2 + rng.IntN(5)
		framing.PieceGap = between(rng, time.Millisecond, 15*time.Millisecond)
	}
	framing.WithHeartbeat = forms&2 != 0
	if forms&4 != 0 {
		framing.Filler = 200 + rng.IntN(400)
	}
}

func (f Framing) isPlain() bool { return f == Framing{} }

// String describes the framing; it returns "" for the zero value.
func (f Framing) String() string {
	var text []string
	if f.Pieces > 1 {
		text = append(text, fmt.Sprintf("messages in %d pieces %v apart", f.Pieces, f.PieceGap))
	}
	if f.WithHeartbeat {
		text = append(text, "a heartbeat ahead of messages")
	}
	if f.Filler > 0 {
		text = append(text, fmt.Sprintf("a list of %d entries ahead of notices", f.Filler))
	}
	return strings.Join(text, ", ")
}

// fillerMessage returns a message with entries of draining backends that were never in use.
func (f Framing) fillerMessage() endpointMessage {
	var message endpointMessage
	for i := range f.Filler {
		message.Hosts = append(message.Hosts, endpointEntry{Host: fmt.Sprintf("filler-%d", i), Dial: fillerAddress, Health: "leaving", Share: 1})
	}
	return message
}

// catchUpFramed writes the pending messages of a watch with the framing of the plan. The instance counts as notified of them when
// the last piece is written. mu must be held.
func (d *discovery) catchUpFramed(w *watch) {
	if w.next > len(d.messages) {
		return
	}
	var text string
	if d.framing.WithHeartbeat {
		text = chunk("\n")
	}
	pending := d.messages[w.next-1:]
	for _, message := range pending {
		rendered, _ := json.Marshal(message.endpointMessage)
		text += chunk(string(rendered) + "\n")
	}
	w.next = len(d.messages) + 1
	pieceSize := (len(text) + max(1, d.framing.Pieces) - 1) / max(1, d.framing.Pieces)
	for i, piece := range slices.Collect(slices.Chunk([]byte(text), pieceSize)) {
		if i > 0 {
			time.Sleep(d.framing.PieceGap)
		}
		w.write(string(piece))
	}
	for _, message := range pending {
		d.noteNotified(message.notice)
	}
}

// chunk returns text as a chunk of a chunked response.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
