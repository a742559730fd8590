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
	expireCommand     = "PEXPIRE"     // sets a lifetime in milliseconds, and replies with 1 or 0
	expireOnlyIfUnset = "NX"          // leaves a lifetime that is set as it is; Redis 7.0 and later
)

// NewCounterCodec returns the codec of a new connection to a counter that speaks RESP, such as Redis.
func (p *configuredProtocol) NewCounterCodec() protocol.CounterCodec { return &respCounterCodec{} }

// respCounterCodec is the codec of one connection to a counter that speaks RESP. A call is two commands, sent together, with
// a reply each, in their order:
//
//	INCRBYFLOAT name amount    adds amount, in units; the reply is the sum
//	PEXPIRE name ttl NX        sets the lifetime of a name, in milliseconds, at its first use; the reply is not used
//
// A first reply that is an error or no finite number rejects the call: nothing was added. The connection stays. Bytes that
// are no RESP, or beyond its bounds, end the connection with resp.ErrSyntax or resp.ErrSize.
type respCounterCodec struct {
	reader            resp.Reader
	expectExpiryReply bool // the next reply is that of PEXPIRE, which completes no CounterReply
}

// AppendCall implements protocol.CounterCodec. The lifetime is cut to whole milliseconds.
func (c *respCounterCodec) AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte {
	b = resp.AppendCommand(b, addCommand, name, strconv.FormatFloat(amount, 'g', -1, 64))
	milliseconds := strconv.FormatInt(ttl.Milliseconds(), 10)
	return resp.AppendCommand(b, expireCommand, name, milliseconds, expireOnlyIfUnset)
}

// Feed implements protocol.CounterCodec. A reply is complete with that of INCRBYFLOAT. The errors are resp.ErrSyntax and
// resp.ErrSize.
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
