package resp

import (
	"errors"
	"strconv"
	"strings"
)

// Bounds on the memory that a peer can make a Reader use. The replies of the counter, and the commands that the emulated counter
// reads, are far below them.
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

// Errors of a Reader. Both are final: the start of the next value is not known, so the connection cannot be used again.
var (
	// ErrSyntax is the error of bytes that are not a valid RESP value.
	ErrSyntax = errors.New("resp: not a valid RESP value")
	// ErrSize is the error of a line, bulk string or array that exceeds its limit.
	ErrSize = errors.New("resp: a value that exceeds a limit")
)

// partialArray is an array of which some items have not been received.
type partialArray struct {
	array        Value
	missingItems int // at least 1
}

// Reader parses a stream into values. The zero value is ready for use. The values do not depend on how the bytes are split
// over calls of Feed. Only one goroutine may use a Reader at a time, and no method blocks.
type Reader struct {
	buf        []byte         // the unfinished line or bulk string
	bulkLeft   int            // missing bytes of the bulk string, its CRLF included; 0 in a line
	openArrays []partialArray // the arrays that contain the next value, the innermost last
	err        error          // returned by every further call
}

// Feed processes bytes. It returns how many of them it used and, if whole is true, the next value. The caller must call it with
// the rest until whole is false. The error is ErrSyntax or ErrSize; every later call returns the same error.
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

// fail makes every further call return err, and releases the buffers.
func (r *Reader) fail(err error) {
	r.err = err
	r.buf = nil
	r.openArrays = nil
}

// readElement reads bytes up to the end of a line or bulk string. complete is true if they complete a value other than an
// array, or an empty array.
func (r *Reader) readElement(b []byte) (used int, value Value, complete bool, err error) {
	if r.bulkLeft > 0 {
		return r.readBulk(b)
	}
	return r.readLine(b)
}

// readBulk reads bytes of a bulk string and its CRLF (RESP, "Bulk strings").
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

// readLine reads bytes up to the end of a line, and parses the line once it is complete. The length check depends only on the
// number of bytes, not on how they were split.
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

// parseLine parses a line that ends in LF: a simple value, or the length of a bulk string or array, whose content follows.
// complete is true if the line is the whole value.
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

// parseInteger parses the text of an integer, which may begin with a plus sign (RESP, "Integers").
func parseInteger(text string) (value Value, complete bool, err error) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return Value{}, false, ErrSyntax
	}
	return Value{Type: Integer, Int: number}, true, nil
}

// parseNull parses the text of a null of version 3, which is empty (RESP, "Nulls").
func parseNull(text string) (value Value, complete bool, err error) {
	if text != "" {
		return Value{}, false, ErrSyntax
	}
	return Value{Type: Null}, true, nil
}

// parseLength parses the length of a bulk string or array. A length of -1 stands for null (RESP, "Null bulk strings", "Null
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

// openBulk begins a bulk string of a length in bytes, which is followed by CRLF.
func (r *Reader) openBulk(length int) error {
	if length > MaxBulk {
		return ErrSize
	}
	r.bulkLeft = length + lineEnd
	return nil
}

// openArray begins an array of a number of items, at least one.
func (r *Reader) openArray(items int) error {
	if items > MaxItems || len(r.openArrays) >= maxDepth {
		return ErrSize
	}
	r.openArrays = append(r.openArrays, partialArray{array: Value{Type: Array}, missingItems: items})
	return nil
}

// closeArrays adds a complete value to the innermost open array, if any. An array that is complete then is added to the array
// around it in the same way. whole is true if the result is not inside an open array.
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
