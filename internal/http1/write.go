package http1

import "strconv"

// IsHopByHop tells whether a field belongs to one connection only and is not passed on (RFC 9110 section 7.6.1). The
// fields that Connection nominates are found with Nominated.
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

// Nominated tells whether a Connection field of the head names another field as its own.
func (h *Head) Nominated(name string) bool {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, "Connection") && hasToken(h.Fields[i].Value, name) {
			return true
		}
	}
	return false
}

// EqualName tells whether two field names are the same.
func EqualName(a, b string) bool { return equalFold(a, b) }

// AppendField appends one line.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, '\r', '\n')
}

// AppendFields appends those fields of h that go beyond this connection, except those that skip names.
func AppendFields(b []byte, h *Head, skip func(name string) bool) []byte {
	nominates := false
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, "Connection") {
			nominates = true
		}
	}
	for i := range h.Fields {
		f := &h.Fields[i]
		if IsHopByHop(f.Name) || nominates && h.Nominated(f.Name) || skip != nil && skip(f.Name) {
			continue
		}
		b = AppendField(b, f.Name, f.Value)
	}
	return b
}

// AppendLength appends Content-Length.
func AppendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, '\r', '\n')
}

// AppendStatus appends a status line.
func AppendStatus(b []byte, status int, reason string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, '\r', '\n')
}

// AppendChunk appends one chunk; an empty one would end the body and is left out.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, '\r', '\n')
	b = append(b, data...)
	return append(b, '\r', '\n')
}

// AppendLastChunk ends a chunked body.
func AppendLastChunk(b []byte, trailers []Field) []byte {
	b = append(b, '0', '\r', '\n')
	for _, f := range trailers {
		if !IsHopByHop(f.Name) {
			b = AppendField(b, f.Name, f.Value)
		}
	}
	return append(b, '\r', '\n')
}

// StatusText is the reason phrase of the statuses that this program answers with.
func StatusText(status int) string {
	switch status {
	case 100:
		return "Continue"
	case 200:
		return "OK"
	case 201:
		return "Created"
	case 204:
		return "No Content"
	case 400:
		return "Bad Request"
	case 401:
		return "Unauthorized"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 413:
		return "Content Too Large"
	case 414:
		return "URI Too Long"
	case 417:
		return "Expectation Failed"
	case 429:
		return "Too Many Requests"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	}
	return "Status"
}
