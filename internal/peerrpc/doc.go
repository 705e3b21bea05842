// Package peerrpc implements the RPC protocol between the system's processes:
// JSON-RPC 2.0 over TCP with length-prefixed JSON objects, whose params and
// results are binary-encoded protobuf messages of api/peer/v1.
//
// A Server accepts connections and passes messages to a Handler. A Client keeps
// a small pool of connections to each address, which are dialled on first use.
// Attempts are submitted over data connections. A server that stops asks for no more
// of them before it closes such a connection, so that its client knows of each attempt
// whether it was received.
//
// A malformed message is counted and closes its connection, but affects no other
// connection.
package peerrpc
