// Command marigold-agent stands before the backend servers of one instance
// and is the only path to them.
package main

import (
	"github.com/marigoldwing/marigoldwing/internal/agent"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/settings"
)

func main() {
	process.RunAndExit(settings.LoadAgent, agent.Run)
}
