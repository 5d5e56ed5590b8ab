package store

import "fmt"

// ConflictError reports that a record's revision is not the expected one.
type ConflictError struct {
	// Current is the current record. Its Revision is NotExists if there is none.
	Current Record
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("record %q is at revision %d", e.Current.Key, e.Current.Revision)
}

// NotFoundError reports a record that does not exist or a lease that has ended.
type NotFoundError struct {
	What string
}

func (e *NotFoundError) Error() string {
	return e.What + " not found"
}

// RateLimitedError reports a call that was rejected by the platform's rate limit
// and had no effect.
type RateLimitedError struct{}

func (e *RateLimitedError) Error() string {
	return "the platform's call rate is exceeded"
}

// UnavailableError reports a call that certainly had no effect: a failed read, or
// a change that was not sent or that the platform rejected.
type UnavailableError struct {
	Reason string
}

func (e *UnavailableError) Error() string {
	return "platform unavailable: " + e.Reason
}

// InvalidError reports an invalid platform address, key or request.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string {
	return "invalid platform message: " + e.Reason
}

// UnknownOutcomeError reports a change whose response was lost. The change may
// have taken effect or may still take effect later.
type UnknownOutcomeError struct {
	Reason string
}

func (e *UnknownOutcomeError) Error() string {
	return "outcome of the platform call is unknown: " + e.Reason
}
