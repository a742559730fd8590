// Package http1 parses and writes HTTP/1.1 without I/O: it has incremental readers of requests and responses (RFC 9112)
// and functions that append to a buffer. It opens no connections, reads no clock and starts no goroutines. Only one
// goroutine may use a Reader at a time; the heads that it returns are immutable and may be shared.
//
// The package is strict where leniency would allow two parsers to disagree about the end of a message (RFC 9112 section
// 11.2, request smuggling): input that two conforming implementations could interpret differently is an error, and its
// connection cannot be used again.
//
//	head.go     heads: start line, fields, and what they say about the body
//	fields.go   field lines
//	target.go   the target of a request and its host
//	framing.go  the length of the body, and whether the connection persists
//	reader.go   the Reader, which parses the bytes of a connection
//	lines.go    heads and trailers, collected line by line
//	chunked.go  the chunked transfer coding
//	write.go    functions that append to a buffer
//	status.go   status codes and reason phrases
//	error.go    errors
package http1
