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
)

// configuredProtocol is the dialect of the configuration file: routes and costs come from the OpenAPI description, customers are
// studios with keys, the counter speaks RESP.
type configuredProtocol struct {
	cfg *config.Config
	via string // how this front door names itself (RFC 9110 section 7.6.3)
}

// NewConfiguredProtocol is the dialect that a configuration file describes. via is how the front door names itself to others.
func NewConfiguredProtocol(cfg *config.Config, via string) protocol.Protocol {
	return &configuredProtocol{cfg, via}
}

func (p *configuredProtocol) ParseRequest(h *http1.Head, info *protocol.RequestInfo) *protocol.LocalResponse {
	return identifyCustomer(p.cfg, h, info)
}

func identifyCustomer(cfg *config.Config, h *http1.Head, info *protocol.RequestInfo) *localResponse {
	key, ok := h.Get(cfg.Headers.Key)
	if !ok {
		if key = bearer(h); key == "" {
			return &missingKey
		}
	}
	if info.Customer = cfg.CustomerByKey(key); info.Customer == nil {
		return &unknownKey
	}
	return matchRoute(cfg, h, info)
}

// matchRoute finds what an identified studio asks for.
func matchRoute(cfg *config.Config, h *http1.Head, info *protocol.RequestInfo) *localResponse {
	op, v := cfg.Routes.Match(h.Method, h.Path)
	switch v {
	case 0:
	case 2:
		return &methodNotAllowed
	case 3:
		return &ambiguousPath
	default:
		return &pathNotFound
	}
	info.Operation, info.Class = op, cfg.ClassByOperation[op.Index]
	var ok bool
	if info.Units, ok = op.Units.Of(h.Query, h.Get); !ok {
		return &invalidUnits
	}
	class := &cfg.Settings.Classes[info.Class]
	if class.Idempotency == decision.IdempotentByKey {
		if k, _ := h.Get("Idempotency-Key"); k == "" {
			return &missingIdempotencyKey
		}
	}
	info.Timeout = class.Deadline
	if s, ok := h.Get(cfg.Headers.Timeout); ok {
		ms, err := strconv.ParseFloat(s, 64)
		if err != nil || !(ms >= 0) || math.IsInf(ms, 0) {
			return &invalidTimeout
		}
		if ms < float64(class.Deadline/time.Millisecond) {
			info.Timeout = time.Duration(ms * float64(time.Millisecond))
		}
	}
	if s, ok := h.Get(cfg.Headers.Retry); ok && s != "0" && s != "" {
		info.IsRetry = true
	}
	return nil
}

// RenderRequest writes the request as a box gets it: hop-by-hop fields removed, this front door added.
func (p *configuredProtocol) RenderRequest(b []byte, h *http1.Head, body []byte, trailers []http1.Field, remote string) ([]byte, int) {
	b = append(b, h.Method...)
	b = append(b, ' ')
	b = append(b, h.Path...)
	if i := strings.IndexByte(h.Target, '?'); i >= 0 {
		b = append(b, h.Target[i:]...)
	}
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", h.Authority)
	forwarded := ""
	b = http1.AppendFields(b, h, func(name string) bool {
		switch len(name) {
		case 4:
			return http1.EqualName(name, "Host")
		case 15:
			if http1.EqualName(name, "X-Forwarded-For") {
				if v, ok := h.Get(name); ok {
					forwarded = v + ", "
				}
				return true
			}
		}
		return http1.EqualName(name, p.cfg.Headers.Key) || http1.EqualName(name, "Authorization") && bearer(h) != ""
	})
	b = append(b, "X-Forwarded-For: "...)
	b = append(b, forwarded...)
	b = append(b, remote...)
	b = append(b, "\r\nVia: 1."...)
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

func bearer(h *http1.Head) string {
	v, _ := h.Get("Authorization")
	if len(v) > 7 && strings.EqualFold(v[:7], "Bearer ") {
		return v[7:]
	}
	return ""
}

// RenderAttempt sends a request as it was rendered: how long a front door waits is not told.
func (p *configuredProtocol) RenderAttempt(wire []byte, _ int, _ time.Duration) []byte { return wire }

// RenderProbe asks at probes.path.
func (p *configuredProtocol) RenderProbe(addr string) []byte {
	b := append([]byte("GET "), p.cfg.Probes.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	return append(append(b, addr...), "\r\n\r\n"...)
}

// AppendRetryAfter is in whole seconds, rounded up (RFC 9110 section 10.2.3).
func (p *configuredProtocol) AppendRetryAfter(b []byte, after time.Duration) []byte {
	return strconv.AppendInt(b, int64((after+time.Second-1)/time.Second), 10)
}

const loadReportField = "endpoint-load-metrics"

// RenderResponseHead leaves out the box's load, which is for this front door alone.
func (p *configuredProtocol) RenderResponseHead(b []byte, h *http1.Head) []byte {
	b = http1.AppendStatus(b, h.Status, h.Reason)
	b = http1.AppendFields(b, h, func(name string) bool {
		return len(name) == len(loadReportField) && http1.EqualName(name, loadReportField)
	})
	b = append(b, "Via: 1.1 "...)
	b = append(b, p.via...)
	return append(b, '\r', '\n')
}

// ParseResponse reads what a status says of an attempt: only statuses that the configuration lists mean that the box turned
// the request away unseen.
func (p *configuredProtocol) ParseResponse(h *http1.Head, _ []byte, _ bool) protocol.ResponseReport {
	var r protocol.ResponseReport
	switch {
	case slices.Contains(p.cfg.File.Backends.RejectedStatuses, h.Status):
		r.Outcome = decision.Rejected
	case h.Status >= 500:
		r.Outcome = decision.BackendError
	}
	if len(p.cfg.LoadReportNames) > 0 {
		if v, ok := h.Get(loadReportField); ok {
			r.Load = parseLoad(v, p.cfg.LoadReportNames)
		}
	}
	if p.cfg.Settings.UnitsSettleLater {
		if v, ok := h.Get(p.cfg.Headers.Units); ok {
			if x, err := strconv.ParseFloat(v, 64); err == nil && x >= 0 && !math.IsInf(x, 0) {
				r.Units = x
			}
		}
	}
	return r
}

// parseLoad reads a report in the TEXT form of ORCA's endpoint-load-metrics: "TEXT cpu_utilization=0.3,
// named_metrics.in_flight=4". Figures that are missing or no numbers read as NaN, which the gateway passes over.
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
