package rpc

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/exp/jsonrpc2"
)

// Guards against a message that is lost or decoded twice when it arrives in pieces.
func TestDecodeTakesMessagesFromPartialInput(t *testing.T) {
	first, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(7), "status", map[string]int{"a": 1})
	require.NoError(t, err)
	second, err := jsonrpc2.NewNotification("versions", nil)
	require.NoError(t, err)
	buffer, err := Append(nil, first)
	require.NoError(t, err)
	whole := len(buffer)
	buffer, err = Append(buffer, second)
	require.NoError(t, err)
	for cut := range whole {
		m, n, err := Decode(buffer[:cut])
		require.NoError(t, err)
		require.Nil(t, m)
		require.Zero(t, n)
	}
	m, n, err := Decode(buffer)
	require.NoError(t, err)
	require.Equal(t, whole, n)
	require.Equal(t, "status", m.(*jsonrpc2.Request).Method)
	m, n, err = Decode(buffer[n:])
	require.NoError(t, err)
	require.Equal(t, len(buffer)-whole, n)
	require.Equal(t, "versions", m.(*jsonrpc2.Request).Method)
}

// FuzzDecode guards against panics and against consuming more than the input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("Content-Length: 2\r\n\r\n{}"))
	f.Add([]byte("Content-Length: 99999999999\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, n, err := Decode(b)
		require.LessOrEqual(t, n, len(b))
		if m == nil {
			require.Zero(t, n)
		}
		if err != nil {
			require.Nil(t, m)
		}
	})
}
