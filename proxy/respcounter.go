package proxy

import (
	"strconv"
	"time"

	"sandyard/internal/protocol"
	"sandyard/internal/resp"
)

// NewCounterCodec returns a codec of RESP. A call is two commands in one round trip: INCRBYFLOAT adds, and PEXPIRE with NX
// sets the lifetime of a name at its first use.
func (p *configuredProtocol) NewCounterCodec() protocol.CounterCodec { return &respCounterCodec{} }

// respCounterCodec is the codec of one connection to a counter that speaks RESP.
type respCounterCodec struct {
	reader            resp.Reader
	expectExpiryReply bool // the next reply is that of PEXPIRE, which ends nothing
}

// AppendCall implements protocol.CounterCodec.
func (r *respCounterCodec) AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte {
	b = resp.AppendCommand(b, "INCRBYFLOAT", name, strconv.FormatFloat(amount, 'g', -1, 64))
	return resp.AppendCommand(b, "PEXPIRE", name, strconv.FormatInt(ttl.Milliseconds(), 10), "NX")
}

// Feed implements protocol.CounterCodec. A reply that is an error or no number is one that was not added.
func (r *respCounterCodec) Feed(b []byte) (int, protocol.CounterReply, error) {
	n, v, whole, err := r.reader.Feed(b)
	if err != nil || !whole {
		return n, protocol.CounterReply{}, err
	}
	if r.expectExpiryReply = !r.expectExpiryReply; !r.expectExpiryReply {
		return n, protocol.CounterReply{}, nil
	}
	sum, ok := v.Float()
	return n, protocol.CounterReply{Complete: true, Added: ok && v.Type != resp.SimpleError, Total: sum}, nil
}
