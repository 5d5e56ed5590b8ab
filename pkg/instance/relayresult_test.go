package instance

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Guards against "not run" for a statement that may have run at the home: the home could
// not encode its answer, the connection ended, or the answer cannot be read.
func TestWhatALostResponseSaysOfTheStatement(t *testing.T) {
	notRun := []rpc.Result{
		{Err: &rpc.RefusedError{}}, {Err: &rpc.OverloadError{}}, {Err: &rpc.EncodeError{}}, {Err: &rpc.RemoteError{Message: "unknown method"}},
		{Err: &rpc.NotAcceptedError{}}, {Err: &rpc.RemoteError{Code: rpc.CodeNotAccepted}},
	}
	mayHaveRun := []rpc.Result{
		{Err: &rpc.RemoteError{Code: rpc.CodeInternal}}, {Err: &rpc.TimeoutError{}}, {Err: &rpc.ClosedError{}},
		{Raw: json.RawMessage(`[`)}, {Raw: json.RawMessage(`{"p":"x"}`)},
	}
	for _, r := range notRun {
		require.True(t, relayResult(relayTag{}, r).(session.RelayLost).Unsent, "%v", r.Err)
	}
	for _, r := range mayHaveRun {
		require.False(t, relayResult(relayTag{}, r).(session.RelayLost).Unsent, "%v %s", r.Err, r.Raw)
	}
}
