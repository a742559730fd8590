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

// Inspection is a query for how an instance would classify a request before the decision: its operation, customer and cost.
type Inspection struct {
	Method, Target string
	Fields         []string // header fields, as "Name: value"
	Key            string   // the customer's key; empty: Customer or Fields identify the customer
	Customer       string   // the customer's name, used if Key is empty
}

// InspectionResult is the result of an Inspection. Its JSON keys are part of the stable output; do not change them.
type InspectionResult struct {
	Method      string  `json:"method"`
	Target      string  `json:"target"`
	Operation   string  `json:"operation,omitempty"`
	Line        int     `json:"line,omitempty"` // of the operation in the OpenAPI description
	Class       string  `json:"class,omitempty"`
	Idempotency string  `json:"repeat,omitempty"`
	Units       float64 `json:"units"`
	Customer    string  `json:"studio,omitempty"`
	Plan        string  `json:"plan,omitempty"`
	Deadline    string  `json:"deadline,omitempty"`
	Status      int     `json:"status,omitempty"` // of the local response; 0: the request needs a decision
	Reason      string  `json:"why,omitempty"`
}

// Run performs the inspection with a configuration, using the code that handles requests. It is safe for concurrent use and
// does not block.
func (inspection Inspection) Run(cfg *config.Config) InspectionResult {
	out := InspectionResult{Method: inspection.Method, Target: inspection.Target}
	reader := http1.NewRequests(http1.Limits{Head: int(cfg.Limits.Head), Fields: cfg.Limits.Fields})
	_, part, err := reader.Feed([]byte(inspection.requestText(cfg)))
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
		out.Operation, out.Line, out.Class = op.ID, op.Line, op.Class
		out.Idempotency = idempotencyText(cfg.Settings.Classes[identification.Class])
		out.Units, out.Deadline = identification.Units, identification.Timeout.String()
	}
	out.Status, out.Reason = identification.LocalResponse()
	return out
}

// requestText returns the head of the inspected request.
func (inspection Inspection) requestText(cfg *config.Config) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: routes\r\n", inspection.Method, inspection.Target)
	for _, field := range inspection.Fields {
		name, value, _ := strings.Cut(field, ":")
		fmt.Fprintf(&text, "%s: %s\r\n", name, strings.TrimSpace(value))
	}
	if inspection.Key != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", cfg.Headers.Key, inspection.Key)
	}
	text.WriteString("\r\n")
	return text.String()
}

// idempotencyText describes whether requests of a class may run twice. The texts are part of the stable output; do not
// change them.
func idempotencyText(class decision.Class) string {
	switch class.Idempotency {
	case decision.Idempotent:
		return "safe"
	case decision.IdempotentByKey:
		return fmt.Sprintf("keyed for %v within %s", class.KeyTTL, [...]string{"all boxes", "its zone", "its cell"}[class.KeyScope])
	}
	return "unsafe"
}

// Query returns the inspection as the query of a request to the admin socket. ParseInspection is its inverse.
func (inspection Inspection) Query() string {
	query := url.Values{
		"method": {inspection.Method},
		"target": {inspection.Target},
		"fields": {strings.Join(inspection.Fields, "\n")},
		"key":    {inspection.Key},
		"studio": {inspection.Customer},
	}
	return query.Encode()
}

// ParseInspection returns the inspection that Query encoded as query parameters.
func ParseInspection(query map[string]string) Inspection {
	inspection := Inspection{Method: query["method"], Target: query["target"], Key: query["key"], Customer: query["studio"]}
	for field := range strings.SplitSeq(query["fields"], "\n") {
		if field != "" {
			inspection.Fields = append(inspection.Fields, field)
		}
	}
	return inspection
}

// Identification is how an instance classifies a request before the decision.
type Identification struct {
	protocol.RequestInfo
	localResponse *localResponse // nil: the request needs a decision
}

// LocalResponse returns the status and kind of the request's local response, or 0 and "" if the request needs a decision.
func (identification Identification) LocalResponse() (status int, kind string) {
	if identification.localResponse == nil {
		return 0, ""
	}
	return identification.localResponse.Status, identification.localResponse.Kind
}

// Identify returns how an instance with the configuration cfg classifies a request with the head h, using the code that
// handles requests.
func Identify(cfg *config.Config, h *http1.Head) Identification {
	var identification Identification
	identification.localResponse = identifyCustomer(cfg, h, &identification.RequestInfo)
	if identification.localResponse == nil && h.Length > int64(cfg.Limits.Body) {
		identification.localResponse = &bodyTooLarge
	}
	return identification
}

// IdentifyFor is like Identify, for a customer whose key the caller does not have. A nil customer is unknown. Unlike
// Identify, it does not check the length of the body.
func IdentifyFor(cfg *config.Config, h *http1.Head, customer *config.Customer) Identification {
	var identification Identification
	identification.Customer = customer
	if customer == nil {
		identification.localResponse = &unknownKey
	} else {
		identification.localResponse = matchRoute(cfg, h, &identification.RequestInfo)
	}
	return identification
}
