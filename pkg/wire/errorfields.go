package wire

import "github.com/jackc/pgx/v5/pgproto3"

// field codes of ErrorResponse, from the PostgreSQL protocol.
const fieldState = 'C'

// ErrorState returns the SQLSTATE of the body of an ErrorResponse, empty when
// it has none.
func ErrorState(body []byte) string {
	for len(body) > 1 && body[0] != 0 {
		code := body[0]
		text, rest, ok := CString(body[1:])
		if !ok {
			return ""
		}
		if code == fieldState {
			return string(text)
		}
		body = rest
	}
	return ""
}

// Failure is an error that the proxy itself sends.
type Failure struct {
	// Severity is "ERROR" or "FATAL".
	Severity string
	SQLState string
	Message  string
	Detail   string
	Hint     string
}

// Severities of a Failure.
const (
	SeverityError = "ERROR"
	SeverityFatal = "FATAL"
)

// AppendFailure appends f as an ErrorResponse.
func AppendFailure(dst []byte, f Failure) []byte {
	return Append(dst, &pgproto3.ErrorResponse{
		Severity:            f.Severity,
		SeverityUnlocalized: f.Severity,
		Code:                f.SQLState,
		Message:             f.Message,
		Detail:              f.Detail,
		Hint:                f.Hint,
	})
}
