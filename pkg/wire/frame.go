// Package wire implements the framing of the PostgreSQL 3.0 protocol, codec helpers
// on top of pgproto3, and the SCRAM-SHA-256 exchanges. It does no I/O.
package wire

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// HeaderSize is the size in bytes of the type byte and the length field.
	HeaderSize = 5
	// lengthSize is the size in bytes of the length field, which counts itself.
	lengthSize = 4
	// maxStartupSize is the maximum size in bytes of a startup packet, the limit of
	// PostgreSQL.
	maxStartupSize = 10000
)

// Frame is one complete message. Body and Raw alias the input buffer.
type Frame struct {
	// Type is the type byte and Body the message after the header.
	Type byte
	Body []byte
	// Raw is the message with its header.
	Raw []byte
}

// Next returns the first frame of buf, or false when it is not complete. limit is
// the maximum value of the length field in bytes. Next returns a *SizeError for a
// longer frame as soon as its header is complete, and a *ProtocolError for a length
// below the minimum.
func Next(buf []byte, limit int) (Frame, bool, error) {
	if len(buf) < HeaderSize {
		return Frame{}, false, nil
	}
	length := int(int32(binary.BigEndian.Uint32(buf[1:])))
	if length < lengthSize {
		return Frame{}, false, &ProtocolError{Message: buf[0], Reason: "length below the minimum"}
	}
	if length > limit {
		return Frame{}, false, &SizeError{Size: length, Limit: limit}
	}
	size := length + 1
	if len(buf) < size {
		return Frame{}, false, nil
	}
	return Frame{Type: buf[0], Body: buf[HeaderSize:size], Raw: buf[:size]}, true, nil
}

// NextStartup decodes the first startup packet of buf: a StartupMessage,
// SSLRequest, GSSEncRequest or CancelRequest. It returns the packet and its size in
// bytes, or nil when the packet is not complete. It returns a *SizeError for a packet
// of more than 10000 bytes and a *ProtocolError for an invalid packet.
func NextStartup(buf []byte) (pgproto3.FrontendMessage, int, error) {
	if len(buf) < lengthSize {
		return nil, 0, nil
	}
	size := int(int32(binary.BigEndian.Uint32(buf)))
	if size < 2*lengthSize {
		return nil, 0, &ProtocolError{Reason: "length below the minimum"}
	}
	if size > maxStartupSize {
		return nil, 0, &SizeError{Size: size, Limit: maxStartupSize}
	}
	if len(buf) < size {
		return nil, 0, nil
	}
	body := buf[lengthSize:size]
	message := startupMessage(binary.BigEndian.Uint32(body))
	if err := message.Decode(body); err != nil {
		return nil, 0, &ProtocolError{Reason: err.Error()}
	}
	return message, size, nil
}

// Request codes of startup packets, from the PostgreSQL protocol.
const (
	cancelCode = 80877102
	sslCode    = 80877103
	gssCode    = 80877104
)

// startupMessage returns an empty message of the type that a request code stands for.
func startupMessage(code uint32) pgproto3.FrontendMessage {
	switch code {
	case cancelCode:
		return &pgproto3.CancelRequest{}
	case sslCode:
		return &pgproto3.SSLRequest{}
	case gssCode:
		return &pgproto3.GSSEncRequest{}
	}
	return &pgproto3.StartupMessage{}
}

// Decode decodes the body of f into message. It returns a *ProtocolError when the
// body is not valid for this message type.
func Decode(f Frame, message pgproto3.Message) error {
	if err := message.Decode(f.Body); err != nil {
		return &ProtocolError{Message: f.Type, Reason: err.Error()}
	}
	return nil
}

// Append appends the encoding of message to dst. It panics when the message cannot be
// encoded: the proxy checks the fields of its own messages beforehand.
func Append(dst []byte, message pgproto3.Message) []byte {
	out, err := message.Encode(dst)
	if err != nil {
		panic("wire: cannot encode a message: " + err.Error())
	}
	return out
}

// AppendFrame appends a frame with the given type byte to dst. The body is the
// concatenation of parts.
func AppendFrame(dst []byte, messageType byte, parts ...[]byte) []byte {
	length := lengthSize
	for _, part := range parts {
		length += len(part)
	}
	dst = append(dst, messageType)
	dst = binary.BigEndian.AppendUint32(dst, uint32(length))
	for _, part := range parts {
		dst = append(dst, part...)
	}
	return dst
}

// CString splits body after its first zero-terminated string. It returns the string
// without the terminator and the rest, or false when the terminator is missing.
func CString(body []byte) (text, rest []byte, ok bool) {
	end := bytes.IndexByte(body, 0)
	if end < 0 {
		return nil, nil, false
	}
	return body[:end], body[end+1:], true
}

// EmptyParse is a Parse message that prepares an empty text as the unnamed statement.
// The proxy sends it to a target in place of a Parse whose statement already exists
// there, so that the target's ParseComplete arrives at the expected position. This is
// safe because callers never use the unnamed statement of a target.
var EmptyParse = Append(nil, &pgproto3.Parse{})
