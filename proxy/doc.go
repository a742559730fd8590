// Package proxy implements one proxy instance as a deterministic state machine. Its inputs are times and received bytes;
// its outputs are bytes to send and effects for the runtime. The package opens no connection, reads no clock, starts no
// goroutine and uses no randomness other than its seed. The same code therefore runs on sockets (internal/server) and in
// virtual time (internal/simulation).
//
// The package has three parts, each with one owner at a time:
//
//   - ClientConn is a client's connection. It parses requests, finds their route and customer, buffers their bodies,
//     returns each complete request as an Exchange, and queues the bytes of responses in the order of the requests.
//   - ResponseReader is the codec of a connection to a backend. It parses a response and renders it for the client.
//   - Instance is the decision loop. It owns the decision.Gateway, the table of exchanges, the pool of backend
//     connections, the calls to the shared counter and the endpoint list. BackendConn is the instance's view of a backend
//     connection; the runtime keeps a ResponseReader for each.
//
// On sockets, a ClientConn belongs to the holder of its connection's lock, a ResponseReader to the goroutine that reads
// the connection, and the Instance to one goroutine. An exchange passes from the ClientConn to the Instance with
// Instance.RequestArrived and returns in the effects Respond, StreamResponse and AbortClient.
//
// # Lifecycle of an exchange
//
// RequestArrived passes the request to the decision gateway, which returns actions: send an attempt, cancel an attempt,
// reject or fail the request. The state table in exchange.go defines which of the following events are accepted. All
// others are dropped, so that there is exactly one final answer. An attempt starts with its first byte: just before it,
// writeAttempt in attempts.go checks whether the decision to send the attempt is still valid.
//
// Where to start reading, by symptom:
//
//   - a client disconnects: Instance.ClientLeft (requests.go)
//   - a backend connection is lost: Instance.BackendDisconnected (backendconn.go), failAttempt (attempts.go)
//   - an endpoint is removed between the decision and the first byte: isObsolete (attempts.go)
//   - a timeout: Instance.Tick (timers.go)
//
// # Time
//
// Times are durations since an origin that all parts share. Virtual time starts at Start. On sockets the origin is
// 1970-01-01 UTC, because instances that share a counter need the same time.
package proxy
