// Command marigold-agent runs the agent of one instance, through which all
// requests to the instance's backend servers pass.
package main

import (
	"github.com/marigoldwing/marigoldwing/internal/agent"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/settings"
)

func main() {
	process.RunAndExit(settings.LoadAgent, agent.Run)
}
