// Command marigold-entry runs an entry, which serves the requests of callers and
// the API for operators.
package main

import (
	"github.com/marigoldwing/marigoldwing/internal/entry"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/settings"
)

func main() {
	process.RunAndExit(settings.LoadEntry, entry.Run)
}
