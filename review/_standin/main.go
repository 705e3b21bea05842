package main

import (
	"fmt"
	"os"
)

// main runs the case named by the first argument; the second one is the path of its record.
func main() {
	cases := map[string]func(f *fleet, trouble bool) int{
		"removal": runRemoval,
		"twice":   runTwice,
		"stream":  runStream,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	f := newFleet(newRecord(os.Args[2]))
	code := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	f.stop()
	f.rec.flush()
	os.Exit(code)
}
