package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/standin/service"
)

// plainAnswer is what an attempt at a plain service has emitted.
type plainAnswer struct {
	discardFrames
	status   int32
	body     bytes.Buffer
	complete bool
	failed   bool
	ran      peerv1.Ran
}

// SendFrame implements peerrpc.FrameSender.
func (a *plainAnswer) SendFrame(_ context.Context, f *peerv1.Frame) error {
	switch f.GetKind() {
	case peerv1.FrameKind_FRAME_KIND_HEAD:
		a.status = f.GetStatus()
	case peerv1.FrameKind_FRAME_KIND_END:
		a.complete = true
	case peerv1.FrameKind_FRAME_KIND_FAILED:
		a.failed, a.ran = true, f.GetRan()
	}
	a.body.Write(f.GetData())
	return nil
}

// callTimeout is the deadline of the calls of these tests.
const callTimeout = 5 * time.Second

// callPlain makes one call.
func callPlain(t *testing.T, r *plainRunner, method string) *plainAnswer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	answer := &plainAnswer{}
	submit := &peerv1.Submit{Method: method, Path: "/", RequestId: "r1"}
	r.run(ctx, submit, newEmitter(ctx, answer, submit, func() *peerv1.Load { return nil }))
	return answer
}

// runnerOf returns a runner for the service at an address.
func runnerOf(address string) *plainRunner {
	return &plainRunner{client: newPlainClient(), baseURL: "http://" + address}
}

// requireCut checks that an answer is reported as run and broken, and nothing of it relayed.
func requireCut(t *testing.T, a *plainAnswer) {
	t.Helper()
	require.False(t, a.complete, "relayed as whole: %q", a.body.String())
	require.True(t, a.failed)
	require.Equal(t, peerv1.Ran_RAN_YES, a.ran)
	require.Zero(t, a.body.Len())
}

// rawService is a plain service whose answers are raw bytes. It serves one connection after
// the other, or each at once.
type rawService struct {
	listener net.Listener
	// answer writes the answer to a call.
	answer func(s *rawService, conn net.Conn)
	// answersOptions is the answer to a request that concerns the service as a whole.
	answersOptions string
	// idleTimeout is how long a connection without a request stays open; 0 for ever.
	idleTimeout time.Duration

	mu       sync.Mutex
	accepted []net.Conn
}

// startRawService starts a service.
func startRawService(t *testing.T, serial bool, answer func(s *rawService, conn net.Conn)) *rawService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawService{listener: listener, answer: answer, answersOptions: "HTTP/1.0 501 Unsupported\r\n\r\n"}
	go s.run(serial)
	return s
}

func (s *rawService) run(serial bool) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, conn)
		s.mu.Unlock()
		if serial {
			s.serve(conn)
		} else {
			go s.serve(conn)
		}
	}
}

func (s *rawService) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.idleTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(s.idleTimeout))
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	switch {
	case err != nil:
	case r.Method == http.MethodOptions:
		_, _ = io.WriteString(conn, s.answersOptions)
	default:
		s.answer(s, conn)
	}
}

// end closes all that the service has but the connection of the call, as a process that
// ends does.
func (s *rawService) end(call net.Conn) {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.accepted {
		if conn != call {
			_ = conn.Close()
		}
	}
}

// connections returns the number of connections that the service has accepted.
func (s *rawService) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}

// write returns an answer of raw bytes.
func write(text string) func(*rawService, net.Conn) {
	return func(_ *rawService, conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

const (
	unmarkedAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole"
	markedAnswer   = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
)

// envKilledService makes the test binary a service that kills itself.
const envKilledService = "MARIGOLDWING_TEST_KILLED_SERVICE"

// TestMain runs the service of TestAnswerOfKilledServiceIsNotComplete in its own process.
func TestMain(m *testing.M) {
	if os.Getenv(envKilledService) == "" {
		os.Exit(m.Run())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	acceptEach(listener, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.TrimSuffix(unmarkedAnswer, "ole"))
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	})
}

// TestAnswerOfKilledServiceIsNotComplete guards against a part of an answer that callers
// take for the whole: the service was killed, and its connections are closed in order.
func TestAnswerOfKilledServiceIsNotComplete(t *testing.T) {
	service := exec.Command(os.Args[0])
	service.Env = append(os.Environ(), envKilledService+"=1")
	output, err := service.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, service.Start())
	defer func() { _ = service.Wait() }()
	address, err := bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	requireCut(t, callPlain(t, runnerOf(strings.TrimSpace(address)), http.MethodPost))
}

// TestAnswerOfServiceThatStartedAgainIsNotComplete guards against a new start of the
// service, up before the old connection ends, that is taken for the one that was called.
func TestAnswerOfServiceThatStartedAgainIsNotComplete(t *testing.T) {
	for _, serial := range []bool{false, true} {
		cut := func(s *rawService, conn net.Conn) {
			_, _ = io.WriteString(conn, strings.TrimSuffix(unmarkedAnswer, "ole"))
			s.end(conn)
			listener, err := net.Listen("tcp", s.listener.Addr().String())
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = listener.Close() })
			next := &rawService{listener: listener, answer: write(unmarkedAnswer), answersOptions: s.answersOptions}
			go next.run(false)
		}
		s := startRawService(t, serial, cut)
		requireCut(t, callPlain(t, runnerOf(s.listener.Addr().String()), http.MethodPost))
	}
}

// TestAnswersWithoutLengthOfServicesThatLiveAreComplete checks that sound answers are
// relayed, also of services that serve one connection at a time.
func TestAnswersWithoutLengthOfServicesThatLiveAreComplete(t *testing.T) {
	for _, serial := range []bool{false, true} {
		s := startRawService(t, serial, write(unmarkedAnswer))
		runner := runnerOf(s.listener.Addr().String())
		var calls sync.WaitGroup
		for range 20 {
			calls.Go(func() {
				answer := callPlain(t, runner, http.MethodPost)
				if !answer.complete || answer.body.String() != "whole" {
					t.Errorf("serial %v: sound answer not relayed: %q", serial, answer.body.String())
				}
			})
		}
		calls.Wait()
	}
}

// TestConfirmationRunsNothing checks that what shows that a service lives on has no effect
// there.
func TestConfirmationRunsNothing(t *testing.T) {
	s := &service.Service{}
	s.SetFaults(service.Faults{OmitLength: true})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	runner := runnerOf(strings.TrimPrefix(server.URL, "http://"))
	for range 5 {
		answer := callPlain(t, runner, http.MethodPost)
		require.True(t, answer.complete)
		require.Contains(t, answer.body.String(), `"request_id":"r1"`)
	}
	require.Equal(t, service.EffectCounts{"": 5}, s.Snapshot(), "the confirmation runs nothing")
}

// TestServiceThatMarksEndsGetsNoOtherConnections checks that services are not burdened
// once they have shown that they mark the ends of their answers.
func TestServiceThatMarksEndsGetsNoOtherConnections(t *testing.T) {
	s := startRawService(t, false, write(markedAnswer))
	runner := runnerOf(s.listener.Addr().String())
	for range 10 {
		require.True(t, callPlain(t, runner, http.MethodPost).complete)
	}
	require.LessOrEqual(t, s.connections(), 11)
}

// TestServiceThatStopsMarkingEnds checks that an answer without a length of a service that
// has always stated one is not confirmed, and that later ones are.
func TestServiceThatStopsMarkingEnds(t *testing.T) {
	var marks atomic.Bool
	marks.Store(true)
	s := startRawService(t, false, func(s *rawService, conn net.Conn) {
		if marks.Load() {
			write(markedAnswer)(s, conn)
			return
		}
		write(unmarkedAnswer)(s, conn)
	})
	runner := runnerOf(s.listener.Addr().String())
	require.True(t, callPlain(t, runner, http.MethodPost).complete)
	marks.Store(false)
	requireCut(t, callPlain(t, runner, http.MethodPost))
	require.True(t, callPlain(t, runner, http.MethodPost).complete)
}

// TestAnswersWithoutBodiesAreComplete checks that an answer that can't have a body needs no
// confirmation.
func TestAnswersWithoutBodiesAreComplete(t *testing.T) {
	for text, method := range map[string]string{
		"HTTP/1.1 200 OK\r\n\r\n":           http.MethodHead,
		"HTTP/1.1 204 No Content\r\n\r\n":   http.MethodPost,
		"HTTP/1.1 304 Not Modified\r\n\r\n": http.MethodGet,
	} {
		s := startRawService(t, false, write(text))
		s.answersOptions = ""
		require.True(t, callPlain(t, runnerOf(s.listener.Addr().String()), method).complete, text)
	}
}

// TestPlainAnswerCutAnywhereIsNotComplete checks answers that are cut at any of their bytes
// by a service that lives on, and whose ends are marked, and all heads.
func TestPlainAnswerCutAnywhereIsNotComplete(t *testing.T) {
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	head := strings.TrimSuffix(unmarkedAnswer, "whole")
	for _, whole := range []string{markedAnswer, chunks, head} {
		for cut := range len(whole) {
			for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"} {
				s := startRawService(t, false, write(before+whole[:cut]))
				answer := callPlain(t, runnerOf(s.listener.Addr().String()), http.MethodPost)
				require.False(t, answer.complete, "%q", before+whole[:cut])
				require.True(t, answer.failed, "%q", before+whole[:cut])
				require.NotEqual(t, peerv1.Ran_RAN_NO, answer.ran, "%q", before+whole[:cut])
				_ = s.listener.Close()
			}
		}
	}
}

// TestSwitchOfProtocolIsNoAnswer guards against calls that wait beyond their deadline for
// the end of a connection that the service has taken for another protocol.
func TestSwitchOfProtocolIsNoAnswer(t *testing.T) {
	release := make(chan bool)
	defer close(release)
	s := startRawService(t, false, func(_ *rawService, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		<-release
	})
	answered := make(chan *plainAnswer)
	go func() { answered <- callPlain(t, runnerOf(s.listener.Addr().String()), http.MethodPost) }()
	select {
	case answer := <-answered:
		require.False(t, answer.complete)
		require.True(t, answer.failed)
	case <-time.After(2 * callTimeout):
		t.Error("the call waits beyond its deadline")
	}
}

// startImpatientService starts a service that ends connections without a request after a
// short time, with an answer or without. Calls are answered by answer.
func startImpatientService(t *testing.T, timeoutAnswer string, answer func(listener net.Listener, conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go acceptEach(listener, func(conn net.Conn) {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			_, _ = io.WriteString(conn, timeoutAnswer)
			_ = conn.Close()
			return
		}
		time.Sleep(300 * time.Millisecond)
		answer(listener, conn)
		_ = conn.Close()
	})
	return listener.Addr().String()
}

// TestAnswerFromBeforeTheQuestionConfirmsNothing guards against a part of an answer that is
// taken for the whole: the other connection has timed out with status 408, and the service
// has ended since.
func TestAnswerFromBeforeTheQuestionConfirmsNothing(t *testing.T) {
	address := startImpatientService(t, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", func(listener net.Listener, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.TrimSuffix(unmarkedAnswer, "ole"))
		_ = listener.Close()
	})
	requireCut(t, callPlain(t, runnerOf(address), http.MethodPost))
}

// TestSlowAnswerOfServiceThatClosesIdleConnectionsIsRelayed guards against sound answers
// that are dropped because they took longer than a connection may idle.
func TestSlowAnswerOfServiceThatClosesIdleConnectionsIsRelayed(t *testing.T) {
	address := startImpatientService(t, "", func(_ net.Listener, conn net.Conn) { _, _ = io.WriteString(conn, unmarkedAnswer) })
	require.True(t, callPlain(t, runnerOf(address), http.MethodPost).complete)
}

// TestSlowAnswersOfServiceThatClosesIdleConnectionsAreRelayed checks the same whenever the
// answers end, for the first calls to a service and for later ones. The idle timeout is long
// enough for machines that stand still for up to 300 ms.
func TestSlowAnswersOfServiceThatClosesIdleConnectionsAreRelayed(t *testing.T) {
	var calls atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawService{listener: listener, answersOptions: "HTTP/1.0 501 Unsupported\r\n\r\n", idleTimeout: 500 * time.Millisecond}
	s.answer = func(_ *rawService, conn net.Conn) {
		time.Sleep(time.Duration(4+calls.Add(1)%8) * 150 * time.Millisecond)
		_, _ = io.WriteString(conn, unmarkedAnswer)
	}
	go s.run(false)
	runner := runnerOf(listener.Addr().String())
	for range 2 {
		var running sync.WaitGroup
		for range 8 {
			running.Go(func() {
				if !callPlain(t, runner, http.MethodPost).complete {
					t.Error("sound answer not relayed")
				}
			})
		}
		running.Wait()
	}
}

// TestNextStartOfServiceThatClosesIdleConnectionsConfirmsNothing guards against a part of an
// answer that is taken for the whole: the first connections beside the call have timed out,
// and the last ones are to the next start of the service, up before the call's has ended.
func TestNextStartOfServiceThatClosesIdleConnectionsConfirmsNothing(t *testing.T) {
	const idleTimeout = 100 * time.Millisecond
	for delay := 80 * time.Millisecond; delay < 400*time.Millisecond; delay += 20 * time.Millisecond {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := listener.Addr().String()
		answer := func(s *rawService, conn net.Conn) {
			time.Sleep(delay)
			_, _ = io.WriteString(conn, strings.TrimSuffix(unmarkedAnswer, "ole"))
			s.end(conn)
			nextListener, err := net.Listen("tcp", address)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = nextListener.Close() })
			next := &rawService{listener: nextListener, answer: write(unmarkedAnswer), answersOptions: s.answersOptions, idleTimeout: idleTimeout}
			go next.run(false)
			time.Sleep(2 * linkTime)
		}
		s := &rawService{listener: listener, answer: answer, answersOptions: "HTTP/1.0 501 Unsupported\r\n\r\n", idleTimeout: idleTimeout}
		go s.run(false)
		requireCut(t, callPlain(t, runnerOf(address), http.MethodPost))
	}
}

// TestFurtherConnectionsAreBounded guards against a service that is burdened by connections
// because it closes them at once, or because a call takes long.
func TestFurtherConnectionsAreBounded(t *testing.T) {
	for idleTimeout, most := range map[time.Duration]int{time.Millisecond: 2, 100 * time.Millisecond: 65} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		answer := func(_ *rawService, conn net.Conn) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(conn, unmarkedAnswer)
		}
		s := &rawService{listener: listener, answer: answer, idleTimeout: idleTimeout}
		go s.run(false)
		callPlain(t, runnerOf(listener.Addr().String()), http.MethodPost)
		require.LessOrEqual(t, s.connections(), most, "%s", idleTimeout)
		_ = listener.Close()
	}
}

// TestOneEarlyCloseDoesNotMultiplyConnections guards against a service that is burdened for
// ever because it has closed one connection early.
func TestOneEarlyCloseDoesNotMultiplyConnections(t *testing.T) {
	s := startRawService(t, false, func(_ *rawService, conn net.Conn) {
		time.Sleep(time.Second)
		_, _ = io.WriteString(conn, unmarkedAnswer)
	})
	runner := runnerOf(s.listener.Addr().String())
	runner.ends.recordClosed(minLifetime)
	require.True(t, callPlain(t, runner, http.MethodPost).complete)
	require.LessOrEqual(t, s.connections(), 25)
	require.Greater(t, time.Duration(runner.ends.lifetime.Load()), 800*time.Millisecond)
}

// TestServiceThatHandsItsAddressOverIsNotConfirmed guards against a part of an answer that
// is taken for the whole: another process listens at the address while the one that was
// called works on and has closed its idle connections, and the latter is killed.
func TestServiceThatHandsItsAddressOverIsNotConfirmed(t *testing.T) {
	for delay := 30 * time.Millisecond; delay < 300*time.Millisecond; delay += 30 * time.Millisecond {
		s := startRawService(t, false, func(s *rawService, conn net.Conn) {
			time.Sleep(delay)
			s.end(conn)
			nextListener, err := net.Listen("tcp", s.listener.Addr().String())
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = nextListener.Close() })
			next := &rawService{listener: nextListener, answer: write(unmarkedAnswer), answersOptions: s.answersOptions}
			go next.run(false)
			time.Sleep(delay)
			_, _ = io.WriteString(conn, strings.TrimSuffix(unmarkedAnswer, "ole"))
		})
		requireCut(t, callPlain(t, runnerOf(s.listener.Addr().String()), http.MethodPost))
	}
}
