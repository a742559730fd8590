package server

import (
	"context"
	"time"
)

// A client connection can send requests faster than others get their turn: its reader always finds input, and the Go scheduler
// polls the network only every 10 ms while a goroutine is ready to run. The pacer makes the readers of such connections pause.

const (
	// maxUnpacedResponses is how many local responses a connection may get for one read without a pause. A client that awaits
	// its responses gets one.
	maxUnpacedResponses = 8
	// pacerPause is the time between two paced reads of all connections: a few times what the requests of one read cost.
	pacerPause = 5 * time.Millisecond
)

// pacer limits how often the connections of clients that get many local responses at once are read. The zero value is not usable.
type pacer struct {
	turn chan struct{} // capacity 1: held during a pause
}

func newPacer() *pacer { return &pacer{turn: make(chan struct{}, 1)} }

// pause waits for this connection's turn and then for pacerPause, or until ctx ends.
func (p *pacer) pause(ctx context.Context) {
	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-p.turn }()
	select {
	case <-time.After(pacerPause):
	case <-ctx.Done():
	}
}
