package http1

// Limits bound the parts of a message that a Reader buffers, so that a sender cannot exhaust the gateway's memory. Zero and
// negative values stand for the default.
type Limits struct {
	RequestLine int // bytes of a request line: 414 if exceeded; default 8 KiB
	Head        int // bytes of a head: 431 if exceeded; default 32 KiB
	Fields      int // fields in a head: 431 if exceeded; default 128
	Trailers    int // bytes of trailers: 400 if exceeded; default 4 KiB
}

// Defaults of Limits. RFC 9112 section 3 recommends at least 8000 bytes for a request line. The others are several times what
// browsers and common client libraries send.
const (
	defaultRequestLine = 8 << 10  // bytes
	defaultHead        = 32 << 10 // bytes
	defaultFields      = 128
	defaultTrailers    = 4 << 10 // bytes
)

// withDefaults returns the limits with defaults in place of values that are not positive.
func (l Limits) withDefaults() Limits {
	return Limits{
		RequestLine: positiveOr(l.RequestLine, defaultRequestLine),
		Head:        positiveOr(l.Head, defaultHead),
		Fields:      positiveOr(l.Fields, defaultFields),
		Trailers:    positiveOr(l.Trailers, defaultTrailers),
	}
}

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
