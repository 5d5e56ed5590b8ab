// Command standin-call makes one JSON-RPC call to a stand-in and prints the
// result, for scripts.
//
//	standin-call [-timeout 5s] address method [params]
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
)

const (
	defaultTimeout = 5 * time.Second
	readSize       = 64 << 10
)

var errUsage = errors.New("usage: standin-call [-timeout 5s] address method [params]")

func main() {
	timeout := flag.Duration("timeout", defaultTimeout, "bound of the call")
	flag.Parse()
	if err := run(flag.Args(), *timeout); err != nil {
		fmt.Fprintln(os.Stderr, "standin-call:", err)
		os.Exit(1)
	}
}

func run(args []string, timeout time.Duration) error {
	if len(args) < 2 || len(args) > 3 {
		return errUsage
	}
	params := json.RawMessage("{}")
	if len(args) == 3 {
		params = json.RawMessage(args[2])
	}
	call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(1), args[1], params)
	if err != nil {
		return err
	}
	frame, err := rpc.Append(nil, call)
	if err != nil {
		return err
	}
	conn, err := net.DialTimeout("tcp", args[0], timeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := conn.Write(frame); err != nil {
		return err
	}
	return printAnswer(conn)
}

func printAnswer(conn net.Conn) error {
	var buffer []byte
	for {
		message, _, err := rpc.Decode(buffer)
		if err != nil {
			return err
		}
		if response, ok := message.(*jsonrpc2.Response); ok {
			if response.Error != nil {
				return response.Error
			}
			fmt.Println(string(response.Result))
			return nil
		}
		chunk := make([]byte, readSize)
		n, err := conn.Read(chunk)
		if err != nil {
			return err
		}
		buffer = append(buffer, chunk[:n]...)
	}
}
