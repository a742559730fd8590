package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// wholeBody is the body that startShortBackend makes for each request.
const wholeBody = "0123456789"

// startShortBackend starts a backend whose first response states half of its body's length. Further responses are as they should
// be. It sends on got when it has received the first request. If rest is not nil, it receives from rest before the first response
// and again before the second half of its body.
func startShortBackend(t *testing.T, got, rest chan struct{}) (addr string) {
	var responses atomic.Int64
	return startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			length, half := len(wholeBody), len(wholeBody)/2
			if responses.Add(1) > 1 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, wholeBody)
				continue
			}
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", half, wholeBody)
			got <- struct{}{}
			if rest != nil {
				<-rest
				io.WriteString(c, response[:len(response)-half])
				response = response[len(response)-half:]
				<-rest
			}
			io.WriteString(c, response)
		}
	})
}

// requireWholeBody sends a request that may be repeated, and fails the test unless it gets wholeBody.
func (r *serverRig) requireWholeBody() {
	r.Helper()
	response := r.exchange(request("GET", "/look", "ka", ""), 1)[0]
	if body, _ := io.ReadAll(response.Body); response.StatusCode != 200 || string(body) != wholeBody {
		r.Errorf("%d %q, want 200 %q", response.StatusCode, body, wholeBody)
	}
}

// TestPartOfResponseIsNotServed guards against a part of a response that is served as complete: the backend states half of its
// length and sends all of it at once. The request is tried again, and the backend is named in the log.
func TestPartOfResponseIsNotServed(t *testing.T) {
	got := make(chan struct{}, 1)
	r := startGateway(t, "", "", startShortBackend(t, got, nil))
	r.requireWholeBody()
	r.waitForLog("bytes behind an answer")
}
