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
func (inspection Inspection) Run(cfg *config.Config) InspectionResult {
	out := InspectionResult{Method: inspection.Method, Target: inspection.Target}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: routes\r\n", inspection.Method, inspection.Target)
	for _, h := range inspection.Fields {
		name, value, _ := strings.Cut(h, ":")
		fmt.Fprintf(&text, "%s: %s\r\n", name, strings.TrimSpace(value))
	}
	if inspection.Key != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", cfg.Headers.Key, inspection.Key)
	}
	text.WriteString("\r\n")
	_, part, err := http1.NewRequests(http1.Limits{Head: int(cfg.Limits.Head), Fields: cfg.Limits.Fields}).Feed([]byte(text.String()))
	if err != nil || part.Kind != http1.HeadEnd {
		out.Status, out.Reason = 400, "malformed"
		var e *http1.Error
		if errors.As(err, &e) {
			out.Status, out.Reason = e.Status, e.Reason
		}
		return out
	}
	var identification Identification
	if inspection.Customer != "" && inspection.Key == "" {
		identification = IdentifyFor(cfg, part.Head, cfg.CustomerByName(inspection.Customer))
	} else {
		identification = Identify(cfg, part.Head)
	}
	if identification.Customer != nil {
		out.Customer, out.Plan = identification.Customer.Name, identification.Customer.PlanName
	}
	if op := identification.Operation; op != nil {
		out.Operation, out.Line, out.Class, out.Idempotency = op.ID, op.Line, op.Class, idempotencyText(cfg.Settings.Classes[identification.Class])
		out.Units, out.Deadline = identification.Units, identification.Timeout.String()
	}
	out.Status, out.Reason = identification.LocalResponse()
	return out
}

func idempotencyText(class decision.Class) string {
	switch class.Idempotency {
	case decision.Idempotent:
		return "safe"
	case decision.IdempotentByKey:
		return fmt.Sprintf("keyed for %v within %s", class.KeyTTL, [...]string{"all boxes", "its zone", "its cell"}[class.KeyScope])
	}
	return "unsafe"
}

// Query is the look as the query of a request to the admin socket.
func (inspection Inspection) Query() string {
	return url.Values{"method": {inspection.Method}, "target": {inspection.Target}, "fields": {strings.Join(inspection.Fields, "\n")}, "key": {inspection.Key}, "studio": {inspection.Customer}}.Encode()
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

// Identification is what a front door makes of a request before anything is decided.
type Identification struct {
	protocol.RequestInfo
	localResponse *localResponse
}

// LocalResponse is the status of the answer that needs no decision, and why; 0 if the request goes on to one.
func (m Identification) LocalResponse() (status int, kind string) {
	if m.localResponse == nil {
		return 0, ""
	}
	return m.localResponse.Status, m.localResponse.Kind
}

// Identify is what a front door of this configuration makes of a request with this head: the same code, for tools.
func Identify(cfg *config.Config, h *http1.Head) Identification {
	var identification Identification
	if identification.localResponse = identifyCustomer(cfg, h, &identification.RequestInfo); identification.localResponse == nil && h.Length > int64(cfg.Limits.Body) {
		identification.localResponse = &bodyTooLarge
	}
	return identification
}

// IdentifyFor is the same for a studio whose key the tool does not have; nil is a studio that there is not.
func IdentifyFor(cfg *config.Config, h *http1.Head, customer *config.Customer) Identification {
	var identification Identification
	if identification.Customer = customer; customer == nil {
		identification.localResponse = &unknownKey
	} else {
		identification.localResponse = matchRoute(cfg, h, &identification.RequestInfo)
	}
	return identification
}
