package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds what a case has started, and its record.
type lab struct {
	// trouble is false if the disruption is left out (TROUBLE=0).
	trouble bool
	start   time.Time
	folder  string

	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
	processes []*process
}

func newLab(recordPath string) (*lab, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), folder: folder, file: file, out: bufio.NewWriter(file)}
	l.record("disruption: %v", l.trouble)
	return l, nil
}

// now returns the time since the start of the case.
func (l *lab) now() time.Duration { return time.Since(l.start) }

// record writes a line with the time to the record.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%9.3f %s\n", l.now().Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and closes the record.
func (l *lab) close() {
	l.mu.Lock()
	processes := l.processes
	l.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Flush()
	_ = l.file.Close()
	_ = os.RemoveAll(l.folder)
}

// process is a process that the case has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// run starts a program, with its output in a file of the temporary folder.
func (l *lab) run(name string, argv ...string) (*process, error) {
	cmd := exec.Command(argv[0], argv[1:]...)
	// The programs end with this process, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(l.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if !p.hasEnded() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// logOf returns what a process has written.
func (l *lab) logOf(name string) string {
	data, _ := os.ReadFile(filepath.Join(l.folder, name+".log"))
	return string(data)
}

// gateway is one gateway with its addresses.
type gateway struct {
	*process
	name, callers, ready string
	settings             string
}

// gatewayCommand returns the command of deploy/system.toml with the path of the settings.
func gatewayCommand(settings string) []string {
	return []string{"target/marigold-gateway", "-config", settings}
}

// prepareGateway writes the settings of a gateway on the loopback host 127.0.0.number.
func (l *lab) prepareGateway(number int, zone, store string) (*gateway, error) {
	ip := fmt.Sprintf("127.0.0.%d", number)
	g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, number)}
	var addresses []string
	for range 4 {
		address, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	g.callers, g.ready = addresses[0], addresses[1]
	port := func(address string) string { _, p, _ := net.SplitHostPort(address); return p }
	// The bounds are those of the small sites.
	values := map[string]string{
		"node": g.name, "zone": zone, "ip": ip, "listen.front": g.callers, "listen.readinessAddr": g.ready,
		"portRange.0": port(addresses[2]), "portRange.1": port(addresses[3]), "platform.address": store,
		"bounds.graceS": "8", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "56", "bounds.budgetWindowS": "10",
		"bounds.leaseMs": "3000", "bounds.configApplyMs": "2000", "bounds.drainMs": "2000", "bounds.requireFence": "true",
		"limits.memoryMb": "284",
	}
	template, err := os.ReadFile("deploy/gateway.ini.tmpl")
	if err != nil {
		return nil, err
	}
	g.settings = filepath.Join(l.folder, g.name+".ini")
	return g, os.WriteFile(g.settings, []byte(render(string(template), values)), 0o600)
}

// startGateway starts a gateway and waits until it is ready.
func (l *lab) startGateway(g *gateway, argv ...string) error {
	if len(argv) == 0 {
		argv = gatewayCommand(g.settings)
	}
	p, err := l.run(g.name, argv...)
	if err != nil {
		return err
	}
	g.process = p
	client := http.Client{Timeout: time.Second}
	for range 100 {
		resp, err := client.Get("http://" + g.ready + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				l.record("%s is ready", g.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready:\n%s", g.name, l.logOf(g.name))
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholders = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in a template of settings as far as that of the gateways needs it.
func render(template string, values map[string]string) string {
	template = sections.ReplaceAllStringFunc(template, func(s string) string {
		m := sections.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholders.ReplaceAllStringFunc(template, func(s string) string { return values[strings.Trim(s, "{}")] })
}

// freeAddress returns a free port of a loopback host.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
