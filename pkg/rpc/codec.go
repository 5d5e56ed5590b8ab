// Package rpc implements JSON-RPC 2.0 over TCP, for calls between instances and to
// the members' status endpoints. A Content-Length header precedes each message.
package rpc

import (
	"bytes"
	"strconv"

	"golang.org/x/exp/jsonrpc2"
)

const (
	headerName = "Content-Length: "
	headerEnd  = "\r\n\r\n"
	// maxHeaderBytes is the maximum length of the header in bytes.
	maxHeaderBytes = 64
	// MaxMessageBytes is the maximum length of a message in bytes: the platform's largest
	// value (1 MB) and the space that JSON quoting may add.
	MaxMessageBytes = 4 << 20
)

// FrameError reports input that is not a valid message. The connection cannot be
// used any further, because the start of the next message is unknown.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string {
	return "invalid JSON-RPC frame: " + e.Reason
}

// Append appends the header and the encoding of m to buffer. It returns a *FrameError
// when the message cannot be encoded or exceeds MaxMessageBytes.
func Append(buffer []byte, m jsonrpc2.Message) ([]byte, error) {
	body, err := jsonrpc2.EncodeMessage(m)
	if err != nil {
		return buffer, &FrameError{Reason: err.Error()}
	}
	if len(body) > MaxMessageBytes {
		return buffer, &FrameError{Reason: "message is too large"}
	}
	buffer = append(buffer, headerName...)
	buffer = strconv.AppendInt(buffer, int64(len(body)), 10)
	buffer = append(buffer, headerEnd...)
	return append(buffer, body...), nil
}

// Decode decodes the first message of buffer and returns it with its length in bytes,
// header included. It returns a nil message and 0 when the message is not complete,
// and a *FrameError for invalid input.
func Decode(buffer []byte) (jsonrpc2.Message, int, error) {
	start, length, err := header(buffer)
	if err != nil || start == 0 || len(buffer) < start+length {
		return nil, 0, err
	}
	m, err := jsonrpc2.DecodeMessage(buffer[start : start+length])
	if err != nil {
		return nil, 0, &FrameError{Reason: err.Error()}
	}
	return m, start + length, nil
}

// header decodes the header. It returns the offset and the length of the body in
// bytes, or 0 and 0 when the header is not complete.
func header(buffer []byte) (start, length int, err error) {
	prefix := buffer[:min(len(buffer), maxHeaderBytes)]
	end := bytes.Index(prefix, []byte(headerEnd))
	if end < 0 {
		if len(buffer) >= maxHeaderBytes {
			return 0, 0, &FrameError{Reason: "header is too long"}
		}
		return 0, 0, nil
	}
	digits, found := bytes.CutPrefix(prefix[:end], []byte(headerName))
	if !found {
		return 0, 0, &FrameError{Reason: "no Content-Length"}
	}
	n, err := strconv.ParseUint(string(digits), 10, 31)
	if err != nil || n > MaxMessageBytes {
		return 0, 0, &FrameError{Reason: "invalid Content-Length"}
	}
	return end + len(headerEnd), int(n), nil
}
