package rpc

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a call with a long transfer that waits for a response which stopped arriving, and
// against other calls that outlive their timeout because bytes arrive.
func TestCallEndsWhenItsResponseStopsArriving(t *testing.T) {
	for name, transfer := range map[string]time.Duration{"with a transfer": time.Hour, "without": 0} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				// The first part of a response of 1,000 bytes.
				_, _ = conn.Write([]byte("Content-Length: 1000\r\n\r\n{"))
			}()
			config := DefaultConfig()
			config.TransferIdle = 50 * time.Millisecond
			duty, err := New(config)
			require.NoError(t, err)
			results := make(chan Result, 1)
			go duty.Run(func(e Event) bool {
				results <- e.(Result)
				return true
			})
			defer duty.Send(Stop{})
			duty.Send(Call{Address: listener.Addr().String(), Method: "m", Timeout: 100 * time.Millisecond, Transfer: transfer})
			require.ErrorAs(t, (<-results).Err, new(*TimeoutError))
		})
	}
}
