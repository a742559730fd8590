package http1

import (
	"strconv"
	"strings"
)

// resolveFraming reads from the fields how long the body is and whether the connection persists (RFC 9112 sections 6 and
// 9.3). Fields that leave room for two readings are refused.
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

// setContentLength reads a Content-Length (RFC 9110 section 8.6). A second one is refused even where it is the same, and
// so is a list.
func (h *Head) setContentLength(value string) *Error {
	if h.hasContentLength {
		return badRequest("more than one Content-Length")
	}
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil || !isDigit(value[0]) { // a sign is none of the field's grammar
		return badRequest("a Content-Length that is no number")
	}
	h.Length = length
	h.hasContentLength = true
	return nil
}

// joinCodings adds the value of a Transfer-Encoding field to those before it, as one list (RFC 9110 section 5.3).
func (h *Head) joinCodings(codings, value string) string {
	if h.hasTransferEncoding {
		codings += ","
	}
	h.hasTransferEncoding = true
	return codings + value
}

// setPersistence reads the options of a Connection field (RFC 9112 section 9.3). HTTP/1.0 closes unless it says keep-alive.
func (h *Head) setPersistence(options string) {
	if hasListMember(options, "close") {
		h.Close = true
		return
	}
	if h.Minor == 0 && hasListMember(options, "keep-alive") {
		h.Close = false
	}
}

// setExpectation reads an Expect field (RFC 9110 section 10.1.1). HTTP/1.0 clients are not sent 100.
func (h *Head) setExpectation(value string) *Error {
	if !equalFold(value, "100-continue") {
		return &Error{statusExpectationFailed, "an expectation other than 100-continue"}
	}
	h.Continue = h.Minor == 1
	return nil
}

// setTransferCoding takes the transfer codings of a message, of which chunked alone is offered (RFC 9112 sections 6.1 and
// 6.3). A message with Content-Length too, or in HTTP/1.0, might be framed otherwise by another parser, and is refused.
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

// resolveResponseBody settles the length of a response's body where its status, or the request's method, decides it (RFC
// 9112 section 6.3).
func (h *Head) resolveResponseBody(method string) *Error {
	if h.Status == statusSwitchingProtocols {
		return badRequest("a switch of protocols that nobody asked for")
	}
	bodiless := h.isInterim() || h.Status == statusNoContent // Transfer-Encoding is not allowed either (section 6.1)
	if bodiless && h.hasTransferEncoding {
		return badRequest("Transfer-Encoding where there is no body")
	}
	if bodiless || h.Status == statusNotModified || method == "HEAD" {
		h.Length = 0
		return nil
	}
	if !h.hasTransferEncoding && !h.hasContentLength {
		h.Length = UntilClose
		h.Close = true
	}
	return nil
}

// isInterim reports whether a response is followed by the final one (1xx, RFC 9110 section 15.2).
func (h *Head) isInterim() bool { return h.Status < statusOK }
