package wire

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

const testLimit = 1 << 10

// Guards against decoding a frame before its last byte has arrived.
func TestNextWaitsForTheWholeFrame(t *testing.T) {
	whole := Append(nil, &pgproto3.Query{String: "select 1"})
	for size := range whole {
		_, complete, err := Next(whole[:size], testLimit)
		require.NoError(t, err)
		require.False(t, complete, "%d bytes", size)
	}
	frame, complete, err := Next(append(whole, 'X'), testLimit)
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, byte('Q'), frame.Type)
	require.Equal(t, whole, frame.Raw)
	var query pgproto3.Query
	require.NoError(t, Decode(frame, &query))
	require.Equal(t, "select 1", query.String)
}

// Guards against unlimited buffering for a length field that a peer sets too high, and
// against a length that is negative or does not cover the length field itself, which
// would move the read position backwards.
func TestNextRefusesLengthsOutsideTheBounds(t *testing.T) {
	var size *SizeError
	_, _, err := Next([]byte{'Q', 0, 0, 4, 1}, testLimit)
	require.ErrorAs(t, err, &size)
	require.Equal(t, SizeError{Size: 1025, Limit: testLimit}, *size)
	var protocol *ProtocolError
	for _, header := range [][]byte{{'Q', 0, 0, 0, 3}, {'Q', 0xff, 0xff, 0xff, 0xff}} {
		_, _, err = Next(header, testLimit)
		require.ErrorAs(t, err, &protocol)
	}
}

// Guards against decoding a startup packet as one of another type.
func TestNextStartupTellsThePacketsApart(t *testing.T) {
	packets := []pgproto3.FrontendMessage{
		&pgproto3.SSLRequest{},
		&pgproto3.GSSEncRequest{},
		&pgproto3.CancelRequest{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}},
		&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}},
	}
	for _, packet := range packets {
		raw := Append(nil, packet)
		part, _, err := NextStartup(raw[:len(raw)-1])
		require.NoError(t, err)
		require.Nil(t, part)
		got, size, err := NextStartup(raw)
		require.NoError(t, err)
		require.Equal(t, len(raw), size)
		require.Equal(t, packet, got)
	}
	var protocol *ProtocolError
	_, _, err := NextStartup([]byte{0, 0, 0, 8, 0, 2, 0, 0})
	require.ErrorAs(t, err, &protocol)
	var size *SizeError
	_, _, err = NextStartup([]byte{0, 1, 0, 0})
	require.ErrorAs(t, err, &size)
}

// Guards against an SQLSTATE that is missed or read from another field.
func TestErrorStateReadsOnlyTheCode(t *testing.T) {
	raw := AppendFailure(nil, Failure{Severity: SeverityError, SQLState: "42P01", Message: "C99999", Detail: "d"})
	frame, complete, err := Next(raw, testLimit)
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, "42P01", ErrorSQLState(frame.Body))
	require.Empty(t, ErrorSQLState([]byte("Mno end")))
	require.Empty(t, ErrorSQLState(nil))
}

// FuzzNext guards against panics and against frames that extend beyond the input.
func FuzzNext(f *testing.F) {
	f.Add(Append(nil, &pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "s"}))
	f.Add([]byte{'Q', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, buf []byte) {
		rest := buf
		for {
			frame, complete, err := Next(rest, testLimit)
			if err != nil || !complete {
				break
			}
			require.Equal(t, frame.Raw, rest[:len(frame.Body)+HeaderSize])
			ErrorSQLState(frame.Body)
			rest = rest[len(frame.Raw):]
		}
		message, size, err := NextStartup(buf)
		if err == nil && message != nil {
			require.LessOrEqual(t, size, len(buf))
		}
	})
}
