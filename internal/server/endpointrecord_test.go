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

// TestDepartedEndpointsAreLogged checks that each message that takes endpoints out of use is logged with their addresses, in every
// form of such a message. Without the record, nobody could determine after an attempt at a draining backend when the instance
// learned of the drain.
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

// TestAttemptByOldEndpointListIsLogged checks that attempts count as using an old list once the list is older than the
// heartbeat interval allows. If only attempts during a shutdown were logged with their list, a silent watch would go
// unnoticed.
func TestAttemptByOldEndpointListIsLogged(t *testing.T) {
	status := endpointListStatus{confirmedAt: time.Minute}
	if status.recordAttempt(time.Minute+oldListAge-1, 0) {
		t.Error("a list that a heartbeat may still confirm counts as old")
	}
	if !status.recordAttempt(time.Minute+oldListAge, 0) || status.oldAttempts != 1 || status.maxAge != oldListAge {
		t.Errorf("%+v", status)
	}
}

// TestOldEndpointListIsLoggedOnceASecond checks the limit on records of attempts by an old list. While discovery is down every
// attempt uses an old list, and a record for each would make logging the instance's main work.
func TestOldEndpointListIsLoggedOnceASecond(t *testing.T) {
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, startNamedBackend(t, "a"))
	r.server.post(inspection(func(*proxy.Instance, time.Duration) {
		r.server.listStatus.confirmedAt = 0
		r.server.listStatus.oldLoggedAt = r.server.now() + time.Minute - oldListLogInterval // the next one is logged in a minute
	}))
	r.requireServedBy(1, "a")
	r.server.post(inspection(func(*proxy.Instance, time.Duration) { r.server.listStatus.oldLoggedAt = 0 }))
	r.requireServedBy(2, "a")
	r.waitForLoop()
	if count := strings.Count(r.log.String(), "attempt by an old endpoint list"); count != 1 {
		t.Errorf("%d records", count)
	}
}

// TestAttemptRecordNamesUnhandledMessage checks that the record of an attempt shows whether a message of discovery was waiting for
// the event loop when the attempt began.
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

// TestAttemptRecordTellsWhetherWatchIsOpen checks that the record of an attempt shows since when no watch was open when it began.
// Without it an attempt after a change that nobody could hear looks the same as one after a change that was heard and not handled.
func TestAttemptRecordTellsWhetherWatchIsOpen(t *testing.T) {
	rig := startDrainRig(t)
	rig.server.discovery.input.markWatched(rig.server.now(), 0)
	rig.requireAnswer(200, rig.send(1))
	rig.server.discovery.input.markUnwatched(rig.server.now()-time.Minute, rig.server.now())
	rig.requireAnswer(200, rig.send(2))
	rig.waitForLoop()
	for id, want := range map[int]string{1: "unwatched_ms=0 ", 2: "unwatched_ms=600"} {
		record := regexp.MustCompile(fmt.Sprintf(`msg="?attempt.* request=%016x .*`, id)).FindString(rig.log.String())
		if !strings.Contains(record, want) {
			t.Errorf("record of request %d: %q, want %s", id, record, want)
		}
	}
}

// waitForLoop waits until the event loop has handled the queued messages. It returns at once if the loop has ended.
func (r *serverRig) waitForLoop() {
	r.Helper()
	handled := make(chan struct{})
	if r.server.post(inspection(func(*proxy.Instance, time.Duration) { close(handled) })) {
		<-handled
	}
}

// TestDepartedEndpoints checks that exactly the endpoints that were up and no longer are count as departed.
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
