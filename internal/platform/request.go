package platform

import (
	"strconv"
	"strings"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

const (
	apiPath         = "/api"   // path of all requests for backends
	readyPath       = "/ready" // answered by the instance itself
	requestIDDigits = 16       // hex digits of X-Request-Id
	customerDigits  = 16       // hex digits of a customer's number
	maxCustomer     = 1 << 33  // exclusive upper bound of customers' numbers
	minUnits        = 1        // units of the smallest request; the settings have the largest
)

// Responses that the instance sends by itself. Their kinds and texts are part of the protocol.
var (
	ready       = protocol.LocalResponse{Status: 200, Kind: "ready"}
	noRoute     = clientError(404, "no-route", "No such path", "Requests go to "+apiPath+".")
	noMethod    = clientError(405, "no-method", "No such method", "The class of the request has another method.")
	badID       = clientError(400, "id", "Bad X-Request-Id", "Expected 16 hex digits.")
	badClass    = clientError(400, "class", "Bad X-Class", "There is no such class.")
	badPlan     = clientError(400, "plan", "Bad X-Tier", "There is no such plan.")
	badCustomer = clientError(400, "client", "Bad client", "Expected one number below 2^33 in 16 hex digits.")
	badDeadline = clientError(400, "deadline", "Bad X-Deadline-Ms", "Expected whole milliseconds above 0.")
	badTerms    = clientError(400, "terms", "Bad X-Call-Terms", "Expected units, spread and first within their bounds.")
	badKey      = clientError(400, "idempotency-key", "Bad Idempotency-Key", "Keyed classes need one, others have none.")
	badBody     = clientError(400, "body", "Unexpected body", "A GET has none.")
)

func clientError(status int, kind, title, detail string) protocol.LocalResponse {
	return protocol.LocalResponse{Status: status, Kind: kind, Title: title, Detail: detail, RetryIsSafe: true}
}

// requestField is a request header field that the protocol defines.
type requestField int

const (
	fieldRequestID requestField = iota
	fieldClass
	fieldPlan
	fieldDeadline
	fieldTerms
	fieldIdempotencyKey
	fieldRetry
	fieldCount
)

// fieldNames are the names of the fields in the protocol.
var fieldNames = [fieldCount]string{
	fieldRequestID:      "X-Request-Id",
	fieldClass:          "X-Class",
	fieldPlan:           "X-Tier",
	fieldDeadline:       "X-Deadline-Ms",
	fieldTerms:          "X-Call-Terms",
	fieldIdempotencyKey: "Idempotency-Key",
	fieldRetry:          "X-Retry",
}

// requestFields are the values of the known fields; "" for an absent field.
type requestFields [fieldCount]string

// parse sets the values of the known fields. It returns false if one of them is repeated, even with the same value: a
// backend could use the other one.
func (f *requestFields) parse(fields []http1.Field) bool {
	var seen [fieldCount]bool
	for i := range fields {
		for known, name := range &fieldNames {
			if !http1.EqualName(fields[i].Name, name) {
				continue
			}
			if seen[known] {
				return false
			}
			seen[known] = true
			f[known] = fields[i].Value
			break
		}
	}
	return true
}

// ParseRequest parses the head of a client's request into info. It returns the instance's own response if the request needs
// no backend or is invalid, and nil otherwise. An ambiguous head is rejected.
func (n *Node) ParseRequest(h *http1.Head, info *protocol.RequestInfo) *protocol.LocalResponse {
	if h.Path == readyPath {
		if h.Method != "GET" {
			return &noMethod
		}
		return &ready
	}
	if h.Path != apiPath || h.Target[0] != '/' {
		return &noRoute
	}
	var fields requestFields
	if !fields.parse(h.Fields) {
		return &badID
	}
	if response := n.parseIdentity(h, &fields, info); response != nil {
		return response
	}
	if !n.parseTerms(fields[fieldTerms], info) {
		return &badTerms
	}
	return n.checkMethod(h, fields[fieldIdempotencyKey] != "", info)
}

// parseIdentity parses the request's ID, class, plan, customer and timeout. If one of them is invalid, it returns a response
// and leaves info unchanged.
func (n *Node) parseIdentity(h *http1.Head, fields *requestFields, info *protocol.RequestInfo) *protocol.LocalResponse {
	id := fields[fieldRequestID]
	if len(id) != requestIDDigits || !isHex(id) {
		return &badID
	}
	operation := n.operations[nameReplacer.Replace(fields[fieldClass])] // settings have names in that form
	if operation == nil {
		return &badClass
	}
	plan, ok := n.plans[nameReplacer.Replace(fields[fieldPlan])]
	if !ok {
		return &badPlan
	}
	customer, ok := parseCustomer(h.Query)
	if !ok {
		return &badCustomer
	}
	timeout, ok := parseTimeout(fields[fieldDeadline])
	if !ok {
		return &badDeadline
	}
	info.Operation, info.Class = operation, decision.ClassID(operation.Index)
	info.UniqueName, info.IsRetry, info.Timeout = id, fields[fieldRetry] == "1", timeout
	info.Customer = &config.Customer{Name: customer, Plan: plan, PlanName: fields[fieldPlan]}
	return nil
}

// checkMethod rejects a method, idempotency key or body that the request's class does not allow.
func (n *Node) checkMethod(h *http1.Head, hasKey bool, info *protocol.RequestInfo) *protocol.LocalResponse {
	idempotency := n.Config.Settings.Classes[info.Operation.Index].Idempotency
	method := "POST"
	if idempotency == decision.Idempotent {
		method = "GET"
	}
	switch {
	case h.Method != method:
		return &noMethod
	case hasKey != (idempotency == decision.IdempotentByKey):
		return &badKey
	case h.Method == "GET" && h.Length != 0:
		return &badBody
	}
	return nil
}

func isHex(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func parseTimeout(text string) (time.Duration, bool) {
	ms, err := strconv.ParseUint(text, 10, 32)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// parseCustomer returns the customer in a query, which must have exactly one parameter with the name client.
func parseCustomer(query string) (string, bool) {
	found := ""
	for query != "" {
		var parameter string
		parameter, query, _ = strings.Cut(query, "&")
		value, ok := strings.CutPrefix(parameter, "client=")
		if !ok {
			continue
		}
		if found != "" {
			return "", false
		}
		found = value
	}
	if len(found) != customerDigits || !isHex(found) {
		return "", false
	}
	number, err := strconv.ParseUint(found, 16, 64)
	return found, err == nil && number < maxCustomer
}

// termSet is a set of the terms in X-Call-Terms, each of which a request must have exactly once.
type termSet uint8

const (
	termUnits termSet = 1 << iota
	termSpread
	termFirst
	allTerms = termUnits | termSpread | termFirst
)

// parseTerms parses terms such as "units=2,spread=3,first=1" into info. Unknown terms are ignored. It reports false if
// a term is missing, repeated or out of bounds.
func (n *Node) parseTerms(list string, info *protocol.RequestInfo) bool {
	var seen termSet
	for list != "" {
		var item string
		item, list, _ = strings.Cut(list, ",")
		name, value, _ := strings.Cut(strings.Trim(item, " "), "=")
		this, ok := n.parseTerm(name, value, info)
		if !ok || seen&this != 0 {
			return false
		}
		seen |= this
	}
	return seen == allTerms
}

// parseTerm parses one term. It returns 0 for an unknown term; ok is false for a value out of bounds.
func (n *Node) parseTerm(name, value string, info *protocol.RequestInfo) (t termSet, ok bool) {
	switch name {
	case "units":
		units, ok := parseDecimal(value)
		if !ok || units < minUnits || units > n.Config.Settings.MaxUnits {
			return 0, false
		}
		info.Units, t = units, termUnits
	case "spread":
		spread, err := strconv.Atoi(value)
		if err != nil || spread < 1 || spread > n.instances {
			return 0, false
		}
		info.Customer.Spread, t = spread, termSpread
	case "first":
		first, err := strconv.Atoi(value)
		if err != nil || first < 0 || first >= n.instances {
			return 0, false
		}
		info.Customer.First, t = first, termFirst
	}
	return t, true
}

// parseDecimal parses a finite decimal number. It rejects the other forms that strconv accepts: hexadecimal numbers, infinities
// and NaN.
func parseDecimal(text string) (number float64, ok bool) {
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}

// RenderRequest appends a request for backends to b, with only the fields that the protocol forwards. It returns the offset
// of the empty line that ends the head, where RenderAttempt adds the field that differs between attempts.
func (n *Node) RenderRequest(b []byte, h *http1.Head, body []byte, _ []http1.Field, _ string) ([]byte, int) {
	b = append(append(append(b, h.Method...), ' '), h.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", h.Authority)
	for i := range h.Fields {
		f := &h.Fields[i]
		if http1.EqualName(f.Name, fieldNames[fieldRequestID]) || http1.EqualName(f.Name, fieldNames[fieldIdempotencyKey]) {
			b = http1.AppendField(b, f.Name, f.Value)
		}
	}
	if h.Method == "POST" {
		b = http1.AppendLength(b, int64(len(body)))
	}
	attemptFieldsAt := len(b)
	b = append(b, '\r', '\n')
	return append(b, body...), attemptFieldsAt
}

// RenderAttempt adds to a rendered request the time for which the instance waits for a response, in whole milliseconds, at
// least 1. A probe, for which attemptFieldsAt is 0, is returned unchanged.
func (n *Node) RenderAttempt(rendered []byte, attemptFieldsAt int, timeLeft time.Duration) []byte {
	if attemptFieldsAt == 0 {
		return rendered
	}
	b := make([]byte, 0, len(rendered)+32)
	b = append(append(b, rendered[:attemptFieldsAt]...), "X-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(1, timeLeft.Milliseconds()), 10)
	b = append(b, '\r', '\n')
	return append(b, rendered[attemptFieldsAt:]...)
}

// RenderProbe returns a request for the load report of the backend at an address.
func (n *Node) RenderProbe(addr string) []byte {
	return []byte("GET /status/load HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")
}
