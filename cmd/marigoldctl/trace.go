package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/logtrace"
)

func newTrace(o *options, stdin io.Reader) *ffcli.Command {
	fs := o.newFlags("trace")
	summary := fs.Bool("summary", false, "count the requests that missed their objective by cause and server, instead of tracing one")
	window := fs.Duration("window", 0, "with -summary: `length` of the intervals to count in, such as 10s; 0 for the whole log")
	return o.command("trace", " REQUEST-ID [LOG...] | -summary [LOG...]",
		"Print the log lines of all processes for one request, ordered by time, or a summary of gateways' logs.",
		"  marigoldctl trace 9c41d07be2a35f68 gateway-1.log gateway-2.log\n  cat *.log | marigoldctl trace 9c41d07be2a35f68\n"+
			"  marigoldctl trace -summary -window 1m gateway-*.log",
		fs, func(_ context.Context, args []string) error {
			if *summary {
				return summarize(o.stdout, stdin, *window, args)
			}
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

// summarize prints why requests of the given logs, or of stdin if there are
// none, were not served within their objective.
func summarize(out io.Writer, stdin io.Reader, window time.Duration, files []string) error {
	s := logtrace.NewSummary(window)
	if len(files) == 0 {
		if err := s.Read(stdin); err != nil {
			return withExitCode(exitUsage, "trace: standard input: %w", err)
		}
	}
	for _, name := range files {
		if err := summarizeFile(s, name); err != nil {
			return withExitCode(exitUsage, "trace: %s: %w", name, err)
		}
	}
	if len(s.Requests) == 0 {
		return withExitCode(exitInvalid, "trace: no ended requests found")
	}
	if err := s.Write(out); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// summarizeFile adds a file to a summary.
func summarizeFile(s *logtrace.Summary, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	// An error of Close does not matter, since the file is only read.
	defer func() { _ = file.Close() }()
	return s.Read(file)
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
