package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/logtrace"
)

func newTrace(o *options, stdin io.Reader) *ffcli.Command {
	fs := o.newFlags("trace")
	return o.command("trace", " REQUEST-ID [LOG...]",
		"Print the log lines of all processes for one request, ordered by time.",
		"  marigoldctl trace 9c41d07be2a35f68 gateway-1.log gateway-2.log\n  cat *.log | marigoldctl trace 9c41d07be2a35f68",
		fs, func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return withExitCode(exitUsage, "trace: request ID missing")
			}
			return trace(o.stdout, stdin, args[0], args[1:])
		})
}

// trace prints the lines of the given files, or of stdin if there are none, that
// belong to a request.
func trace(out io.Writer, stdin io.Reader, requestID string, files []string) error {
	var lines []logtrace.Line
	if len(files) == 0 {
		found, err := logtrace.ReadRequest(stdin, requestID)
		if err != nil {
			return withExitCode(exitUsage, "trace: standard input: %w", err)
		}
		lines = found
	}
	for _, name := range files {
		found, err := traceFile(name, requestID)
		if err != nil {
			return withExitCode(exitUsage, "trace: %s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return withExitCode(exitInvalid, "trace: no log lines found for request %s", requestID)
	}
	logtrace.Sort(lines)
	if err := logtrace.Write(out, lines); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// traceFile returns the lines of a file that belong to a request.
func traceFile(name, requestID string) ([]logtrace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	// An error of Close does not matter, since the file is only read.
	defer func() { _ = file.Close() }()
	return logtrace.ReadRequest(file, requestID)
}
