package http1

import "strings"

// resolveTarget parses the target and determines the host of the request (RFC 9112 sections 3.2 and 3.3).
func (h *Head) resolveTarget() *Error {
	host, hasHost, err := h.hostField()
	if err != nil {
		return err
	}
	h.Authority = host
	pathAndQuery := h.Target
	switch {
	case h.Method == "CONNECT":
		return &Error{statusNotImplemented, "CONNECT is not offered"}
	case h.Target == "*":
		if h.Method != "OPTIONS" {
			return badRequest("target * without OPTIONS")
		}
	case h.Target[0] != '/':
		h.Authority, pathAndQuery, err = splitAbsoluteForm(h.Target)
		if err != nil {
			return err
		}
		if hasHost && !equalFold(h.Authority, host) {
			return hostMismatchError()
		}
	}
	if strings.IndexByte(pathAndQuery, '#') >= 0 {
		return badRequest("a fragment in the target")
	}
	h.Path, h.Query, _ = strings.Cut(pathAndQuery, "?")
	return nil
}

// hostMismatchError returns the error of a target whose host is missing, invalid or different from Host: two parsers could
// route it differently.
func hostMismatchError() *Error { return badRequest("a target that names another host than Host") }

// hostField returns the value of the Host field, and whether there is one. More than one Host is rejected, and in HTTP/1.1 also
// none (RFC 9112 section 3.2).
func (h *Head) hostField() (host string, present bool, err *Error) {
	count := 0
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, "Host") {
			host = h.Fields[i].Value
			count++
		}
	}
	if count > 1 || count == 0 && h.Minor == 1 {
		return "", false, badRequest("not exactly one Host")
	}
	if !isHost(host) {
		return "", false, badRequest("a Host that names none")
	}
	return host, count == 1, nil
}

// splitAbsoluteForm splits a target in absolute form into the host and the path with the query (RFC 9112 section 3.2.2). An
// empty path becomes "/" (RFC 9110 section 4.2.3).
func splitAbsoluteForm(target string) (authority, pathAndQuery string, err *Error) {
	scheme, rest, ok := strings.Cut(target, "://")
	if !ok || !equalFold(scheme, "http") && !equalFold(scheme, "https") {
		return "", "", badRequest("a target that is neither a path nor a URI")
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	authority, pathAndQuery = rest[:end], rest[end:]
	if authority == "" || !isHost(authority) {
		return "", "", hostMismatchError()
	}
	if pathAndQuery == "" || pathAndQuery[0] == '?' {
		pathAndQuery = "/" + pathAndQuery
	}
	return authority, pathAndQuery, nil
}

// isHost reports whether s is empty or can be a host with an optional port (RFC 9110 section 7.2). A user name is not allowed
// (RFC 9110 section 4.2.4).
func isHost(s string) bool {
	for i := 0; i < len(s); i++ {
		if !isHostByte(s[i]) {
			return false
		}
	}
	return true
}

// isHostByte reports whether a byte is allowed in a host with a port (RFC 3986 section 3.2.2): the bytes of tokens, except four
// that are not allowed in the host of a URI, and the colon and the brackets of an IPv6 address.
func isHostByte(c byte) bool {
	switch c {
	case ':', '[', ']':
		return true
	case '`', '^', '|', '#':
		return false
	}
	return tokenBytes[c]
}
