package gateway

import (
	"net/http"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// result is what became of one attempt.
type result int

const (
	// delivered: the caller has the server's whole answer.
	delivered result = iota
	// notRun: the server did not run the request, or it was not sent.
	notRun
	// failedAnswer: the server answered whole that it has failed.
	failedAnswer
	// noAnswer: the request may have run and there is no whole answer.
	noAnswer
	// broken: the caller has a part of the answer.
	broken
	// callerLeft: the caller has closed its connection.
	callerLeft
	// timedOut: the request's time is over.
	timedOut
)

var resultNames = map[result]string{
	delivered: "delivered", notRun: "not_run", failedAnswer: "failed_answer", noAnswer: "no_answer",
	broken: "broken", callerLeft: "caller_left", timedOut: "timed_out",
}

// String returns the result for logs and metrics.
func (r result) String() string { return resultNames[r] }

// outcome is the result of one attempt with its reason.
type outcome struct {
	result result
	// reason in words, for logs.
	reason string
	// answer is a whole answer that was kept back, for failedAnswer.
	answer *wholeAnswer
	// serverFault tells whether the server or the way to it is to blame.
	serverFault bool
	// untried tells that the request was not sent to the chosen server.
	untried bool
}

// wholeAnswer is a server's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// ran translates the result for the retry decision.
func (o outcome) ran() peerv1.Ran {
	switch o.result {
	case notRun:
		return peerv1.Ran_RAN_NO
	case failedAnswer:
		return peerv1.Ran_RAN_YES
	default:
		return peerv1.Ran_RAN_UNKNOWN
	}
}

// mayHaveRun tells whether the attempt counts as a run at its server.
func (o outcome) mayHaveRun() bool { return o.result != notRun }

// promisesNotRun tells whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
