// Package peerrpc implements the RPC protocol between the system's processes:
// JSON-RPC 2.0 over TCP with length-prefixed JSON objects, whose params and
// results are binary-encoded protobuf messages of api/peer/v1.
//
// A Server accepts connections and passes messages to a Handler. A Client keeps
// a small pool of connections to each address, which are dialled on first use.
// A malformed message is counted and closes its connection, but affects no other
// connection.
package peerrpc
