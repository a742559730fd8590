// Package resp implements the Redis serialization protocol, RESP: version 2 with the null of version 3. It has an incremental
// reader of values and functions that append values to a buffer. It opens no connections, reads no clock and starts no
// goroutines. Section names in comments are those of the specification,
// https://redis.io/docs/latest/develop/reference/protocol-spec/.
package resp

import (
	"math"
	"strconv"
)

// Type is the first byte of a value, which determines its type (RESP, "RESP protocol description").
type Type byte

// The types of values.
const (
	SimpleString Type = '+' // a status without a line end, such as OK
	SimpleError  Type = '-' // an error reply: its code, a space and a text
	Integer      Type = ':' // a signed 64-bit integer
	BulkString   Type = '$' // any bytes, preceded by their number
	Array        Type = '*' // values, preceded by their number
	Null         Type = '_' // no value: the null of version 3, or a bulk string or array of length -1 of version 2
)

// Value is one complete value. It shares no memory with the buffer from which it was read, so it may be retained.
type Value struct {
	Type  Type
	Str   string  // of a SimpleString, SimpleError and BulkString
	Int   int64   // of an Integer
	Items []Value // of an Array, in order
}

// Float returns the number in a value: an Integer, or a BulkString or SimpleString with the text of a number, such as the reply
// to INCRBYFLOAT. ok is false for any other value, and for infinity and NaN.
func (v Value) Float() (number float64, ok bool) {
	switch v.Type {
	case Integer:
		return float64(v.Int), true
	case BulkString, SimpleString:
		number, err := strconv.ParseFloat(v.Str, 64)
		return number, err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
	}
	return 0, false
}
