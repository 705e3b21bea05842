package e2e

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startTimeout is the timeout for the start of a process and for other changes
// that a test waits for.
const startTimeout = 30 * time.Second

// binDir is the directory with the binaries, which TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "marigold-e2e")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// nextHost is the number of loopback addresses allocated so far.
var nextHost atomic.Uint32

// newHost allocates a loopback IP address for one process. The address depends on
// the process ID of the test, so that concurrent test runs use different ones.
func newHost() string {
	const octet = 250
	pid := os.Getpid()
	n := int(nextHost.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octet%octet, 1+(pid+n/octet)%octet, 1+n%octet)
}

// proc is a process that a test has started.
type proc struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	// logPath is the path of the file with the process's output.
	logPath string
	// done is closed when the process has exited.
	done chan struct{}
}

// start runs a binary until the end of the test. The end of its output is
// printed if the test fails.
func start(t *testing.T, name, binary string, args ...string) *proc {
	t.Helper()
	logPath := filepath.Join(t.TempDir(), name+".log")
	logFile, err := os.Create(logPath)
	require.NoError(t, err)
	cmd := exec.Command(filepath.Join(binDir, binary), args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	require.NoError(t, cmd.Start())
	p := &proc{t: t, name: name, cmd: cmd, logPath: logPath, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		logFile.Close()
		close(p.done)
	}()
	t.Cleanup(p.cleanup)
	return p
}

// cleanup kills the process and prints the end of its output if the test has
// failed.
func (p *proc) cleanup() {
	p.kill()
	if !p.t.Failed() {
		return
	}
	text, _ := os.ReadFile(p.logPath)
	const tail = 4000
	p.t.Logf("log of %s:\n%s", p.name, text[max(0, len(text)-tail):])
}

// kill kills the process by SIGKILL and waits for its exit.
func (p *proc) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// pause pauses the process by SIGSTOP.
func (p *proc) pause() { require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGSTOP)) }

func (p *proc) resume() { require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGCONT)) }

// terminate stops the process gracefully by SIGTERM and returns its exit code.
func (p *proc) terminate() int {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	return p.wait()
}

// wait waits for the exit of the process and returns its exit code.
func (p *proc) wait() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(2 * time.Minute):
		p.t.Fatalf("%s did not stop", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// waitListening waits until address (IP:port) accepts connections.
func waitListening(t *testing.T, address string) {
	t.Helper()
	require.Eventually(t, func() bool {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	}, startTimeout, 20*time.Millisecond, "%s does not accept connections", address)
}
