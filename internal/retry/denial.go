package retry

// Denial is why an attempt is not retried.
type Denial int

const (
	// DenialNone means that the attempt is retried.
	DenialNone Denial = iota
	// DenialMayHaveRun: the request is not idempotent and may have been executed.
	DenialMayHaveRun
	// DenialTerminal: any other backend server would refuse for the same reason.
	DenialTerminal
	// DenialAttempts: the request has used its number of attempts.
	DenialAttempts
	// DenialDeadline: another attempt is predicted to end after the deadline.
	DenialDeadline
	// DenialBudget: the retry budget is exhausted.
	DenialBudget
)

var denialNames = map[Denial]string{
	DenialNone: "none", DenialMayHaveRun: "may_have_run", DenialTerminal: "terminal",
	DenialAttempts: "attempts", DenialDeadline: "deadline", DenialBudget: "budget",
}

// String returns the denial as written to logs and metrics.
func (d Denial) String() string { return denialNames[d] }
