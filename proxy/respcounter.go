package proxy

import (
	"strconv"
	"time"

	"sandyard/internal/protocol"
	"sandyard/internal/resp"
)

// Commands of the counter (https://redis.io/docs/latest/commands/).
const (
	addCommand        = "INCRBYFLOAT" // adds, and replies with the sum as a bulk string
	expireCommand     = "PEXPIRE"     // sets a TTL in milliseconds, and replies with 1 or 0
	expireOnlyIfUnset = "NX"          // keeps a TTL that is already set; Redis 7.0 and later
)

// NewCounterCodec returns the codec of a new connection to a counter that speaks RESP, such as Redis.
func (p *configuredProtocol) NewCounterCodec() protocol.CounterCodec { return &respCounterCodec{} }

// respCounterCodec is the codec of one connection to a counter that speaks RESP. A call consists of two commands, sent
// together. Each has a reply, in the same order:
//
//	INCRBYFLOAT name amount    adds amount (units); the reply is the sum
//	PEXPIRE name ttl NX        sets the TTL of a name (milliseconds) at its first use; the reply is ignored
//
// If the first reply is an error or not a finite number, the call is rejected: nothing was added. The connection stays open.
// Bytes that are not valid RESP, or replies that are too large, end the connection with resp.ErrSyntax or resp.ErrSize.
type respCounterCodec struct {
	reader            resp.Reader
	expectExpiryReply bool // the next reply is for PEXPIRE, and completes no CounterReply
}

// AppendCall implements protocol.CounterCodec. The TTL is truncated to whole milliseconds.
func (c *respCounterCodec) AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte {
	b = resp.AppendCommand(b, addCommand, name, strconv.FormatFloat(amount, 'g', -1, 64))
	milliseconds := strconv.FormatInt(ttl.Milliseconds(), 10)
	return resp.AppendCommand(b, expireCommand, name, milliseconds, expireOnlyIfUnset)
}

// Feed implements protocol.CounterCodec. The reply to INCRBYFLOAT completes a CounterReply. The errors are resp.ErrSyntax
// and resp.ErrSize.
func (c *respCounterCodec) Feed(b []byte) (int, protocol.CounterReply, error) {
	used, value, whole, err := c.reader.Feed(b)
	if err != nil || !whole {
		return used, protocol.CounterReply{}, err
	}
	isExpiryReply := c.expectExpiryReply
	c.expectExpiryReply = !c.expectExpiryReply
	if isExpiryReply {
		return used, protocol.CounterReply{}, nil
	}
	total, ok := value.Float()
	return used, protocol.CounterReply{Complete: true, Added: ok, Total: total}, nil
}
