package platform

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"sandyard/internal/protocol"
)

const mostLine = 256 // bytes of a counter's reply

// counter speaks the counter's lines: "add NAME AMOUNT MILLISECONDS", answered "ok TOTAL", "busy" or "error".
type counter struct{ line []byte }

func (c *counter) AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte {
	b = append(append(append(b, "add "...), name...), ' ')
	b = strconv.AppendFloat(b, amount, 'f', -1, 64)
	b = append(b, ' ')
	b = strconv.AppendInt(b, max(1, ttl.Milliseconds()), 10)
	return append(b, '\r', '\n')
}

func (c *counter) Feed(b []byte) (int, protocol.CounterReply, error) {
	n := bytes.IndexByte(b, '\n') + 1
	if n == 0 {
		n = len(b)
	}
	if len(c.line)+n > mostLine {
		return n, protocol.CounterReply{}, protocol.ErrMalformedReply
	}
	c.line = append(c.line, b[:n]...)
	if len(c.line) == 0 || c.line[len(c.line)-1] != '\n' {
		return n, protocol.CounterReply{}, nil
	}
	line := string(bytes.TrimRight(c.line, "\r\n"))
	c.line = c.line[:0]
	switch {
	case line == "busy", line == "error":
		return n, protocol.CounterReply{Complete: true}, nil
	case len(line) > 3 && line[:3] == "ok ":
		if x, err := strconv.ParseFloat(line[3:], 64); err == nil && !math.IsNaN(x) && !math.IsInf(x, 0) {
			return n, protocol.CounterReply{Complete: true, Added: true, Total: x}, nil
		}
	}
	return n, protocol.CounterReply{}, protocol.ErrMalformedReply
}
