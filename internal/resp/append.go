package resp

import "strconv"

// AppendCommand appends a command to b: an array of bulk strings, the command's name first (RESP, "Sending commands to a Redis
// server"). Like all functions of this file it returns the extended buffer.
func AppendCommand(b []byte, args ...string) []byte {
	b = append(b, '*')
	b = strconv.AppendInt(b, int64(len(args)), 10)
	b = append(b, '\r', '\n')
	for _, arg := range args {
		b = AppendBulk(b, arg)
	}
	return b
}

// AppendBulk appends a bulk string, which may contain any bytes (RESP, "Bulk strings").
func AppendBulk(b []byte, s string) []byte {
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(s)), 10)
	b = append(b, '\r', '\n')
	b = append(b, s...)
	return append(b, '\r', '\n')
}

// AppendInt appends an integer (RESP, "Integers").
func AppendInt(b []byte, n int64) []byte {
	b = append(b, ':')
	b = strconv.AppendInt(b, n, 10)
	return append(b, '\r', '\n')
}

// AppendSimple appends a status such as OK, which must not contain a line end (RESP, "Simple strings").
func AppendSimple(b []byte, status string) []byte {
	b = append(b, '+')
	b = append(b, status...)
	return append(b, '\r', '\n')
}

// AppendError appends an error reply. The text begins with a code, such as ERR, and must not contain a line end (RESP,
// "Simple errors").
func AppendError(b []byte, text string) []byte {
	b = append(b, '-')
	b = append(b, text...)
	return append(b, '\r', '\n')
}

// AppendNull appends the null of version 2: a bulk string of length -1 (RESP, "Null bulk strings").
func AppendNull(b []byte) []byte { return append(b, "$-1\r\n"...) }
