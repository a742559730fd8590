package server

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/proxy"
)

// TestDepartedEndpointsAreLogged: after an attempt at a backend that drains it could not be told when the instance learnt of
// the drain. Each message that takes endpoints out of use is logged with their addresses, however it says so.
func TestDepartedEndpointsAreLogged(t *testing.T) {
	for name, c := range map[string]struct {
		change   string // %[1]s is a's address, %[2]s b's
		departed string
	}{
		"drains":              {`{"seq":9,"whole":false,"hosts":[{"host":"a","dial":"%[1]s","health":"leaving","share":1}]}`, "[%[1]s]"},
		"is removed":          {`{"seq":9,"whole":false,"hosts":[{"host":"a","dial":"%[1]s","health":"left","share":1}]}`, "[%[1]s]"},
		"is left out":         {`{"seq":9,"whole":true,"hosts":[{"host":"b","dial":"%[2]s","health":"active","share":1}]}`, "[%[1]s]"},
		"drains in a list":    {`{"seq":9,"whole":true,"hosts":[{"host":"a","dial":"%[1]s","health":"leaving","share":1}]}`, "[%[1]s]"},
		"stays":               {`{"seq":9,"whole":false,"hosts":[{"host":"a","dial":"%[1]s","health":"active","share":2}]}`, ""},
		"is removed, unknown": {`{"seq":9,"whole":false,"hosts":[{"host":"b","dial":"%[2]s","health":"left","share":1}]}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startNamedBackend(t, "a"), startNamedBackend(t, "b")
			discovery := startDiscovery(t)
			counter, _ := startCounter(t)
			r := startNode(t, discovery.addr, counter, 64, a)
			discovery.send <- fmt.Sprintf(c.change+"\n%.0[1]s%.0[2]s", a, b)
			discovery.send <- `{"seq":10,"whole":false,"hosts":[]}` + "\n"
			r.waitForLog("seq=10")
			r.waitForLoop()
			record := regexp.MustCompile(`msg="endpoints departed" seq=9 addrs=(\S+) `).FindStringSubmatch(r.log.String())
			if c.departed == "" {
				if record != nil {
					t.Errorf("logged: %s", record[0])
				}
				return
			}
			if want := fmt.Sprintf(c.departed+"%.0[2]s", a, b); record == nil || record[1] != want {
				t.Errorf("logged: %q, want %s", record, want)
			}
		})
	}
}

// TestAttemptByOldEndpointListIsLogged: only attempts during a shutdown told by which list they went. A watch that has fallen
// silent, or never spoke, shows in the record of each attempt once the list is older than heartbeats allow.
func TestAttemptByOldEndpointListIsLogged(t *testing.T) {
	record := endpointRecord{confirmedAt: time.Minute}
	if record.noteAttempt(time.Minute + notableEndpointsAge - 1) {
		t.Error("a list that a heartbeat may still confirm counts as old")
	}
	if !record.noteAttempt(time.Minute+notableEndpointsAge) || record.oldAttempts != 1 || record.greatestAge != notableEndpointsAge {
		t.Errorf("%+v", record)
	}
}

// TestOldEndpointListIsLoggedOnceASecond: while discovery is down each attempt goes by an old list; a record for each would
// make the log the instance's main work.
func TestOldEndpointListIsLoggedOnceASecond(t *testing.T) {
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, startNamedBackend(t, "a"))
	r.server.post(inspection(func(*proxy.Instance, time.Duration) {
		r.server.endpoints.confirmedAt = 0
		r.server.endpoints.oldLoggedAt = r.server.now() + time.Minute - oldListLogInterval // the next one is logged in a minute
	}))
	r.requireServedBy(1, "a")
	r.server.post(inspection(func(*proxy.Instance, time.Duration) { r.server.endpoints.oldLoggedAt = 0 }))
	r.requireServedBy(2, "a")
	r.waitForLoop()
	if count := strings.Count(r.log.String(), "attempt by an old endpoint list"); count != 1 {
		t.Errorf("%d records", count)
	}
}

// TestAttemptRecordNamesUnhandledMessage: whether a message of discovery waited for the event loop as an attempt began could
// not be told afterwards.
func TestAttemptRecordNamesUnhandledMessage(t *testing.T) {
	discovery := startDiscovery(t)
	counter, _ := startCounter(t)
	r := startNode(t, discovery.addr, counter, 64, startNamedBackend(t, "a"))
	r.stop()
	r.waitForLog("shutting down")
	r.server.discovery.readVersion.Store(9)
	r.requireServedBy(1, "a")
	if text := r.log.String(); !strings.Contains(text, "seq=7 ") || !strings.Contains(text, "read_seq=9") {
		t.Error(text)
	}
}

// waitForLoop waits until the event loop has handled what is queued, unless it has ended.
func (r *gateway) waitForLoop() {
	r.Helper()
	handled := make(chan struct{})
	if r.server.post(inspection(func(*proxy.Instance, time.Duration) { close(handled) })) {
		<-handled
	}
}

// A list holds what is up; what departs is each endpoint that was up and is not any more.
func TestDepartedEndpoints(t *testing.T) {
	up := config.Endpoint{Name: "a", Address: "127.0.0.1:1"}
	draining := up
	draining.State = config.EndpointState(decision.Draining)
	for name, c := range map[string]struct {
		before, after config.Endpoint
		departed      int
	}{
		"stays":            {up, up, 0},
		"drains":           {up, draining, 1},
		"is gone":          {up, config.Endpoint{}, 1},
		"drained before":   {draining, config.Endpoint{}, 0},
		"comes":            {config.Endpoint{}, up, 0},
		"comes back":       {draining, up, 0},
		"comes and drains": {config.Endpoint{}, draining, 0},
	} {
		got := departedEndpoints(map[string]config.Endpoint{"a": c.before}, map[string]config.Endpoint{"a": c.after})
		if len(got) != c.departed {
			t.Errorf("%s: %v", name, got)
		}
	}
}
