// Command lab runs the scripted cases of the second review. Each case starts
// gateways as separate processes with the command of deploy/system.toml and
// settings from deploy/gateway.ini.tmpl, on loopback addresses. The platform's
// store, the callers and the network between them are stand-ins in this
// process; backend servers that are killed are processes of their own.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun ends a case that hangs before the limit of 120 seconds.
const maxRun = 117 * time.Second

// cases are the cases by the name that run.sh passes.
var cases = map[string]func(*lab) (broken bool, err error){
	"cut-answers":    cutAnswers,
	"removed-server": removedServer,
	"descriptors":    descriptors,
	"encoded-path":   encodedPath,
	"same-id":        sameID,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serve(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	l, err := newLab(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer l.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](l)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = errors.New("interrupted")
	case <-time.After(maxRun):
		r.err = errors.New("took too long")
	}
	switch {
	case r.err != nil:
		l.record("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return exitFailed
	case r.broken:
		l.record("result: the rule was broken")
		return exitBroken
	}
	l.record("result: the rule held")
	return exitHeld
}
