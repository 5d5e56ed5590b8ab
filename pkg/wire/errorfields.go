package wire

import "github.com/jackc/pgx/v5/pgproto3"

// fieldSQLState is the code of the SQLSTATE field in an ErrorResponse, from the
// PostgreSQL protocol.
const fieldSQLState = 'C'

// ErrorSQLState returns the SQLSTATE in the body of an ErrorResponse; "" when it
// has none or the body is invalid.
func ErrorSQLState(body []byte) string {
	for len(body) > 1 && body[0] != 0 {
		code := body[0]
		text, rest, ok := CString(body[1:])
		if !ok {
			return ""
		}
		if code == fieldSQLState {
			return string(text)
		}
		body = rest
	}
	return ""
}

// Failure is an error that the proxy itself sends to a caller.
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

// AppendFailure appends f to dst as an ErrorResponse.
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
