package resp

import (
	"errors"
	"strconv"
	"strings"
)

// Bounds on what a peer can make a Reader hold. The counter's replies, and the commands that the emulator's counter reads,
// are far below them.
const (
	MaxLine  = 512       // bytes of a line, its end included
	MaxBulk  = 512 << 10 // bytes of a bulk string
	MaxItems = 1024      // values in one array
	maxDepth = 4         // arrays within arrays; commands have one
)

// lineEnd is the number of bytes of CRLF, which ends lines and bulk strings.
const lineEnd = 2

// nullLength is the length of a bulk string or array that stands for null in version 2.
const nullLength = -1

// Errors of a Reader. Both are final: where the next value begins is not known, so that the connection can't be used again.
var (
	// ErrSyntax is the error of bytes that are no value of RESP.
	ErrSyntax = errors.New("resp: not a value of the protocol")
	// ErrSize is the error of a line, bulk string or array beyond its bound.
	ErrSize = errors.New("resp: a value beyond its bound")
)

// partialArray is an array whose items have not all come.
type partialArray struct {
	array        Value
	missingItems int // at least 1
}

// Reader parses a stream into values. The zero value is ready for use. However the same bytes are split over calls of Feed,
// the values are the same. A Reader belongs to one goroutine at a time, and no method blocks.
type Reader struct {
	buf        []byte         // the unfinished line or bulk string
	bulkLeft   int            // bytes that the bulk string still lacks, its CRLF included; 0 in a line
	openArrays []partialArray // the arrays around the next value, the innermost last
	err        error          // what every further call returns
}

// Feed takes bytes in. It returns how many of them it used and, where whole is true, the next value; call it with the rest
// until whole is false. The error is ErrSyntax or ErrSize; every call after it returns the same.
func (r *Reader) Feed(b []byte) (used int, value Value, whole bool, err error) {
	if r.err != nil {
		return 0, Value{}, false, r.err
	}
	for used < len(b) {
		n, element, complete, err := r.readElement(b[used:])
		used += n
		if err != nil {
			r.fail(err)
			return used, Value{}, false, err
		}
		if !complete {
			continue
		}
		value, whole = r.closeArrays(element)
		if whole {
			return used, value, true, nil
		}
	}
	return used, Value{}, false, nil
}

// fail makes err the result of every further call, and releases what was held.
func (r *Reader) fail(err error) {
	r.err = err
	r.buf = nil
	r.openArrays = nil
}

// readElement takes bytes up to the end of a line or bulk string. complete is true where they end a value that is not an
// array, or an empty array.
func (r *Reader) readElement(b []byte) (used int, value Value, complete bool, err error) {
	if r.bulkLeft > 0 {
		return r.readBulk(b)
	}
	return r.readLine(b)
}

// readBulk takes bytes of a bulk string and its CRLF (RESP, "Bulk strings").
func (r *Reader) readBulk(b []byte) (used int, value Value, complete bool, err error) {
	used = min(r.bulkLeft, len(b))
	r.buf = append(r.buf, b[:used]...)
	r.bulkLeft -= used
	if r.bulkLeft > 0 {
		return used, Value{}, false, nil
	}
	length := len(r.buf) - lineEnd
	if r.buf[length] != '\r' || r.buf[length+1] != '\n' {
		return used, Value{}, false, ErrSyntax
	}
	value = Value{Type: BulkString, Str: string(r.buf[:length])}
	r.buf = r.buf[:0]
	return used, value, true, nil
}

// readLine takes bytes up to the end of a line, and parses it once it has come. What is too long is found by the count of
// bytes alone, so that it does not depend on how they were split.
func (r *Reader) readLine(b []byte) (used int, value Value, complete bool, err error) {
	for i, c := range b {
		r.buf = append(r.buf, c)
		if c == '\n' {
			value, complete, err = r.parseLine(r.buf)
			r.buf = r.buf[:0]
			return i + 1, value, complete, err
		}
		if len(r.buf) >= MaxLine {
			return i + 1, Value{}, false, ErrSize
		}
	}
	return len(b), Value{}, false, nil
}

// parseLine reads a line that ends in LF: a simple value, or the length of a bulk string or array, whose contents are then
// awaited. complete is true where the line is the whole value.
func (r *Reader) parseLine(line []byte) (value Value, complete bool, err error) {
	if len(line) < 1+lineEnd || line[len(line)-lineEnd] != '\r' {
		return Value{}, false, ErrSyntax
	}
	kind, text := Type(line[0]), string(line[1:len(line)-lineEnd])
	if strings.IndexByte(text, '\r') >= 0 {
		return Value{}, false, ErrSyntax
	}
	switch kind {
	case SimpleString, SimpleError:
		return Value{Type: kind, Str: text}, true, nil
	case Integer:
		return parseInteger(text)
	case Null:
		return parseNull(text)
	case BulkString, Array:
		return r.parseLength(kind, text)
	}
	return Value{}, false, ErrSyntax
}

// parseInteger reads the text of an integer, which a plus sign may precede (RESP, "Integers").
func parseInteger(text string) (value Value, complete bool, err error) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return Value{}, false, ErrSyntax
	}
	return Value{Type: Integer, Int: number}, true, nil
}

// parseNull reads the text of a null of version 3, which is empty (RESP, "Nulls").
func parseNull(text string) (value Value, complete bool, err error) {
	if text != "" {
		return Value{}, false, ErrSyntax
	}
	return Value{Type: Null}, true, nil
}

// parseLength reads the length of a bulk string or array. A length of -1 stands for null (RESP, "Null bulk strings", "Null
// arrays"), and an empty array is complete with its length.
func (r *Reader) parseLength(kind Type, text string) (value Value, complete bool, err error) {
	length, err := strconv.Atoi(text)
	if err != nil || length < nullLength {
		return Value{}, false, ErrSyntax
	}
	if length == nullLength {
		return Value{Type: Null}, true, nil
	}
	if kind == BulkString {
		return Value{}, false, r.openBulk(length)
	}
	if length == 0 {
		return Value{Type: Array}, true, nil
	}
	return Value{}, false, r.openArray(length)
}

// openBulk awaits a bulk string of a length in bytes, with its CRLF.
func (r *Reader) openBulk(length int) error {
	if length > MaxBulk {
		return ErrSize
	}
	r.bulkLeft = length + lineEnd
	return nil
}

// openArray awaits an array of a number of items, at least one.
func (r *Reader) openArray(items int) error {
	if items > MaxItems || len(r.openArrays) >= maxDepth {
		return ErrSize
	}
	r.openArrays = append(r.openArrays, partialArray{array: Value{Type: Array}, missingItems: items})
	return nil
}

// closeArrays adds a complete value to the innermost array that awaits one, if any. An array that it completes is added to
// the next one in the same way. whole is true where the result is a value of the stream itself.
func (r *Reader) closeArrays(value Value) (result Value, whole bool) {
	for len(r.openArrays) > 0 {
		innermost := &r.openArrays[len(r.openArrays)-1]
		innermost.array.Items = append(innermost.array.Items, value)
		innermost.missingItems--
		if innermost.missingItems > 0 {
			return Value{}, false
		}
		value = innermost.array
		r.openArrays = r.openArrays[:len(r.openArrays)-1]
	}
	return value, true
}
