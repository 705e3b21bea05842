// Package peerrpc carries messages between the system's own processes:
// JSON-RPC 2.0 over TCP, in length-prefixed JSON objects whose params are
// protobuf messages of api/peer/v1 in binary form.
//
// A Server accepts connections and hands messages to a Handler. A Client
// keeps a few connections to each address and dials on use. A malformed
// message closes its connection, is counted, and affects nothing else.
package peerrpc
