package http1

// Status codes that affect the parsing of a message, or that errors of this package use (RFC 9110 section 15).
const (
	statusSwitchingProtocols     = 101
	statusOK                     = 200 // the first code that is not interim (1xx)
	statusNoContent              = 204
	statusNotModified            = 304
	statusBadRequest             = 400
	statusURITooLong             = 414
	statusExpectationFailed      = 417
	statusHeaderFieldsTooLarge   = 431 // RFC 6585 section 5
	statusNotImplemented         = 501
	statusHTTPVersionUnsupported = 505
)

// unknownReason is the reason phrase of a status that is not in reasons. Clients ignore the phrase (RFC 9112 section 4).
const unknownReason = "Status"

// reasons maps the statuses of the gateway's local responses to reason phrases (RFC 9110 section 15, RFC 6585).
var reasons = map[int]string{
	100: "Continue",

	200: "OK",
	201: "Created",
	204: "No Content",

	400: "Bad Request",
	401: "Unauthorized",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	413: "Content Too Large",
	414: "URI Too Long",
	417: "Expectation Failed",
	429: "Too Many Requests",
	431: "Request Header Fields Too Large",

	500: "Internal Server Error",
	501: "Not Implemented",
	502: "Bad Gateway",
	503: "Service Unavailable",
	504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// StatusText returns the reason phrase of a status that the gateway uses in local responses, and "Status" for any other.
func StatusText(status int) string {
	if reason, ok := reasons[status]; ok {
		return reason
	}
	return unknownReason
}
