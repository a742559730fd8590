package proxy

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

// Inspection is a question of a tool: what would be made of such a request, before anything is decided.
type Inspection struct {
	Method, Target string
	Fields         []string // of the request, as "Name: value"
	Key            string   // of the caller; empty: Studio says who it is, or Fields do
	Customer       string
}

// InspectionResult is the answer to a Look.
type InspectionResult struct {
	Method      string  `json:"method"`
	Target      string  `json:"target"`
	Operation   string  `json:"operation,omitempty"`
	Line        int     `json:"line,omitempty"` // in the description
	Class       string  `json:"class,omitempty"`
	Idempotency string  `json:"repeat,omitempty"`
	Units       float64 `json:"units"`
	Customer    string  `json:"studio,omitempty"`
	Plan        string  `json:"plan,omitempty"`
	Deadline    string  `json:"deadline,omitempty"`
	Status      int     `json:"status,omitempty"` // of the answer it gets without a decision
	Reason      string  `json:"why,omitempty"`
}

// Run answers by a configuration, with the code that requests go through. Any goroutine may call it.
func (l Inspection) Run(cfg *config.Config) InspectionResult {
	out := InspectionResult{Method: l.Method, Target: l.Target}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: routes\r\n", l.Method, l.Target)
	for _, h := range l.Fields {
		name, value, _ := strings.Cut(h, ":")
		fmt.Fprintf(&b, "%s: %s\r\n", name, strings.TrimSpace(value))
	}
	if l.Key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", cfg.Headers.Key, l.Key)
	}
	b.WriteString("\r\n")
	_, part, err := http1.NewRequests(http1.Limits{Head: int(cfg.Limits.Head), Fields: cfg.Limits.Fields}).Feed([]byte(b.String()))
	if err != nil || part.Kind != http1.HeadEnd {
		out.Status, out.Reason = 400, "malformed"
		var e *http1.Error
		if errors.As(err, &e) {
			out.Status, out.Reason = e.Status, e.Reason
		}
		return out
	}
	var got Match
	if l.Customer != "" && l.Key == "" {
		got = IdentifyFor(cfg, part.Head, cfg.CustomerByName(l.Customer))
	} else {
		got = Identify(cfg, part.Head)
	}
	if got.Customer != nil {
		out.Customer, out.Plan = got.Customer.Name, got.Customer.PlanName
	}
	if op := got.Operation; op != nil {
		out.Operation, out.Line, out.Class, out.Idempotency = op.ID, op.Line, op.Class, repeatText(cfg.Settings.Classes[got.Class])
		out.Units, out.Deadline = got.Units, got.Timeout.String()
	}
	out.Status, out.Reason = got.Refusal()
	return out
}

func repeatText(k decision.Class) string {
	switch k.Idempotency {
	case decision.Idempotent:
		return "safe"
	case decision.IdempotentByKey:
		return fmt.Sprintf("keyed for %v within %s", k.KeyTTL, [...]string{"all boxes", "its zone", "its cell"}[k.KeyScope])
	}
	return "unsafe"
}

// Query is the look as the query of a request to the admin socket.
func (l Inspection) Query() string {
	return url.Values{"method": {l.Method}, "target": {l.Target}, "fields": {strings.Join(l.Fields, "\n")}, "key": {l.Key}, "studio": {l.Customer}}.Encode()
}

// ParseInspection is what Query made, parsed.
func ParseInspection(q map[string]string) Inspection {
	l := Inspection{Method: q["method"], Target: q["target"], Key: q["key"], Customer: q["studio"]}
	for f := range strings.SplitSeq(q["fields"], "\n") {
		if f != "" {
			l.Fields = append(l.Fields, f)
		}
	}
	return l
}

// Match is what a front door makes of a request before anything is decided.
type Match struct {
	protocol.RequestInfo
	refusal *problem
}

// Refusal is the status of the answer that needs no decision, and why; 0 if the request goes on to one.
func (m Match) Refusal() (status int, why string) {
	if m.refusal == nil {
		return 0, ""
	}
	return m.refusal.Status, m.refusal.Kind
}

// Identify is what a front door of this configuration makes of a request with this head: the same code, for tools.
func Identify(cfg *config.Config, h *http1.Head) Match {
	var m Match
	if m.refusal = identify(cfg, h, &m.RequestInfo); m.refusal == nil && h.Length > int64(cfg.Limits.Body) {
		m.refusal = &tooLarge
	}
	return m
}

// IdentifyFor is the same for a studio whose key the tool does not have; nil is a studio that there is not.
func IdentifyFor(cfg *config.Config, h *http1.Head, studio *config.Customer) Match {
	var m Match
	if m.Customer = studio; studio == nil {
		m.refusal = &wrongKey
	} else {
		m.refusal = route(cfg, h, &m.RequestInfo)
	}
	return m
}
