// Command marigold-entry serves callers and operators.
package main

import (
	"github.com/marigoldwing/marigoldwing/internal/entry"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/settings"
)

func main() {
	process.RunAndExit(settings.LoadEntry, entry.Run)
}
