package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/logtrace"
)

// newTrace returns the subcommand that shows one request's history.
func newTrace(o *options, stdin io.Reader) *ffcli.Command {
	fs := o.newFlags("trace")
	return o.command("trace", " REQUEST-ID [LOG...]",
		"Print what the processes' logs say of one request, in order.",
		"  marigoldctl trace 9c41d07be2a35f68 gateway-1.log gateway-2.log\n  cat *.log | marigoldctl trace 9c41d07be2a35f68",
		fs, func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return fail(exitUsage, "trace: name a request ID")
			}
			return trace(o.stdout, stdin, args[0], args[1:])
		})
}

func trace(out io.Writer, stdin io.Reader, requestID string, files []string) error {
	var lines []logtrace.Line
	if len(files) == 0 {
		found, err := logtrace.ReadRequest(stdin, requestID)
		if err != nil {
			return fail(exitUsage, "trace: standard input: %w", err)
		}
		lines = found
	}
	for _, name := range files {
		found, err := traceFile(name, requestID)
		if err != nil {
			return fail(exitUsage, "trace: %s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fail(exitRefused, "trace: no line names request %s", requestID)
	}
	logtrace.Sort(lines)
	if err := logtrace.Write(out, lines); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

func traceFile(name, requestID string) ([]logtrace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	// The file is only read.
	defer func() { _ = file.Close() }()
	return logtrace.ReadRequest(file, requestID)
}
