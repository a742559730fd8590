package platform

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/internal/protocol"
)

// maxReplyLine is the maximum length of a counter reply (bytes), including the line end. "ok" and a number take less than 40
// bytes; a longer line is not a valid reply and must not exhaust the memory.
const maxReplyLine = 256

// Keywords of the counter's protocol (see counterCodec).
const (
	addVerb    = "add "
	okPrefix   = "ok "
	busyReply  = "busy"
	errorReply = "error"
)

// counterCodec is the codec of one connection to the platform's counter. A call and its reply are one line each; replies
// arrive in the order of the calls:
//
//	add NAME AMOUNT MILLISECONDS    adds AMOUNT (weighted units) to the total of NAME, whose lifetime is set at its first use
//	ok TOTAL                        AMOUNT was added; TOTAL (weighted units) is the new total
//	busy, error                     AMOUNT was not added; the connection stays open
//
// A call ends in CRLF, a reply in LF or CRLF. Any other reply, a TOTAL that is not a finite number, and a line longer than
// maxReplyLine bytes result in protocol.ErrMalformedReply. The codec belongs to one goroutine at a time.
type counterCodec struct {
	line []byte // received part of an incomplete reply
}

// NewCounterCodec returns the codec of a new connection to the counter.
func (n *Node) NewCounterCodec() protocol.CounterCodec { return &counterCodec{} }

// AppendCall implements protocol.CounterCodec. The lifetime is truncated to whole milliseconds, with a minimum of one.
func (c *counterCodec) AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte {
	b = append(b, addVerb...)
	b = append(b, name...)
	b = append(b, ' ')
	b = strconv.AppendFloat(b, amount, 'f', -1, 64)
	b = append(b, ' ')
	b = strconv.AppendInt(b, max(1, ttl.Milliseconds()), 10)
	return append(b, '\r', '\n')
}

// Feed implements protocol.CounterCodec. It uses bytes up to the end of one reply. After protocol.ErrMalformedReply the
// connection can't be used any more, because later replies can't be matched to calls.
func (c *counterCodec) Feed(b []byte) (int, protocol.CounterReply, error) {
	used := bytes.IndexByte(b, '\n') + 1
	complete := used > 0
	if !complete {
		used = len(b)
	}
	if len(c.line)+used > maxReplyLine {
		return used, protocol.CounterReply{}, protocol.ErrMalformedReply
	}
	c.line = append(c.line, b[:used]...)
	if !complete {
		return used, protocol.CounterReply{}, nil
	}
	reply, err := parseCounterReply(string(bytes.TrimRight(c.line, "\r\n")))
	c.line = c.line[:0]
	return used, reply, err
}

// parseCounterReply parses a reply without its line end. The error is protocol.ErrMalformedReply.
func parseCounterReply(line string) (protocol.CounterReply, error) {
	if line == busyReply || line == errorReply {
		return protocol.CounterReply{Complete: true}, nil
	}
	text, ok := strings.CutPrefix(line, okPrefix)
	total, err := strconv.ParseFloat(text, 64)
	if !ok || err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
		return protocol.CounterReply{}, protocol.ErrMalformedReply
	}
	return protocol.CounterReply{Complete: true, Added: true, Total: total}, nil
}
