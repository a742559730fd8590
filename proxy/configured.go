package proxy

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
	"sandyard/routes"
)

// loadReportField is the response header field that carries a backend's load report, as defined by ORCA.
const loadReportField = "endpoint-load-metrics"

// configuredProtocol implements the protocol of the configuration file: operations and costs come from the OpenAPI
// description, customers have keys, load reports use the ORCA format, and the counter speaks RESP.
type configuredProtocol struct {
	cfg *config.Config
	via string // name of this instance in Via (RFC 9110 section 7.6.3)
}

// NewConfiguredProtocol returns the protocol that a configuration file describes. via is the instance's name in Via.
func NewConfiguredProtocol(cfg *config.Config, via string) protocol.Protocol {
	return &configuredProtocol{cfg, via}
}

// ParseRequest implements protocol.Protocol.
func (p *configuredProtocol) ParseRequest(h *http1.Head, info *protocol.RequestInfo) *protocol.LocalResponse {
	return identifyCustomer(p.cfg, h, info)
}

// identifyCustomer sets info's customer, found by the request's key, and then the rest of info with matchRoute.
func identifyCustomer(cfg *config.Config, h *http1.Head, info *protocol.RequestInfo) *localResponse {
	key, ok := h.Get(cfg.Headers.Key)
	if !ok {
		if key = bearerToken(h); key == "" {
			return &missingKey
		}
	}
	info.Customer = cfg.CustomerByKey(key)
	if info.Customer == nil {
		return &unknownKey
	}
	return matchRoute(cfg, h, info)
}

// matchRoute sets info's operation and the values that depend on it, for a request whose customer is known.
func matchRoute(cfg *config.Config, h *http1.Head, info *protocol.RequestInfo) *localResponse {
	operation, result := cfg.Routes.Match(h.Method, h.Path)
	switch result {
	case routes.Found:
	case routes.MethodNotAllowed:
		return &methodNotAllowed
	case routes.BadPath:
		return &ambiguousPath
	default:
		return &pathNotFound
	}
	info.Operation, info.Class = operation, cfg.ClassByOperation[operation.Index]
	var ok bool
	if info.Units, ok = operation.Units.ForRequest(h.Query, h.Get); !ok {
		return &invalidUnits
	}
	class := &cfg.Settings.Classes[info.Class]
	if class.Idempotency == decision.IdempotentByKey {
		if key, _ := h.Get("Idempotency-Key"); key == "" {
			return &missingIdempotencyKey
		}
	}
	if info.Timeout, ok = clientTimeout(cfg, h, class.Deadline); !ok {
		return &invalidTimeout
	}
	if retry, ok := h.Get(cfg.Headers.Retry); ok && retry != "0" && retry != "" {
		info.IsRetry = true
	}
	return nil
}

// clientTimeout returns how long the client waits: the time that it sent in milliseconds, or the deadline of the class if
// that is shorter or the client sent none. It reports false if the client's value is not a valid number of milliseconds.
func clientTimeout(cfg *config.Config, h *http1.Head, deadline time.Duration) (time.Duration, bool) {
	field, ok := h.Get(cfg.Headers.Timeout)
	if !ok {
		return deadline, true
	}
	milliseconds, err := strconv.ParseFloat(field, 64)
	if err != nil || !(milliseconds >= 0) || math.IsInf(milliseconds, 0) {
		return 0, false
	}
	if milliseconds < float64(deadline/time.Millisecond) {
		return time.Duration(milliseconds * float64(time.Millisecond)), true
	}
	return deadline, true
}

// bearerToken returns the token of an Authorization field with the Bearer scheme, or "" if there is none.
func bearerToken(h *http1.Head) string {
	v, _ := h.Get("Authorization")
	if len(v) > 7 && strings.EqualFold(v[:7], "Bearer ") {
		return v[7:]
	}
	return ""
}

// RenderRequest implements protocol.Protocol. It removes hop-by-hop fields and the customer's key, and adds the client's
// address and the instance's name. Attempts add nothing.
func (p *configuredProtocol) RenderRequest(b []byte, h *http1.Head, body []byte, trailers []http1.Field, clientAddr string) ([]byte, int) {
	b = append(b, h.Method...)
	b = append(b, ' ')
	b = append(b, h.Path...)
	if i := strings.IndexByte(h.Target, '?'); i >= 0 {
		b = append(b, h.Target[i:]...)
	}
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", h.Authority)
	b = p.appendForwardedFields(b, h, clientAddr)
	b = append(b, "Via: 1."...)
	b = strconv.AppendInt(b, int64(h.Minor), 10)
	b = append(b, ' ')
	b = append(b, p.via...)
	b = append(b, '\r', '\n')
	switch {
	case len(trailers) > 0:
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
		b = http1.AppendChunk(b, body)
		return http1.AppendLastChunk(b, trailers), 0
	case h.Length != 0 || h.Method == "POST" || h.Method == "PUT" || h.Method == "PATCH":
		b = http1.AppendLength(b, int64(len(body)))
	}
	b = append(b, '\r', '\n')
	return append(b, body...), 0
}

// appendForwardedFields appends the client's fields that are forwarded to backends, and X-Forwarded-For with the client's
// address.
func (p *configuredProtocol) appendForwardedFields(b []byte, h *http1.Head, clientAddr string) []byte {
	forwarded := ""
	b = http1.AppendFields(b, h, func(name string) bool {
		switch len(name) {
		case len("Host"):
			return http1.EqualName(name, "Host")
		case len("X-Forwarded-For"):
			if http1.EqualName(name, "X-Forwarded-For") {
				if v, ok := h.Get(name); ok {
					forwarded = v + ", "
				}
				return true
			}
		}
		return http1.EqualName(name, p.cfg.Headers.Key) || http1.EqualName(name, "Authorization") && bearerToken(h) != ""
	})
	b = append(b, "X-Forwarded-For: "...)
	b = append(b, forwarded...)
	b = append(b, clientAddr...)
	return append(b, '\r', '\n')
}

// RenderAttempt implements protocol.Protocol. Every attempt sends the request as rendered. Backends are not informed of how
// long the instance waits.
func (p *configuredProtocol) RenderAttempt(wire []byte, _ int, _ time.Duration) []byte { return wire }

// RenderProbe implements protocol.Protocol with a GET of probes.path.
func (p *configuredProtocol) RenderProbe(addr string) []byte {
	b := append([]byte("GET "), p.cfg.Probes.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	return append(append(b, addr...), "\r\n\r\n"...)
}

// AppendRetryAfter implements protocol.Protocol, in whole seconds, rounded up (RFC 9110 section 10.2.3).
func (p *configuredProtocol) AppendRetryAfter(b []byte, after time.Duration) []byte {
	return strconv.AppendInt(b, int64((after+time.Second-1)/time.Second), 10)
}

// RenderResponseHead implements protocol.Protocol. It omits the backend's load report, which is only for this instance.
func (p *configuredProtocol) RenderResponseHead(b []byte, h *http1.Head) []byte {
	b = http1.AppendStatus(b, h.Status, h.Reason)
	b = http1.AppendFields(b, h, func(name string) bool {
		return len(name) == len(loadReportField) && http1.EqualName(name, loadReportField)
	})
	b = append(b, "Via: 1.1 "...)
	b = append(b, p.via...)
	return append(b, '\r', '\n')
}

// ParseResponse implements protocol.Protocol. Only the statuses listed in the configuration mean that the backend rejected
// the request without running it.
func (p *configuredProtocol) ParseResponse(h *http1.Head, _ []byte, _ bool) protocol.ResponseReport {
	var report protocol.ResponseReport
	switch {
	case slices.Contains(p.cfg.File.Backends.RejectedStatuses, h.Status):
		report.Outcome = decision.Rejected
	case h.Status >= 500:
		report.Outcome = decision.BackendError
	}
	if len(p.cfg.LoadReportNames) > 0 {
		if v, ok := h.Get(loadReportField); ok {
			report.Load = parseLoad(v, p.cfg.LoadReportNames)
		}
	}
	if p.cfg.Settings.UnitsSettleLater {
		if v, ok := h.Get(p.cfg.Headers.Units); ok {
			if units, err := strconv.ParseFloat(v, 64); err == nil && units >= 0 && !math.IsInf(units, 0) {
				report.Units = units
			}
		}
	}
	return report
}

// parseLoad parses a report in the TEXT format of ORCA's endpoint-load-metrics, for example "TEXT cpu_utilization=0.3,
// named_metrics.in_flight=4". It returns a value for each of names: NaN, which the decision gateway ignores, if a value is
// missing or not a number. It returns nil for a report in another format.
func parseLoad(v string, names []string) []float64 {
	rest, ok := strings.CutPrefix(v, "TEXT ")
	if !ok {
		return nil
	}
	load := make([]float64, len(names))
	for i := range load {
		load[i] = math.NaN()
	}
	for rest != "" {
		var pair string
		pair, rest, _ = strings.Cut(rest, ",")
		name, value, _ := strings.Cut(strings.Trim(pair, " "), "=")
		for i := range names {
			if names[i] == name {
				if x, err := strconv.ParseFloat(value, 64); err == nil {
					load[i] = x
				}
			}
		}
	}
	return load
}
