package store

import "fmt"

// ConflictError reports that a record's revision is not the expected one.
type ConflictError struct {
	// Current is the record as it is; its Revision is NotExists if there is none.
	Current Record
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("record %q is at revision %d", e.Current.Key, e.Current.Revision)
}

// NotFoundError reports a missing record or an ended lease.
type NotFoundError struct {
	What string
}

func (e *NotFoundError) Error() string {
	return e.What + " not found"
}

// RateLimitedError reports a call refused by the platform's rate limit. The
// call had no effect.
type RateLimitedError struct{}

func (e *RateLimitedError) Error() string {
	return "the platform's call rate is exceeded"
}

// UnavailableError reports a call that certainly had no effect: a read that
// failed, or a change that was not sent or was refused.
type UnavailableError struct {
	Reason string
}

func (e *UnavailableError) Error() string {
	return "platform unavailable: " + e.Reason
}

// InvalidError reports a request or a response that breaks the protocol.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string {
	return "invalid platform message: " + e.Reason
}

// UnknownOutcomeError reports a change whose response was lost. The change may
// have taken effect, or may still do so.
type UnknownOutcomeError struct {
	Reason string
}

func (e *UnknownOutcomeError) Error() string {
	return "outcome of the platform call is unknown: " + e.Reason
}
