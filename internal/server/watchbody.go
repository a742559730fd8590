package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"sandyard/internal/http1"
	"sandyard/internal/platform"
)

// maxFinalReads bounds the reads of a watch after its context has ended: enough for a message of the maximum size.
const maxFinalReads = platform.MaxEndpointListBytes / readSize

var (
	errWatchEnded      = errors.New("the watch ended")
	errWatchReplaced   = errors.New("the watch fell silent and was replaced")
	errMessageTooLarge = fmt.Errorf("a message of more than %d bytes", platform.MaxEndpointListBytes)
)

// watchStatusError is a status other than 200 in answer to a watch.
type watchStatusError int

func (status watchStatusError) Error() string { return fmt.Sprintf("status %d", int(status)) }

// watchEvents are the functions that a watchBody calls. None of them may block.
type watchEvents struct {
	onHeartbeat func() // for whitespace between messages
	onSilence   func() // when nothing has arrived for the silence timeout
	onBytes     func() // when bytes have arrived
}

// watchBody is the body of the response to a watch as a stream. Reading it waits for bytes until the watch ends, however long
// discovery is silent. A message is one JSON value in any layout and split into chunks at any place, with empty lines between
// messages.
type watchBody struct {
	ctx            context.Context // of the watch: after its end, data that has arrived is read, without waiting for more
	input          *watchInput
	socket         *socket
	silenceTimeout time.Duration
	finalReads     int // number of reads since ctx ended
	responses      *http1.Reader
	unparsed       []byte // bytes read from the connection
	unread         []byte // bytes of the body that Read has not returned
	messageBytes   int    // bytes that Read has returned since the last complete message
	events         watchEvents
}

func newWatchBody(ctx context.Context, input *watchInput, socket *socket, silenceTimeout time.Duration, events watchEvents) *watchBody {
	body := &watchBody{ctx: ctx, input: input, socket: socket, silenceTimeout: silenceTimeout, responses: http1.NewResponses(http1.Limits{}), events: events}
	body.responses.Expect("GET")
	return body
}

// Read waits for a part of the body. It returns an error at the end of the body or of the watch.
func (b *watchBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if err := b.readPart(); err != nil {
			return 0, err
		}
	}
	b.messageBytes += len(b.unread)
	if b.messageBytes > platform.MaxEndpointListBytes {
		return 0, errMessageTooLarge
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	b.messageBytes -= len(b.unread)
	return n, nil
}

// readPart parses the next part of the response, or reads more bytes if the part is incomplete.
func (b *watchBody) readPart() error {
	n, part, err := b.responses.Feed(b.unparsed)
	b.unparsed = b.unparsed[n:]
	if err != nil {
		return err
	}
	switch part.Kind {
	case http1.More:
		if b.unparsed, err = b.readSocket(); err != nil {
			return err
		}
	case http1.HeadEnd:
		if status := part.Head.Status; status != 200 && status/100 != 1 {
			return watchStatusError(status)
		}
	case http1.Data:
		b.unread = part.Data
		if b.messageBytes == 0 {
			b.unread = bytes.TrimLeft(b.unread, " \t\r\n")
			if len(b.unread) == 0 {
				b.events.onHeartbeat()
			}
		}
	case http1.End:
		return errWatchEnded
	}
	return nil
}

// readSocket waits for bytes. Nothing for silenceTimeout is reported, and the wait goes on: a silent watch may be the only one that
// discovery answers when it is back. Once the context has ended readSocket does not wait, and only returns bytes that have arrived.
func (b *watchBody) readSocket() ([]byte, error) {
	received, err := b.readUntil(time.Now().Add(b.silenceTimeout))
	if isTimeout(err) && b.ctx.Err() == nil {
		b.events.onSilence()
		received, err = b.readUntil(time.Time{})
	}
	if isTimeout(err) {
		return nil, errWatchReplaced
	}
	if err == nil {
		b.events.onBytes()
	}
	return received, err
}

// readUntil waits for bytes until a deadline (zero: without one) or the end of the context.
func (b *watchBody) readUntil(deadline time.Time) ([]byte, error) {
	b.socket.conn.SetReadDeadline(deadline)
	if b.ctx.Err() != nil { // checked after the deadline was set, which may have replaced the one that the end of the context sets
		b.socket.conn.SetReadDeadline(expiredDeadline)
		if b.finalReads++; b.finalReads > maxFinalReads {
			return nil, errWatchEnded
		}
	}
	return b.input.read(b.socket)
}
