package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sandyard/proxy"
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

// TestPartOfResponseIsNotServedAfterNextRead guards against the same where the rest comes in the next read, after the response was
// parsed and before the event loop forwards it.
func TestPartOfResponseIsNotServedAfterNextRead(t *testing.T) {
	got, rest := make(chan struct{}), make(chan struct{})
	r := startGateway(t, "", "", startShortBackend(t, got, rest))
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.requireWholeBody()
	}()
	<-got
	release := r.hold()
	rest <- struct{}{}
	waitQueued[*responseReceived](r)
	rest <- struct{}{}
	waitQueued[backendDisconnected](r)
	release()
	<-done
	r.waitForLog("bytes behind an answer")
}

// TestUnreadBytesFailResponse guards against the same where the rest is still unread when the event loop forwards the response.
func TestUnreadBytesFailResponse(t *testing.T) {
	bc, peer, s := newTestBackendConn(t)
	bc.write(&proxy.Exchange{Method: "GET"}, []byte("GET / HTTP/1.1\r\n\r\n"))
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n01234")
	if !bc.readOnce(bc.socket) || len(s.queue) != 1 || bc.hasTrailingBytes() {
		t.Fatalf("the response is not complete: %+v", s.queue)
	}
	io.WriteString(peer, "56789")
	waitReadable(t, bc.socket)
	if !bc.hasTrailingBytes() {
		t.Error("the rest is not found")
	}
}

// TestEndOfConnectionIsNoTrailingByte checks that a backend that closes its connection after a response has sent all of it.
func TestEndOfConnectionIsNoTrailingByte(t *testing.T) {
	bc, peer, _ := newTestBackendConn(t)
	bc.write(&proxy.Exchange{Method: "GET"}, []byte("GET / HTTP/1.1\r\n\r\n"))
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n01234")
	bc.readOnce(bc.socket)
	peer.Close()
	waitReadable(t, bc.socket)
	if bc.hasTrailingBytes() {
		t.Error("the end of the connection counts as a byte")
	}
	if bc.readOnce(bc.socket) || bc.hasTrailingBytes() {
		t.Error("the end of the connection counts as a byte once it is read")
	}
}

// TestStreamWithUnreadBytesIsAborted guards against a streamed response that is cut by its stated length and ended as complete: its
// last bytes fill a read, and the rest is in the next one.
func TestStreamWithUnreadBytesIsAborted(t *testing.T) {
	const begin = "hi"
	got, more := make(chan struct{}), make(chan struct{})
	backend := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		close(got)
		<-more
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(begin)+readSize, begin)
		<-more
		io.WriteString(c, strings.Repeat("x", readSize)+"more")
		<-more
		io.Copy(io.Discard, in)
	})
	r := startGateway(t, "", "", backend)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(orderTimeout))
	io.WriteString(c, request("GET", "/feed", "ka", ""))
	<-got
	release := r.hold()
	more <- struct{}{}
	waitQueued[*responseReceived](r) // the connection is not read until the event loop permits the stream
	more <- struct{}{}
	more <- struct{}{}
	release()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("the client got %d bytes as a complete response", len(body))
	}
}
