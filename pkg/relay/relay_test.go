package relay

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

func roundTrip[T any](t *testing.T, v T) T {
	text, err := json.Marshal(v)
	require.NoError(t, err)
	var again T
	require.NoError(t, json.Unmarshal(text, &again))
	return again
}

// Guards against a field of a request that is lost on the way: the home would run
// another request, in another transaction or for another caller.
func TestRequestRoundTrip(t *testing.T) {
	now := time.Unix(100, 0)
	v := session.RelayRequest{
		ID: session.RelayID{Caller: 7, Sequence: 9}, Entry: "entry", Key: "key", Floor: core.Position{Term: 2, LSN: 5},
		Version: 12, Begins: true, Opens: true, ReadOnly: true, Transaction: 4,
		Request: &session.Request{
			Verdict: &session.Verdict{Kind: session.KindEnd, Name: "commit", Commit: true, Hints: session.Hints{MaxAge: -1}},
			Payload: &session.Payload{ID: "id", Frames: []byte("text"), Settings: []session.Setting{{Name: "a", Value: "b"}},
				Prepared: []session.PreparedStatement{{Name: "p", ParseFrame: []byte("frame")}}},
			Arrived: now.Add(-3 * time.Millisecond),
		},
	}
	encoded := roundTrip(t, NewRequest("run", "10.0.0.1:1", v, now))
	in, err := encoded.Input("reply", now)
	require.NoError(t, err)
	require.Equal(t, session.RemoteID{Instance: "run", Caller: 7}, in.Caller)
	require.Equal(t, session.PeerAddress("10.0.0.1:1"), in.From)
	require.Equal(t, v.Floor, in.Floor)
	require.Equal(t, []any{v.Entry, v.Key, v.Version, v.ID.Sequence, v.Begins, v.Opens, v.ReadOnly, v.Transaction},
		[]any{in.Entry, in.Key, in.Version, in.Sequence, in.Begins, in.Opens, in.ReadOnly, in.Transaction})
	require.Equal(t, v.Request.Verdict, in.Request.Verdict)
	require.Equal(t, v.Request.Payload, in.Request.Payload)
	require.Equal(t, v.Request.Arrived, in.Request.Arrived)
}

// Guards against an answer that promises something else at the caller's instance.
func TestAnswerRoundTrip(t *testing.T) {
	for _, a := range []session.RelayAnswer{
		{Frames: []byte("rows\r\n"), TxStatus: 'T', Position: core.Position{Term: 1, LSN: 3}, ErrorState: "E"},
		{Frames: []byte{}, TxStatus: 'I', Refusal: core.Uncertain("x"), Closing: true},
		{Frames: []byte{}, TxStatus: 'I', Elsewhere: true, Version: 4},
		{Frames: []byte{}, TxStatus: 'I', Proof: session.Proof{Position: core.Position{Term: 2, LSN: 8}, Age: 70 * time.Millisecond}},
	} {
		encoded := roundTrip(t, NewAnswer(a))
		again, err := encoded.Decode()
		require.NoError(t, err)
		require.Equal(t, a, again)
	}
}

// Guards against a proof that is taken for younger than it is because its age was
// rounded down.
func TestProofAgeIsRoundedUp(t *testing.T) {
	proof := session.Proof{Position: core.Position{Term: 2, LSN: 8}, Age: 70*time.Millisecond + time.Nanosecond}
	encoded := NewAnswer(session.RelayAnswer{TxStatus: 'I', Proof: proof})
	again, err := encoded.Decode()
	require.NoError(t, err)
	require.GreaterOrEqual(t, again.Proof.Age, proof.Age)
}
