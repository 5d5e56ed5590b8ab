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
	var decoded T
	require.NoError(t, json.Unmarshal(text, &decoded))
	return decoded
}

// Guards against a request field that is lost in encoding: the home would execute a
// different request, in another transaction or for another caller.
func TestRequestRoundTrip(t *testing.T) {
	now := time.Unix(100, 0)
	v := session.RelayRequest{
		ID: session.RelayID{Caller: 7, Sequence: 9}, Entry: "entry", Key: "key", Floor: core.Position{Term: 2, LSN: 5},
		Version: 12, OutsideTransaction: true, FirstInTransaction: true, ReadOnly: true, TransactionSequence: 4,
		Request: &session.Request{
			Classification: &session.Classification{Kind: session.KindEnd, Name: "commit", Commit: true, Hints: session.Hints{MaxAge: -1}},
			Payload: &session.Payload{ID: "id", Frames: []byte("text"), Settings: []session.Setting{{Name: "a", Value: "b"}},
				Prepared: []session.PreparedStatement{{Name: "p", ParseFrame: []byte("frame")}}},
			Arrived: now.Add(-3 * time.Millisecond),
		},
	}
	encoded := roundTrip(t, NewRequest("run", "10.0.0.1:1", v, now))
	decoded, err := encoded.Decode("reply", now)
	require.NoError(t, err)
	require.Equal(t, session.RemoteID{Instance: "run", Caller: 7}, decoded.Caller)
	require.Equal(t, session.PeerAddress("10.0.0.1:1"), decoded.From)
	require.Equal(t, v.Floor, decoded.Floor)
	require.Equal(t, []any{v.Entry, v.Key, v.Version, v.ID.Sequence, v.OutsideTransaction, v.FirstInTransaction, v.ReadOnly, v.TransactionSequence},
		[]any{decoded.Entry, decoded.Key, decoded.Version, decoded.Sequence, decoded.OutsideTransaction,
			decoded.FirstInTransaction, decoded.ReadOnly, decoded.TransactionSequence})
	require.Equal(t, v.Request.Classification, decoded.Request.Classification)
	require.Equal(t, v.Request.Payload, decoded.Request.Payload)
	require.Equal(t, v.Request.Arrived, decoded.Request.Arrived)
}

// Guards against a response field that is lost or changed in encoding: the caller's
// instance would act on a different result.
func TestAnswerRoundTrip(t *testing.T) {
	for _, response := range []session.RelayResponse{
		{Frames: []byte("rows\r\n"), TxStatus: 'T', Position: core.Position{Term: 1, LSN: 3}, ErrorCode: "E"},
		{Frames: []byte{}, TxStatus: 'I', Refusal: core.Uncertain("x"), Closing: true},
		{Frames: []byte{}, TxStatus: 'I', NotServed: true, Version: 4},
		{Frames: []byte{}, TxStatus: 'I', PositionProof: session.PositionProof{Position: core.Position{Term: 2, LSN: 8}, Age: 70 * time.Millisecond}},
	} {
		encoded := roundTrip(t, NewResponse(response))
		decoded, err := encoded.Decode()
		require.NoError(t, err)
		require.Equal(t, response, decoded)
	}
}

// Guards against a proof that appears younger than it is because its age was
// rounded down.
func TestProofAgeIsRoundedUp(t *testing.T) {
	positionProof := session.PositionProof{Position: core.Position{Term: 2, LSN: 8}, Age: 70*time.Millisecond + time.Nanosecond}
	encoded := NewResponse(session.RelayResponse{TxStatus: 'I', PositionProof: positionProof})
	decoded, err := encoded.Decode()
	require.NoError(t, err)
	require.GreaterOrEqual(t, decoded.PositionProof.Age, positionProof.Age)
}
