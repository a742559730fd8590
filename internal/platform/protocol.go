package platform

import (
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

const path = "/api" // of every request that clients make

var (
	ready       = protocol.LocalResponse{Status: 200, Kind: "ready"}
	noRoute     = refusal(404, "no-route", "No such path", "Requests go to "+path+".")
	noMethod    = refusal(405, "no-method", "No such method", "The class of the request has another method.")
	badID       = refusal(400, "id", "Bad X-Request-Id", "Expected 16 hex digits.")
	badClass    = refusal(400, "class", "Bad X-Class", "There is no such class.")
	badPlan     = refusal(400, "plan", "Bad X-Tier", "There is no such plan.")
	badCustomer = refusal(400, "client", "Bad client", "Expected one number below 2^33 in 16 hex digits.")
	badDeadline = refusal(400, "deadline", "Bad X-Deadline-Ms", "Expected whole milliseconds above 0.")
	badTerms    = refusal(400, "terms", "Bad X-Call-Terms", "Expected units, spread and first within their bounds.")
	badKey      = refusal(400, "idempotency-key", "Bad Idempotency-Key", "Keyed classes need one, others have none.")
	badBody     = refusal(400, "body", "Unexpected body", "A GET has none.")
)

func refusal(status int, kind, title, detail string) protocol.LocalResponse {
	return protocol.LocalResponse{Status: status, Kind: kind, Title: title, Detail: detail, RetryIsSafe: true}
}

// ParseRequest takes a request's head apart. A head that could be read in two ways is refused: fields that stand twice too.
func (n *Node) ParseRequest(h *http1.Head, ask *protocol.RequestInfo) *protocol.LocalResponse {
	if h.Path == "/ready" {
		if h.Method != "GET" {
			return &noMethod
		}
		return &ready
	}
	if h.Path != path || h.Target[0] != '/' {
		return &noRoute
	}
	var id, class, tier, deadline, terms, key, retry string
	var seen uint8
	for i := range h.Fields {
		f := &h.Fields[i]
		bit, to := uint8(0), &id
		switch len(f.Name) {
		case 12:
			if http1.EqualName(f.Name, "X-Request-Id") {
				bit = 1
			} else if http1.EqualName(f.Name, "X-Call-Terms") {
				bit, to = 2, &terms
			}
		case 7:
			if http1.EqualName(f.Name, "X-Class") {
				bit, to = 4, &class
			} else if http1.EqualName(f.Name, "X-Retry") {
				bit, to = 8, &retry
			}
		case 6:
			if http1.EqualName(f.Name, "X-Tier") {
				bit, to = 16, &tier
			}
		case 13:
			if http1.EqualName(f.Name, "X-Deadline-Ms") {
				bit, to = 32, &deadline
			}
		case 15:
			if http1.EqualName(f.Name, "Idempotency-Key") {
				bit, to = 64, &key
			}
		}
		if bit == 0 {
			continue
		}
		if seen&bit != 0 {
			return &badID
		}
		seen |= bit
		*to = f.Value
	}
	if len(id) != 16 || !isHex(id) {
		return &badID
	}
	op := n.classes[tidy.Replace(class)] // settings have names in that form, whatever form others have them in
	if op == nil {
		return &badClass
	}
	plan, ok := n.plans[tidy.Replace(tier)]
	if !ok {
		return &badPlan
	}
	customer, ok := n.customer(h.Query)
	if !ok {
		return &badCustomer
	}
	ms, err := strconv.ParseUint(deadline, 10, 32)
	if err != nil || ms == 0 {
		return &badDeadline
	}
	ask.Operation, ask.Class, ask.UniqueName, ask.IsRetry = op, decision.ClassID(op.Index), id, retry == "1"
	ask.Timeout = time.Duration(ms) * time.Millisecond
	ask.Customer = &config.Customer{Name: customer, Plan: plan, PlanName: tier}
	if !n.terms(terms, ask) {
		return &badTerms
	}
	repeat := n.Config.Settings.Classes[op.Index].Idempotency
	switch {
	case (h.Method == "GET") != (repeat == decision.Idempotent) || repeat != decision.Idempotent && h.Method != "POST":
		return &noMethod
	case (key != "") != (repeat == decision.IdempotentByKey):
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

// customer finds the customer in a query: one parameter client, and nothing else under that name.
func (n *Node) customer(query string) (string, bool) {
	found := ""
	for query != "" {
		var one string
		one, query, _ = strings.Cut(query, "&")
		if v, ok := strings.CutPrefix(one, "client="); ok {
			if found != "" {
				return "", false
			}
			found = v
		}
	}
	if len(found) != 16 || !isHex(found) {
		return "", false
	}
	x, err := strconv.ParseUint(found, 16, 64)
	return found, err == nil && x < 1<<33
}

// terms reads "units=2,spread=3,first=1".
func (n *Node) terms(v string, ask *protocol.RequestInfo) bool {
	var got uint8
	for v != "" {
		var one string
		one, v, _ = strings.Cut(v, ",")
		name, value, _ := strings.Cut(strings.Trim(one, " "), "=")
		bit := uint8(0)
		switch name {
		case "units":
			x, err := strconv.ParseFloat(value, 64)
			if err != nil || !(x > 0) || x > n.Config.Settings.MaxUnits {
				return false
			}
			ask.Units, bit = x, 1
		case "spread":
			k, err := strconv.Atoi(value)
			if err != nil || k < 1 || k > n.doors {
				return false
			}
			ask.Customer.Spread, bit = k, 2
		case "first":
			k, err := strconv.Atoi(value)
			if err != nil || k < 0 || k >= n.doors {
				return false
			}
			ask.Customer.First, bit = k, 4
		default:
			continue
		}
		if got&bit != 0 {
			return false
		}
		got |= bit
	}
	return got == 7
}

// RenderRequest renders a request for backends: what has to pass through, and no more.
func (n *Node) RenderRequest(b []byte, h *http1.Head, body []byte, _ []http1.Field, _ string) ([]byte, int) {
	b = append(append(append(b, h.Method...), ' '), h.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", h.Authority)
	for i := range h.Fields {
		f := &h.Fields[i]
		if http1.EqualName(f.Name, "X-Request-Id") || http1.EqualName(f.Name, "Idempotency-Key") {
			b = http1.AppendField(b, f.Name, f.Value)
		}
	}
	if h.Method == "POST" {
		b = http1.AppendLength(b, int64(len(body)))
	}
	head := len(b)
	b = append(b, '\r', '\n')
	return append(b, body...), head
}

// RenderAttempt adds how long the front door waits.
func (n *Node) RenderAttempt(wire []byte, head int, left time.Duration) []byte {
	if head == 0 {
		return wire // a probe
	}
	b := make([]byte, 0, len(wire)+32)
	b = append(append(b, wire[:head]...), "X-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, '\r', '\n')
	return append(b, wire[head:]...)
}

// RenderProbe asks for the load report.
func (n *Node) RenderProbe(addr string) []byte {
	return []byte("GET /status/load HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")
}

// ParseResponse reads an answer's outcome and its load report, which of a probe is the body.
func (n *Node) ParseResponse(h *http1.Head, body []byte, probe bool) protocol.ResponseReport {
	var r protocol.ResponseReport
	switch mark, ok := h.Get("X-Not-Run"); {
	case h.Status == 200:
	case (h.Status == 503 || h.Status == 504) && ok && mark == "1":
		r.Outcome = decision.Rejected
	default:
		r.Outcome = decision.BackendError
	}
	if v, ok := h.Get("X-Load"); ok {
		r.Load = n.load(v)
	} else if probe && h.Status == 200 {
		r.Load = n.load(strings.TrimSpace(string(body)))
	}
	return r
}

// figures are the names that the protocol has for the figures of a load report.
var figures = map[string]decision.LoadField{"inflight": decision.FieldInFlight, "queue": decision.FieldQueue, "util": decision.FieldUtil,
	"latency_ms": decision.FieldLatency, "qps": decision.FieldServed, "eps": decision.FieldErrors}

// load reads "inflight=7,queue=2,util=0.61", by those names or by those of the settings. What can't be read is not told.
func (n *Node) load(v string) []float64 {
	fields := n.Config.Settings.LoadFields
	load := make([]float64, len(fields))
	for i := range load {
		load[i] = math.NaN()
	}
	for v != "" {
		var one string
		one, v, _ = strings.Cut(v, ",")
		name, value, _ := strings.Cut(strings.Trim(one, " "), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsInf(x, 0) || x < 0 {
			continue
		}
		is := figures[name]
		for i := range load {
			if n.loads[i] == name || is != decision.FieldOther && fields[i] == is {
				load[i] = x
			}
		}
	}
	return load
}

// RenderResponseHead keeps the status; what else a backend tells is for the front door alone.
func (n *Node) RenderResponseHead(b []byte, h *http1.Head) []byte {
	return http1.AppendStatus(b, h.Status, http1.StatusText(h.Status))
}

// AppendRetryAfter is in seconds with a decimal fraction, rounded up to milliseconds.
func (n *Node) AppendRetryAfter(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}

// NewCounterCodec begins a connection to the counter.
func (n *Node) NewCounterCodec() protocol.CounterCodec { return &counter{} }
