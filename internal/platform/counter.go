package platform

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/internal/protocol"
)

// maxReplyLine bounds a reply of the counter in bytes: "ok" and a number take less than 40.
const maxReplyLine = 256

// counterCodec speaks the counter's lines on one connection: "add NAME AMOUNT MILLISECONDS", answered "ok TOTAL", "busy"
// or "error". It belongs to one goroutine.
type counterCodec struct {
	line []byte // what has come of a reply so far
}

// NewCounterCodec begins a connection to the counter.
func (n *Node) NewCounterCodec() protocol.CounterCodec { return &counterCodec{} }

// AppendCall appends the line of a call. The time to live is at least a millisecond.
func (c *counterCodec) AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte {
	b = append(append(append(b, "add "...), name...), ' ')
	b = strconv.AppendFloat(b, amount, 'f', -1, 64)
	b = append(b, ' ')
	b = strconv.AppendInt(b, max(1, ttl.Milliseconds()), 10)
	return append(b, '\r', '\n')
}

// Feed takes bytes up to the end of one reply and tells how many it took. After protocol.ErrMalformedReply the
// connection can't be used any more: which call a later reply answers is not known.
func (c *counterCodec) Feed(b []byte) (int, protocol.CounterReply, error) {
	n := bytes.IndexByte(b, '\n') + 1
	if n == 0 {
		n = len(b)
	}
	if len(c.line)+n > maxReplyLine {
		return n, protocol.CounterReply{}, protocol.ErrMalformedReply
	}
	c.line = append(c.line, b[:n]...)
	if len(c.line) == 0 || c.line[len(c.line)-1] != '\n' {
		return n, protocol.CounterReply{}, nil
	}
	reply, err := parseCounterReply(string(bytes.TrimRight(c.line, "\r\n")))
	c.line = c.line[:0]
	return n, reply, err
}

func parseCounterReply(line string) (protocol.CounterReply, error) {
	if line == "busy" || line == "error" {
		return protocol.CounterReply{Complete: true}, nil
	}
	text, ok := strings.CutPrefix(line, "ok ")
	total, err := strconv.ParseFloat(text, 64)
	if !ok || err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
		return protocol.CounterReply{}, protocol.ErrMalformedReply
	}
	return protocol.CounterReply{Complete: true, Added: true, Total: total}, nil
}
