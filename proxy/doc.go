// Package proxy is one instance of the gateway as a deterministic state machine: time and bytes come in, bytes and
// effects go out. It opens no connection, reads no clock, starts no goroutine and draws from no randomness but its seed,
// so that the same code runs on sockets (internal/server) and in virtual time (internal/simulation).
//
// It has three parts, each with one owner at a time:
//
//   - ClientConn is a client's connection. It parses requests, finds their route and customer, holds their bodies, hands
//     out each complete request as an Exchange, and renders the bytes of responses in the order of the requests.
//   - ResponseReader is the codec of a connection to a backend. It parses a response and renders it for the client.
//   - Instance is the decision loop. It owns the decision.Gateway, the table of exchanges, the pool of backend
//     connections, the calls to the shared counter and the endpoint list. A BackendConn is a backend connection as the
//     instance knows it; a ResponseReader belongs to it on the runtime's side.
//
// On sockets a ClientConn belongs to whoever holds its connection's lock, a ResponseReader to the goroutine that reads
// the connection, and the Instance to one goroutine. An exchange passes from the ClientConn to the Instance with
// Instance.RequestArrived and comes back in the effects Respond, StreamResponse and AbortClient.
//
// # The life of an exchange
//
// RequestArrived asks the decision gateway, which answers with actions: send an attempt, cancel one, reject, fail. The
// state table in exchange.go says which of the events that follow are accepted; everything else is dropped, so that
// there is exactly one final answer. An attempt begins with its first byte: writeAttempt in attempts.go checks just
// before it what may have changed since it was decided on.
//
// Entry points by symptom:
//
//   - a client leaves: Instance.ClientLeft (requests.go)
//   - a backend connection breaks: Instance.BackendDisconnected (backendconn.go), failAttempt (attempts.go)
//   - an endpoint is removed between the decision and the first byte: isObsolete (attempts.go)
//   - a timeout: Instance.Tick (timers.go)
//
// # Time
//
// Times are durations since an origin that is the same for all parts. Virtual time begins at Start; on sockets the origin
// is 1970-01-01 UTC, since instances that share a counter must have one time.
package proxy
