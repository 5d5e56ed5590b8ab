package callerio

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Guards against a stop that overtakes the answer to a request: the last commands of the
// session duty may arrive after the stop has begun.
func TestStopWaitsForAnAnswer(t *testing.T) {
	h := start(t, Config{FlushTimeout: testTimeout, PeerCloseTimeout: testTimeout}, 64)
	tc := h.openCaller()
	tc.write(&pgproto3.Query{String: "select 1"})
	expectEvent[session.CallerRequest](h)
	h.duty.Stop()
	time.Sleep(50 * time.Millisecond)
	h.answerRequest(tc.id, &pgproto3.DataRow{Values: [][]byte{[]byte("x")}})
	receive[*pgproto3.DataRow](tc)
	receive[*pgproto3.ReadyForQuery](tc)
	tc.conn.Close()
}
