package baseline

import (
	"testing"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// Round robin skips engines that are not serving, and combines a prefill with a
// decode engine.
func TestRoundRobinSkipsEnginesNotServing(t *testing.T) {
	mixed := configv1.Role_ROLE_MIXED
	r := NewRouter([]routing.Engine{{Name: "a", Role: mixed}, {Name: "b", Role: mixed}, {Name: "c", Role: mixed}})
	r.SetState("b", mixed, peerv1.ServerState_SERVER_STATE_DOWN)
	for _, want := range []string{"a", "c", "a", "c"} {
		c, err := r.Choose()
		require.NoError(t, err)
		require.Equal(t, want, c.PrefillEngine)
	}
	r.SetState("a", configv1.Role_ROLE_PREFILL, peerv1.ServerState_SERVER_STATE_SERVING)
	r.SetState("c", configv1.Role_ROLE_DECODE, peerv1.ServerState_SERVER_STATE_SERVING)
	c, err := r.Choose()
	require.NoError(t, err)
	require.Equal(t, routing.Choice{PrefillEngine: "a", DecodeEngine: "c"}, c)
}

// The planner reverses its last decision as soon as the load drops below the
// threshold: it has no hysteresis.
func TestPlannerHasNoHysteresis(t *testing.T) {
	loads := []EngineLoad{{"a", configv1.Role_ROLE_MIXED, 20_000, 5}, {"b", configv1.Role_ROLE_MIXED, 20_000, 9}}
	change, ok := Plan(loads)
	require.True(t, ok)
	require.Equal(t, RoleChange{"a", configv1.Role_ROLE_PREFILL}, change)
	loads[0] = EngineLoad{"a", configv1.Role_ROLE_PREFILL, 10, 1}
	loads[1].QueuedPromptTokens = 10
	change, ok = Plan(loads)
	require.True(t, ok)
	require.Equal(t, RoleChange{"a", configv1.Role_ROLE_MIXED}, change)
}
