// Package proxy is one front door as a deterministic machine: time and bytes come in, bytes and wishes go out. It
// opens no connection, reads no clock, starts no goroutine and draws from no randomness but its seed, so that the
// same code serves sockets and virtual time.
//
// It has three parts, each with one owner at a time:
//
//   - Client is a client's connection: it takes requests apart, finds their route and studio, holds their bodies,
//     and gives out whole Exchanges and the bytes of answers, in order.
//   - BoxConn is a connection to a box: it takes an answer apart and renders it for the client that waits.
//   - Core is the decision loop: it owns choice.Gateway, the table of exchanges, the pools of lines to the boxes,
//     the calls to the tally keeper and the list of boxes.
//
// On sockets a Client belongs to whoever holds its connection's lock, a BoxConn likewise, and Core to one goroutine.
// Exchanges pass from Client to Core with Arrive and back with an answer.
//
// Times are since any fixed origin that is the same for all parts; virtual time begins at Start,
// sockets at the time since 1970, since front doors that share a counter must have one time.
package proxy
