package http1

import (
	"strconv"
	"strings"
)

// resolveFraming determines from the fields the length of the body and whether the connection persists (RFC 9112 sections 6
// and 9.3). Ambiguous fields are rejected.
func (h *Head) resolveFraming(request bool) *Error {
	h.Close = h.Minor == 0
	h.Length = 0
	codings := ""
	for i := range h.Fields {
		field := &h.Fields[i]
		var err *Error
		switch {
		case equalFold(field.Name, "Content-Length"):
			err = h.setContentLength(field.Value)
		case equalFold(field.Name, "Transfer-Encoding"):
			codings = h.joinCodings(codings, field.Value)
		case equalFold(field.Name, "Connection"):
			h.setPersistence(field.Value)
		case request && equalFold(field.Name, "Expect"):
			err = h.setExpectation(field.Value)
		}
		if err != nil {
			return err
		}
	}
	if !h.hasTransferEncoding {
		return nil
	}
	return h.setTransferCoding(codings)
}

// setContentLength parses a Content-Length field (RFC 9110 section 8.6). A second field is rejected even if its value is the
// same, and so is a list.
func (h *Head) setContentLength(value string) *Error {
	if h.hasContentLength {
		return badRequest("more than one Content-Length")
	}
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil || !isDigit(value[0]) { // ParseInt accepts a sign, the field's grammar does not
		return badRequest("a Content-Length that is no number")
	}
	h.Length = length
	h.hasContentLength = true
	return nil
}

// joinCodings appends the value of a Transfer-Encoding field to those of earlier ones, as one list (RFC 9110 section 5.3).
func (h *Head) joinCodings(codings, value string) string {
	if h.hasTransferEncoding {
		codings += ","
	}
	h.hasTransferEncoding = true
	return codings + value
}

// setPersistence parses the options of a Connection field (RFC 9112 section 9.3). HTTP/1.0 connections close unless keep-alive
// is among them.
func (h *Head) setPersistence(options string) {
	if hasListMember(options, "close") {
		h.Close = true
		return
	}
	if h.Minor == 0 && hasListMember(options, "keep-alive") {
		h.Close = false
	}
}

// setExpectation parses an Expect field (RFC 9110 section 10.1.1). HTTP/1.0 clients do not get 100.
func (h *Head) setExpectation(value string) *Error {
	if !equalFold(value, "100-continue") {
		return &Error{statusExpectationFailed, "an expectation other than 100-continue"}
	}
	h.Continue = h.Minor == 1
	return nil
}

// setTransferCoding handles the transfer codings of a message. Only chunked is supported (RFC 9112 sections 6.1 and 6.3). A
// message that also has Content-Length, or is HTTP/1.0, is rejected, because another parser might frame it differently.
func (h *Head) setTransferCoding(codings string) *Error {
	switch {
	case h.hasContentLength:
		return badRequest("both Transfer-Encoding and Content-Length")
	case h.Minor == 0:
		return badRequest("Transfer-Encoding in HTTP/1.0")
	case strings.Count(strings.ToLower(codings), "chunked") > 1:
		return badRequest("chunked twice")
	case !equalFold(codings, "chunked"):
		return &Error{statusNotImplemented, "a transfer coding other than chunked"}
	}
	h.Length = Chunked
	return nil
}

// resolveResponseBody determines the length of a response's body where it depends on the status or the request's method (RFC
// 9112 section 6.3).
func (h *Head) resolveResponseBody(method string) *Error {
	if h.Status == statusSwitchingProtocols {
		return badRequest("a switch of protocols that nobody asked for")
	}
	if h.hasTransferEncoding && (h.isInterim() || h.Status == statusNoContent) { // not allowed in these responses (section 6.1)
		return badRequest("Transfer-Encoding where there is no body")
	}
	if h.IsBodiless(method) {
		h.Length = 0
		return nil
	}
	if !h.hasTransferEncoding && !h.hasContentLength {
		h.Length = UntilClose
		h.Close = true
	}
	return nil
}

// IsBodiless reports whether a response to a request with the given method has no body, whatever its fields say (RFC 9112
// section 6.3, item 1).
func (h *Head) IsBodiless(method string) bool {
	return method == "HEAD" || h.isInterim() || h.Status == statusNoContent || h.Status == statusNotModified
}

// isInterim reports whether a response is interim, that is, followed by the final one (1xx, RFC 9110 section 15.2).
func (h *Head) isInterim() bool { return h.Status < statusOK }
