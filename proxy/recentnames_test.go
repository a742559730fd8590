package proxy

import (
	"fmt"
	"testing"
	"time"
)

// sendNamed passes a request with a name to the instance, as the platform's protocol does.
func (r *harness) sendNamed(method, path, name string) *Exchange {
	r.Helper()
	ex := r.newClientConn().Feed(r.now, requestText(method, path, "ka", ""))
	ex.UniqueName = name
	r.instance.RequestArrived(r.now, ex)
	r.collect()
	return ex
}

// TestRepeatedNameOfAbandonedRequestIsRejected guards against an effect that happens twice: a client leaves while its request runs
// and sends it again under the same name. The first attempt may have run, so the second request must not reach a backend.
func TestRepeatedNameOfAbandonedRequestIsRejected(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	first := r.sendNamed("POST", "/pay", "n")
	r.connect()
	r.instance.ClientLeft(r.now, first)
	r.collect()
	r.want(CloseBackend)
	r.sendNamed("POST", "/pay", "n")
	r.wantResponse("409")
	r.wantNone(DialBackend)
	r.wantNone(WriteAttempt)
	r.advance(recentNameTTL)
	r.sendNamed("POST", "/pay", "n")
	r.wantNone(Respond)
}

// TestRepeatedNameOfServedRequestIsRejected checks the same for a request that was answered: its client may have left unread.
func TestRepeatedNameOfServedRequestIsRejected(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	first := r.sendNamed("POST", "/pay", "n")
	conn, _ := r.connect()
	r.reply(conn, first, ok200)
	r.wantResponse("200")
	r.sendNamed("POST", "/pay", "n")
	r.wantResponse("409")
}

// TestNameOfRequestThatHasNotRunIsFree checks that a name can be used again if nothing was written, or the backend rejected it.
func TestNameOfRequestThatHasNotRunIsFree(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.instance.ClientLeft(r.now, r.sendNamed("POST", "/pay", "n")) // while its connection is being established
	r.collect()
	again := r.sendNamed("POST", "/pay", "n")
	r.wantNone(Respond)
	if again.State() == Done {
		t.Error("the request is answered")
	}
}

// TestRecentNamesAreBounded checks that names are forgotten after their time, and the oldest beyond the bound.
func TestRecentNamesAreBounded(t *testing.T) {
	var names recentNames
	for i := range 3 * maxRecentNames {
		names.add(0, fmt.Sprint(i))
		names.add(0, fmt.Sprint(i))
	}
	if len(names.known) != maxRecentNames || len(names.queue) != maxRecentNames || !names.contains(0, fmt.Sprint(3*maxRecentNames-1)) || names.contains(0, "0") {
		t.Errorf("%d names are known, %d are queued", len(names.known), len(names.queue))
	}
	if names.contains(recentNameTTL, fmt.Sprint(3*maxRecentNames-1)) || len(names.known) != 0 {
		t.Errorf("%d names are known after %v", len(names.known), time.Duration(recentNameTTL))
	}
}
