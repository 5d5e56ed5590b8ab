package member

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// SQLSTATEs of the member's errors.
const (
	codeSyntax             = "42601"
	codeReadOnly           = "25006"
	codeFailedTransaction  = "25P02"
	codeInTransaction      = "25001"
	codeNoTransaction      = "25P01"
	codeDuplicateKey       = "23505"
	codeInvalidText        = "22P02"
	codeCancelled          = "57014"
	codeTooManyConnections = "53300"
	codeUnknownStatement   = "26000"
	codeUnknownPortal      = "34000"
	codeUnknownSetting     = "42704"
	codeProtocol           = "08P01"
)

// SQLError is an error that the member sends to the caller.
type SQLError struct {
	// Code is the SQLSTATE.
	Code    string
	Message string
}

func (e *SQLError) Error() string {
	return e.Code + ": " + e.Message
}

func syntaxError(err error) *SQLError {
	return &SQLError{Code: codeSyntax, Message: err.Error()}
}

func readOnlyError(role core.Role) *SQLError {
	return &SQLError{Code: codeReadOnly, Message: "cannot execute a write on a " + string(role) + " member"}
}
