package platform

import (
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

// loadFields are the protocol's names for the values of a load report, in addition to those of the settings.
var loadFields = map[string]decision.LoadField{
	"inflight":   decision.FieldInFlight,
	"queue":      decision.FieldQueue,
	"util":       decision.FieldUtil,
	"latency_ms": decision.FieldLatency,
	"qps":        decision.FieldServed,
	"eps":        decision.FieldErrors,
}

// ParseResponse parses the outcome of an attempt or a probe, and the load report, which a probe's response may have in its
// body.
func (n *Node) ParseResponse(h *http1.Head, body []byte, probe bool) protocol.ResponseReport {
	report := protocol.ResponseReport{Outcome: outcome(h)}
	if text, ok := h.Get("X-Load"); ok {
		report.Load = n.parseLoad(text)
	} else if probe && h.Status == 200 {
		report.Load = n.parseLoad(strings.TrimSpace(string(body)))
	}
	return report
}

// outcome returns the outcome of an attempt according to its response head. A request counts as not run only if the backend
// says so: any other status than 200 may come from a backend that has run it.
func outcome(h *http1.Head) decision.Outcome {
	notRun, _ := h.Get("X-Not-Run")
	switch {
	case h.Status == 200:
		return decision.OK
	case (h.Status == 503 || h.Status == 504) && notRun == "1":
		return decision.Rejected
	}
	return decision.BackendError
}

// parseLoad parses a report such as "inflight=7,queue=2,util=0.61" into values in the order of Settings.LoadFields. It
// accepts the protocol's names and those of the settings. A value that is missing or can't be parsed is NaN.
func (n *Node) parseLoad(report string) []float64 {
	fields := n.Config.Settings.LoadFields
	load := make([]float64, len(fields))
	for i := range load {
		load[i] = math.NaN()
	}
	for report != "" {
		var item string
		item, report, _ = strings.Cut(report, ",")
		name, value, _ := strings.Cut(strings.Trim(item, " "), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsInf(number, 0) || number < 0 {
			continue
		}
		meaning := loadFields[name]
		for i := range load {
			if n.loadReportNames[i] == name || meaning != decision.FieldOther && fields[i] == meaning {
				load[i] = number
			}
		}
	}
	return load
}

// RenderResponseHead appends a response's status line. The other fields of a backend's head are for the instance only.
func (n *Node) RenderResponseHead(b []byte, h *http1.Head) []byte {
	return http1.AppendStatus(b, h.Status, http1.StatusText(h.Status))
}

// AppendRetryAfter appends a wait in seconds with a decimal fraction, rounded up to milliseconds.
func (n *Node) AppendRetryAfter(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}
