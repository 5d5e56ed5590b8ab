package endpoint

import (
	"encoding/json"
	"net"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
)

// responseReadBytes is the size of one read of a response; most responses fit.
const responseReadBytes = 64 << 10

// Call makes one JSON-RPC call to a stand-in and returns its result. The timeout
// applies to connecting, and again to sending the request and reading its response.
// An error from the stand-in is returned as it was sent.
func Call(timeout time.Duration, address, method string, params any) (json.RawMessage, error) {
	call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(1), method, params)
	if err != nil {
		return nil, err
	}
	frame, err := rpc.Append(nil, call)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, err
	}
	return readResult(conn)
}

func readResult(conn net.Conn) (json.RawMessage, error) {
	var buffer []byte
	for {
		message, _, err := rpc.Decode(buffer)
		if err != nil {
			return nil, err
		}
		if response, ok := message.(*jsonrpc2.Response); ok {
			return response.Result, response.Error
		}
		chunk := make([]byte, responseReadBytes)
		n, err := conn.Read(chunk)
		if err != nil {
			return nil, err
		}
		buffer = append(buffer, chunk[:n]...)
	}
}
