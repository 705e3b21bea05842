// Package path measures the overhead of the request path from an entry through
// an agent to a stand-in engine and back, compared with calling the engine
// directly.
package path
