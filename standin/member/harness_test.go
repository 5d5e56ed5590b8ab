package member

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
)

// testTimeout limits how long a test waits.
const testTimeout = 20 * time.Second

// startMember starts a primary; change adapts its options.
func startMember(t *testing.T, configure func(*Options)) *Member {
	t.Helper()
	o := DefaultOptions()
	o.Primary = true
	if configure != nil {
		configure(&o)
	}
	m, err := New(o)
	require.NoError(t, err)
	var duties duty.Group
	m.Start(&duties)
	t.Cleanup(func() {
		m.Stop()
		duties.Wait()
	})
	return m
}

// startReplica starts a replica that follows primary, which has the identity m1.
func startReplica(t *testing.T, id core.MemberID, primary *Member, configure func(*Options)) *Member {
	t.Helper()
	return startMember(t, func(o *Options) {
		o.Member = id
		o.Primary = false
		o.Peers = map[core.MemberID]string{"m1": primary.StatusAddress().String()}
		o.Follow = "m1"
		if configure != nil {
			configure(o)
		}
	})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func connect(t *testing.T, m *Member, mode pgx.QueryExecMode) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://hazards:sesame@" + m.Address().String() + "/notices?sslmode=disable")
	require.NoError(t, err)
	config.DefaultQueryExecMode = mode
	c, err := pgx.ConnectConfig(testContext(t), config)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// statusClient is a connection to a status endpoint.
type statusClient struct {
	conn   net.Conn
	buffer []byte
	nextID int64
}

func dialStatus(t *testing.T, m *Member) *statusClient {
	t.Helper()
	conn, err := net.Dial("tcp", m.StatusAddress().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &statusClient{conn: conn}
}

func (c *statusClient) call(t *testing.T, method string, params, result any) error {
	t.Helper()
	c.nextID++
	call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(c.nextID), method, params)
	require.NoError(t, err)
	frame, err := rpc.Append(nil, call)
	require.NoError(t, err)
	_, err = c.conn.Write(frame)
	require.NoError(t, err)
	response := c.read(t)
	if response.Error != nil {
		return response.Error
	}
	if result != nil {
		require.NoError(t, json.Unmarshal(response.Result, result))
	}
	return nil
}

func (c *statusClient) read(t *testing.T) *jsonrpc2.Response {
	t.Helper()
	for {
		message, n, err := rpc.Decode(c.buffer)
		require.NoError(t, err)
		if message != nil {
			c.buffer = c.buffer[n:]
			return message.(*jsonrpc2.Response)
		}
		chunk := make([]byte, 64<<10)
		n, err = c.conn.Read(chunk)
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
		}
		require.NoError(t, err)
		c.buffer = append(c.buffer, chunk[:n]...)
	}
}

func (c *statusClient) status(t *testing.T, method string, params any) Status {
	t.Helper()
	var s Status
	require.NoError(t, c.call(t, method, params, &s))
	return s
}

func (c *statusClient) records(t *testing.T) []Record {
	t.Helper()
	var list RecordList
	require.NoError(t, c.call(t, "record.list", ListParams{}, &list))
	return list.Records
}

// errorCode returns the code of a JSON-RPC error and the accepted term in its data.
func errorCode(t *testing.T, err error) (code int64, term core.Term) {
	t.Helper()
	text, marshalError := json.Marshal(err)
	require.NoError(t, marshalError)
	var wire struct {
		Code int64
		Data struct{ Term core.Term }
	}
	require.NoError(t, json.Unmarshal(text, &wire))
	return wire.Code, wire.Data.Term
}
