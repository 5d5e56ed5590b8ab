package core

// Outcome tells a caller what became of its statement.
type Outcome string

// Outcomes of a refused or failed statement.
const (
	// OutcomeNotRun is given only when it is certain that nothing ran.
	OutcomeNotRun Outcome = "not run"
	// OutcomeUncertain is given when the statement may or may not have run.
	OutcomeUncertain Outcome = "uncertain"
)

// Refusal is an error that the proxy itself answers. It never holds a key.
type Refusal struct {
	// SQLState is the five-character code that the caller sees.
	SQLState string
	Outcome  Outcome
	Message  string
	// Fatal closes the caller's connection after the answer.
	Fatal bool
}

func (r *Refusal) Error() string {
	return r.Message + " (" + string(r.Outcome) + ", SQLSTATE " + r.SQLState + ")"
}

// SQLSTATEs that the proxy makes. docs/errors.md explains each one.
const (
	StateUncertain          = "40003"
	StateRateExceeded       = "SH001"
	StateDeadline           = "SH002"
	StateNoPrimary          = "SH003"
	StateNoMember           = "SH004"
	StateOverloaded         = "SH005"
	StateDatabaseLeaving    = "SH006"
	StateStopping           = "SH007"
	StateKeyRevoked         = "SH008"
	StateWrongKey           = "28P01"
	StateNoEntry            = "3D000"
	StateProtocolViolation  = "08P01"
	StateNotSupported       = "0A000"
	StateReadOnlyRoute      = "25006"
	StateTransactionAborted = "40000"
)

// NotRun returns a refusal with the outcome "not run".
func NotRun(state, message string) *Refusal {
	return &Refusal{SQLState: state, Outcome: OutcomeNotRun, Message: message}
}

// Uncertain returns a refusal with the outcome "uncertain".
func Uncertain(message string) *Refusal {
	return &Refusal{SQLState: StateUncertain, Outcome: OutcomeUncertain, Message: message}
}
