package http1

// Limits bound what a Reader keeps of a message before it is refused, so that a sender can't fill the gateway's memory.
// Zero stands for the default, and so does a negative value.
type Limits struct {
	RequestLine int // bytes of a request line: 414 beyond; default 8 KiB
	Head        int // bytes of a head: 431 beyond; default 32 KiB
	Fields      int // fields in a head: 431 beyond; default 128
	Trailers    int // bytes of trailers: 400 beyond; default 4 KiB
}

// Defaults of Limits. RFC 9112 section 3 recommends 8000 bytes at least for a request line; the others are several times
// what browsers and the usual client libraries send.
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

func positiveOr(value, otherwise int) int {
	if value > 0 {
		return value
	}
	return otherwise
}
