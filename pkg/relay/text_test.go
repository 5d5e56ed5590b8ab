package relay

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// requestWith returns a request whose texts are all the given one.
func requestWith(text string) session.RelayRequest {
	return session.RelayRequest{
		Entry: core.EntryName(text),
		Request: &session.Request{
			Classification: &session.Classification{Kind: session.KindWrite, Name: text},
			Payload: &session.Payload{
				ID: text, Frames: []byte(text), Settings: []session.Setting{{Name: text, Value: text}},
				Prepared: []session.PreparedStatement{{Name: text, ParseFrame: []byte(text)}},
			},
		},
	}
}

// Guards against data, settings and prepared statements that change on their way to
// another instance or back, because their bytes are not valid UTF-8.
func FuzzBytesSurviveTheRelay(f *testing.F) {
	for _, text := range []string{"WRITE 1a v", "\xe6\xf8", "", "[\"x\"]", "a\xffb", "\u2028<&>", "\x00\"\\"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		sent := requestWith(text)
		request := roundTrip(t, NewRequest("run", "10.0.0.1:1", sent, time.Unix(100, 0)))
		received, err := request.Decode(nil, time.Unix(100, 0))
		require.NoError(t, err)
		require.Equal(t, sent.Entry, received.Entry)
		require.Equal(t, text, received.Request.Classification.Name)
		require.Equal(t, sent.Request.Payload, received.Request.Payload)

		answer := session.RelayResponse{Frames: []byte(text), TxStatus: session.TxIdle}
		response := roundTrip(t, NewResponse(answer))
		decoded, err := response.Decode()
		require.NoError(t, err)
		require.Equal(t, answer, decoded)
	})
}

// Guards against a malformed request that ends the process: its texts as bytes do not
// match its settings and prepared statements.
func TestTextsThatDoNotMatchAreRejected(t *testing.T) {
	for _, encoded := range []string{`{"w":[{"Name":"a"}],"y":{"w":["YQ=="]}}`, `{"y":{"a":["YQ=="]}}`, `{"a":[{"Name":"p"}],"y":{}}`} {
		var request Request
		require.NoError(t, json.Unmarshal([]byte(encoded), &request))
		_, err := request.Decode(nil, time.Unix(100, 0))
		require.ErrorAs(t, err, new(*TextError), encoded)
	}
}

// BenchmarkForwardedStatement measures the encoding and decoding of a forwarded statement
// and its response.
func BenchmarkForwardedStatement(b *testing.B) {
	sent := requestWith("WRITE 1a some-forty-bytes-of-data-of-the-caller")
	answer := session.RelayResponse{Frames: []byte("COMPLETE 7.1f3.c.2b.90e1c4d2a7b3f655\r\n"), TxStatus: session.TxIdle}
	now := time.Unix(100, 0)
	for b.Loop() {
		text, err := json.Marshal(NewRequest("run", "10.0.0.1:1", sent, now))
		require.NoError(b, err)
		var request Request
		require.NoError(b, json.Unmarshal(text, &request))
		text, err = json.Marshal(NewResponse(answer))
		require.NoError(b, err)
		var response Response
		require.NoError(b, json.Unmarshal(text, &response))
	}
}
