package http1

import "strconv"

// IsHopByHop reports whether a field applies to one connection only and is not forwarded (RFC 9110 section 7.6.1). It includes
// the fields of framing and Expect, which the gateway handles for each connection. Nominated finds the fields that Connection
// lists. IsHopByHop is called for every field of every message, so it compares only names of the same length.
func IsHopByHop(name string) bool {
	switch len(name) {
	case 2:
		return equalFold(name, "TE")
	case 6:
		return equalFold(name, "Expect")
	case 7:
		return equalFold(name, "Upgrade") || equalFold(name, "Trailer")
	case 10:
		return equalFold(name, "Connection") || equalFold(name, "Keep-Alive")
	case 14:
		return equalFold(name, "Content-Length")
	case 16:
		return equalFold(name, "Proxy-Connection")
	case 17:
		return equalFold(name, "Transfer-Encoding")
	case 18:
		return equalFold(name, "Proxy-Authenticate")
	case 19:
		return equalFold(name, "Proxy-Authorization")
	}
	return false
}

// AppendField appends one field line (RFC 9112 section 5) and, like all functions of this file, returns the extended buffer.
// The name and value must not contain a line end.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, '\r', '\n')
}

// AppendFields appends the fields of h that are not hop-by-hop (RFC 9110 section 7.6.1), except those for whose name skip
// returns true. skip may be nil.
func AppendFields(b []byte, h *Head, skip func(name string) bool) []byte {
	hasConnectionField := false
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, "Connection") {
			hasConnectionField = true
		}
	}
	for i := range h.Fields {
		field := &h.Fields[i]
		if IsHopByHop(field.Name) || hasConnectionField && h.Nominated(field.Name) || skip != nil && skip(field.Name) {
			continue
		}
		b = AppendField(b, field.Name, field.Value)
	}
	return b
}

// AppendLength appends a Content-Length field for n bytes (RFC 9110 section 8.6).
func AppendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, '\r', '\n')
}

// AppendStatus appends an HTTP/1.1 status line (RFC 9112 section 4).
func AppendStatus(b []byte, status int, reason string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, '\r', '\n')
}

// AppendChunk appends one chunk (RFC 9112 section 7.1). It appends nothing if data is empty, since an empty chunk would end the
// body.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, '\r', '\n')
	b = append(b, data...)
	return append(b, '\r', '\n')
}

// AppendLastChunk ends a chunked body: it appends the last chunk and the trailers, without hop-by-hop fields (RFC 9112 sections
// 7.1 and 7.1.2).
func AppendLastChunk(b []byte, trailers []Field) []byte {
	b = append(b, '0', '\r', '\n')
	for _, field := range trailers {
		if !IsHopByHop(field.Name) {
			b = AppendField(b, field.Name, field.Value)
		}
	}
	return append(b, '\r', '\n')
}
