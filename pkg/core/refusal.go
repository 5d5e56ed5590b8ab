package core

// Outcome states whether a caller's statement was run.
type Outcome string

// Outcomes of a refused or failed statement.
const (
	// OutcomeNotRun is used only if it is certain that nothing was run.
	OutcomeNotRun Outcome = "not run"
	// OutcomeUncertain is used if the statement may or may not have been run.
	OutcomeUncertain Outcome = "uncertain"
)

// Reason is why the proxy refuses a statement or a connection. Each front end has
// its own error code for it.
type Reason string

// Reasons of refusals. docs/errors.md explains each one.
const (
	ReasonUncertain          Reason = "uncertain"
	ReasonRateExceeded       Reason = "rate exceeded"
	ReasonDeadline           Reason = "deadline"
	ReasonNoPrimary          Reason = "no primary"
	ReasonNoMember           Reason = "no member"
	ReasonOverloaded         Reason = "overloaded"
	ReasonDatabaseLeaving    Reason = "database leaving"
	ReasonStopping           Reason = "stopping"
	ReasonKeyRevoked         Reason = "key revoked"
	ReasonWrongKey           Reason = "wrong key"
	ReasonNoEntry            Reason = "no entry"
	ReasonProtocolViolation  Reason = "protocol violation"
	ReasonNotSupported       Reason = "not supported"
	ReasonReadOnlyEntry      Reason = "read-only entry"
	ReasonTransactionAborted Reason = "transaction aborted"
	ReasonCancelled          Reason = "cancelled"
	ReasonInvalidParameter   Reason = "invalid parameter"
	ReasonUnknownParameter   Reason = "unknown parameter"
	ReasonActiveTransaction  Reason = "active transaction"
)

// Refusal is an error that the proxy itself returns to a caller. It never
// contains a key.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	Message string
	// Fatal closes the caller's connection after the response.
	Fatal bool
}

func (r *Refusal) Error() string {
	return r.Message + " (" + string(r.Outcome) + ", " + string(r.Reason) + ")"
}

// NotRun returns a refusal with the outcome "not run".
func NotRun(reason Reason, message string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Message: message}
}

// Uncertain returns a refusal with the outcome "uncertain".
func Uncertain(message string) *Refusal {
	return &Refusal{Reason: ReasonUncertain, Outcome: OutcomeUncertain, Message: message}
}
