// Package http1 is HTTP/1.1 as bytes in and values out: incremental readers of requests and responses (RFC 9112)
// and functions that append to a buffer. It opens no connection, reads no clock and starts no goroutine. A Reader
// belongs to one goroutine at a time; heads it has returned are immutable and may be shared.
//
// It is strict where leniency lets two parsers disagree about where a message ends (RFC 9112 section 11.2, request
// smuggling): what two conforming implementations could read differently is an error, and the connection it came on
// can't be used again.
//
//	head.go     heads: start line, fields, and what they say of the body
//	fields.go   field lines
//	target.go   the target of a request and the host that it names
//	framing.go  the length of the body, and whether the connection persists
//	reader.go   the Reader, which takes a connection's bytes in
//	lines.go    heads and trailers, collected line by line
//	chunked.go  the chunked transfer coding
//	write.go    functions that append to a buffer
//	status.go   status codes and reason phrases
//	error.go    errors
package http1
