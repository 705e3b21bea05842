package agent

import (
	"context"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// runner executes one attempt at a backend server. It emits the frames of the
// response; the last one is an end or a failure.
type runner interface {
	run(ctx context.Context, submit *peerv1.Submit, out *emitter)
}
