// Package resp is the Redis serialization protocol, version 2 with the null of version 3: an incremental reader
// and writers that append to a buffer. It opens no connection. A Reader belongs to one goroutine at a time.
package resp

import (
	"errors"
	"math"
	"strconv"
)

// Type is the first byte of a value.
type Type byte

// The types of values.
const (
	Simple Type = '+'
	Failed Type = '-' // an error reply
	Int    Type = ':'
	Bulk   Type = '$'
	Array  Type = '*'
	Null   Type = '_'
)

// Value is one complete value. Str is a copy and may be kept.
type Value struct {
	Type  Type
	Str   string // of Simple, Failed and Bulk
	Int   int64
	Items []Value
}

// Float is the number that a value carries; ok is false for what is none, or not finite.
func (v Value) Float() (x float64, ok bool) {
	switch v.Type {
	case Int:
		return float64(v.Int), true
	case Bulk, Simple:
		x, err := strconv.ParseFloat(v.Str, 64)
		return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
	}
	return 0, false
}

// Bounds on what a peer can make a Reader keep.
const (
	MaxLine  = 512       // bytes of a line
	MaxBulk  = 512 << 10 // bytes of a bulk string
	MaxItems = 1024      // values in an array
	maxDepth = 4         // arrays within arrays
)

// Errors of a stream that is not RESP, or too large; all are final.
var (
	ErrSyntax = errors.New("resp: not a value of the protocol")
	ErrSize   = errors.New("resp: a value beyond its bound")
)

// partialArray is an array whose items have not all come.
type partialArray struct {
	value Value
	left  int
}

// Reader parses a stream into values. It belongs to one goroutine at a time, and no method blocks.
type Reader struct {
	buf      []byte
	bulkLeft int // bytes that the bulk string still lacks, its CRLF included; 0: in a line
	stack    []partialArray
	err      error
}

// Feed takes bytes in. It returns how many it used, and a value if one is whole; call again with the rest until
// none is.
func (r *Reader) Feed(b []byte) (used int, v Value, whole bool, err error) {
	if r.err != nil {
		return 0, v, false, r.err
	}
	for used < len(b) {
		var done bool
		if r.bulkLeft > 0 {
			n := min(r.bulkLeft, len(b)-used)
			r.buf = append(r.buf, b[used:used+n]...)
			used, r.bulkLeft = used+n, r.bulkLeft-n
			if r.bulkLeft > 0 {
				return used, v, false, nil
			}
			n = len(r.buf)
			if r.buf[n-2] != '\r' || r.buf[n-1] != '\n' {
				return used, v, false, r.fail(ErrSyntax)
			}
			v, done = Value{Type: Bulk, Str: string(r.buf[:n-2])}, true
			r.buf = r.buf[:0]
		} else {
			c := b[used]
			used++
			r.buf = append(r.buf, c)
			n := len(r.buf)
			if c != '\n' {
				if n >= MaxLine {
					return used, v, false, r.fail(ErrSize)
				}
				continue
			}
			if n < 3 || r.buf[n-2] != '\r' {
				return used, v, false, r.fail(ErrSyntax)
			}
			if v, done, err = r.parseLine(r.buf[0], string(r.buf[1:n-2])); err != nil {
				return used, v, false, r.fail(err)
			}
			r.buf = r.buf[:0]
		}
		for done && len(r.stack) > 0 { // into the array that waits for it
			top := &r.stack[len(r.stack)-1]
			top.value.Items = append(top.value.Items, v)
			if top.left--; top.left > 0 {
				done = false
				break
			}
			v = top.value
			r.stack = r.stack[:len(r.stack)-1]
		}
		if done {
			return used, v, true, nil
		}
	}
	return used, Value{}, false, nil
}

func (r *Reader) fail(err error) error {
	r.err, r.buf, r.stack = err, nil, nil
	return err
}

func (r *Reader) parseLine(t byte, s string) (v Value, done bool, err error) {
	for i := 0; i < len(s); i++ {
		if s[i] == '\r' {
			return v, false, ErrSyntax
		}
	}
	v.Type = Type(t)
	switch v.Type {
	case Simple, Failed:
		v.Str = s
		return v, true, nil
	case Int:
		v.Int, err = strconv.ParseInt(s, 10, 64)
		if err != nil {
			return v, false, ErrSyntax
		}
		return v, true, nil
	case Null:
		if s != "" {
			return v, false, ErrSyntax
		}
		return v, true, nil
	case Bulk, Array:
		n, err := strconv.Atoi(s)
		switch {
		case err != nil || n < -1:
			return v, false, ErrSyntax
		case n == -1:
			return Value{Type: Null}, true, nil
		case v.Type == Bulk && n > MaxBulk, v.Type == Array && n > MaxItems:
			return v, false, ErrSize
		case v.Type == Bulk:
			r.bulkLeft = n + 2
			return v, false, nil
		case n == 0:
			return v, true, nil
		case len(r.stack) >= maxDepth:
			return v, false, ErrSize
		}
		r.stack = append(r.stack, partialArray{value: v, left: n})
		return v, false, nil
	}
	return v, false, ErrSyntax
}

// AppendCommand appends a command: an array of bulk strings.
func AppendCommand(b []byte, args ...string) []byte {
	b = append(b, '*')
	b = strconv.AppendInt(b, int64(len(args)), 10)
	b = append(b, '\r', '\n')
	for _, a := range args {
		b = AppendBulk(b, a)
	}
	return b
}

// AppendBulk appends a bulk string.
func AppendBulk(b []byte, s string) []byte {
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(s)), 10)
	b = append(b, '\r', '\n')
	b = append(b, s...)
	return append(b, '\r', '\n')
}

// AppendInt appends an integer.
func AppendInt(b []byte, n int64) []byte {
	b = append(b, ':')
	b = strconv.AppendInt(b, n, 10)
	return append(b, '\r', '\n')
}

// AppendSimple appends a status such as OK.
func AppendSimple(b []byte, s string) []byte { return append(append(append(b, '+'), s...), '\r', '\n') }

// AppendError appends an error; s begins with its code and holds no line ends.
func AppendError(b []byte, s string) []byte { return append(append(append(b, '-'), s...), '\r', '\n') }

// AppendNull appends the null of version 2.
func AppendNull(b []byte) []byte { return append(b, "$-1\r\n"...) }
