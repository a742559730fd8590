package proxy

import (
	"flag"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sandyard/config"
)

// operation is a method and a path of a random description.
type operation struct{ method, path string }

// parameter is a templated segment of a path.
var parameter = regexp.MustCompile(`\{[^}]*\}`)

// For random descriptions and requests, an Inspection must agree with a ClientConn that parses the request: the same
// operation, class, units and customer, or the same local response. Otherwise a tool could report that a request needs a
// decision although the instance answers it itself.
func TestInspectionAgreesWithRequests(t *testing.T) {
	decided, answered := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		description, operations := drawDescription(t)
		cfg, err := config.Parse("gateway.yaml", fmt.Appendf(nil, harnessConfig+"units: {most: 8}\n", 1, ""), []byte(description),
			[]byte("boxes: [{name: box-0, address: '10.0.0.1:80'}]"))
		if err != nil {
			t.Fatalf("%v\n%s", err, description)
		}
		inspection := drawInspection(t, operations)
		got := inspection.Run(cfg)
		request := requestOf(inspection, cfg)
		c := NewClientConn(&Shared{Config: cfg, Protocol: NewConfiguredProtocol(cfg, "t")}, nil, "192.0.2.1", Start)
		ex := c.Feed(Start, []byte(request))
		switch {
		case (ex == nil) != (got.Status != 0):
			t.Fatalf("%q: the inspection returns %+v, the client connection %+v %s", request, got, ex, c.Outgoing)
		case ex == nil:
			answered++
			if !strings.HasPrefix(string(c.Outgoing), fmt.Sprintf("HTTP/1.1 %d ", got.Status)) {
				t.Fatalf("%q: the inspection returns %d %s, the response is %s", request, got.Status, got.Reason, c.Outgoing)
			}
		default:
			decided++
			if ex.Operation.ID != got.Operation || ex.Operation.Class != got.Class || ex.Units != got.Units || ex.Customer.Name != got.Customer || ex.Timeout.String() != got.Deadline {
				t.Fatalf("%q: the inspection returns %+v, the exchange is %+v of %+v", request, got, ex, ex.Operation)
			}
		}
	})
	t.Logf("%d decided, %d answered", decided, answered)
	if decided == 0 || answered == 0 {
		t.Errorf("%d decided, %d answered: one of the two did not occur (-rapid.seed=%s)", decided, answered, flag.Lookup("rapid.seed").Value)
	}
}

// drawDescription returns a random OpenAPI description with one to six paths, and its operations.
func drawDescription(t *rapid.T) (text string, operations []operation) {
	segment := rapid.SampledFrom([]string{"a", "b", "{x}"})
	units := rapid.SampledFrom([]string{"", "x-sandyard-units: 3, ", "x-sandyard-units: {in: query, name: n, default: 2, most: 8}, ",
		"x-sandyard-units: {in: header, name: X-Units, default: 1.5, most: 4}, "})
	seen := map[string]bool{}
	text = "openapi: 3.0.3\ninfo: {title: t, version: '1'}\npaths:\n"
	for range rapid.IntRange(1, 6).Draw(t, "paths") {
		segments := rapid.SliceOfN(segment, 1, 3).Draw(t, "segments")
		for i := range segments {
			if segments[i] == "{x}" {
				segments[i] = fmt.Sprintf("{x%d}", i)
			}
		}
		path := "/" + strings.Join(segments, "/")
		if seen[path] {
			continue
		}
		seen[path] = true
		text += "  " + path + ":\n"
		for _, method := range [][]string{{"get"}, {"post"}, {"get", "post"}}[rapid.IntRange(0, 2).Draw(t, "methods")] {
			class := rapid.SampledFrom([]string{"look", "book", "pay", "feed"}).Draw(t, "class")
			text += fmt.Sprintf("    %s: {%sx-sandyard-class: %s, responses: {}}\n", method, units.Draw(t, "units"), class)
			operations = append(operations, operation{method, path})
		}
	}
	return text, operations
}

// drawInspection returns a random inspection. Half of them are for a described operation and a known customer, so that many
// requests need a decision and many don't.
func drawInspection(t *rapid.T, operations []operation) Inspection {
	target := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "", "..", "%2F", "x%20y"}), 1, 3).Draw(t, "path"), "/")
	query := rapid.SampledFrom([]string{"", "?n=5", "?n=99", "?n=-1", "?n=x", "?m=1&n=3", "?n=3&n=4", "?n=%33"}).Draw(t, "query")
	inspection := Inspection{
		Method: rapid.SampledFrom([]string{"GET", "HEAD", "POST", "DELETE"}).Draw(t, "method"),
		Target: target + query,
		Key:    rapid.SampledFrom([]string{"ka", "kb", "nobody", ""}).Draw(t, "key"),
		Fields: []string{"Content-Length: 0"},
	}
	if rapid.Bool().Draw(t, "described") {
		operation := rapid.SampledFrom(operations).Draw(t, "operation")
		inspection.Method, inspection.Target = strings.ToUpper(operation.method), parameter.ReplaceAllString(operation.path, "c")+query
		inspection.Key = rapid.SampledFrom([]string{"ka", "kb"}).Draw(t, "known key")
	}
	field := rapid.SampledFrom([]string{"", "X-Units: 2", "X-Units: 1e9", "X-Units: nan", "X-Units:", "Idempotency-Key: k"}).Draw(t, "field")
	if field != "" {
		inspection.Fields = append(inspection.Fields, field)
	}
	return inspection
}

// requestOf returns the bytes of the inspected request.
func requestOf(inspection Inspection, cfg *config.Config) string {
	request := inspection.Method + " " + inspection.Target + " HTTP/1.1\r\nHost: t\r\n"
	for _, field := range inspection.Fields {
		request += field + "\r\n"
	}
	if inspection.Key != "" {
		request += cfg.Headers.Key + ": " + inspection.Key + "\r\n"
	}
	return request + "\r\n"
}
