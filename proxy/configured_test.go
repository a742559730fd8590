package proxy

import (
	"testing"
)

// A 503 means that the backend rejected the request without running it only if the configuration says so. Otherwise the
// request may have run, and a non-idempotent request must not be retried.
func TestRejectedStatuses(t *testing.T) {
	const answer = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
	r := newHarness(t, 1, 1, "")
	_, ex := r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	conn, _ := r.connect()
	r.reply(conn, ex, answer)
	r.wantResponse("502")
	r = newHarness(t, 2, 1, "503")
	_, ex = r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	conn, _ = r.connect()
	r.reply(conn, ex, answer)
	r.wantNone(Respond)
	r.connect()
}

// TestParseLoadReport parses load reports in the TEXT format. Values that are missing or not numbers are NaN. Other formats
// are no report.
func TestParseLoadReport(t *testing.T) {
	names := []string{"a", "b"}
	if load := parseLoad("TEXT a=1.5,b=2, c=3", names); load[0] != 1.5 || load[1] != 2 {
		t.Error(load)
	}
	if load := parseLoad("TEXT b=x", names); load[0] == load[0] || load[1] == load[1] {
		t.Error("missing or malformed values must be NaN", load)
	}
	if parseLoad("JSON {}", names) != nil {
		t.Error("a JSON report is parsed as TEXT")
	}
}
