package proxy

import (
	"testing"

	"sandyard/decision"
)

// FuzzBackendBytes checks that no bytes from a backend can crash the process, whether they answer a normal request, a
// streamed one or a health check, and however they are split.
func FuzzBackendBytes(f *testing.F) {
	f.Add([]byte(ok200), uint8(3))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n"), uint8(40))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"), uint8(9))
	f.Add(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), make([]byte, 4096)...), uint8(200))
	f.Fuzz(func(t *testing.T, bytes []byte, cut uint8) {
		for _, path := range []string{"/look", "/feed", "health check"} {
			r := newHarness(t, 1, 1, "")
			var conn *BackendConn
			var ex *Exchange
			if path == "health check" {
				ex = startHealthCheck(r)
				conn = r.want(DialBackend).Conn
				r.instance.BackendConnected(r.now, conn)
			} else {
				r.request("GET", path, "ka", "")
				conn, ex = r.connect()
			}
			responses := NewResponseReader(r.shared)
			responses.Expect(ex)
			for rest := bytes; len(rest) > 0; {
				n := min(int(cut)+1, len(rest))
				response := responses.Feed(rest[:n])
				rest = rest[n:]
				if response.Kind == Started || response.Kind == Complete || response.Kind == Ended || response.Kind == Malformed {
					r.instance.ResponseReceived(r.now, conn, &response)
				}
				if response.Kind == Malformed {
					break
				}
			}
			end := responses.EOF()
			r.instance.ResponseReceived(r.now, conn, &end)
			r.collect()
			for _, effect := range r.effects {
				if effect.Exchange != nil && effect.Exchange.isProbe && effect.Kind != WriteAttempt {
					t.Errorf("a client effect for a health check: %v", effect.Kind)
				}
			}
		}
	})
}

// startHealthCheck starts a health check of the first backend and returns its exchange.
func startHealthCheck(r *harness) *Exchange {
	r.instance.startProbe(decision.Probe{Backend: r.instance.backendsInOrder[0].endpoint.Backend})
	return r.instance.requests[r.instance.lastRequestID]
}
