package agent

import "time"

const (
	// cancelTimeout bounds a call that cancels a sequence at an engine.
	cancelTimeout = 2 * time.Second
	// stateTimeout bounds one read of an engine's state.
	stateTimeout = time.Second
	// maxFailedReads is the number of consecutive failed reads of its state
	// after which an engine counts as down.
	maxFailedReads = 3
	// dialTimeout bounds a connection attempt to a backend server.
	dialTimeout = time.Second
	// maxResponseBytes is the maximum size of a plain service's response.
	maxResponseBytes = 16 << 20
	// frameBytes is the maximum amount of data in one frame.
	frameBytes = 64 << 10
	// plainConcurrency is the number of calls executed concurrently at a plain
	// service.
	plainConcurrency = 64
)
