// Package wire holds the PostgreSQL 3.0 framing, codec helpers over pgproto3
// and the SCRAM-SHA-256 exchanges. It does no I/O.
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
	// maxStartupSize bounds a startup packet in bytes, as PostgreSQL does.
	maxStartupSize = 10000
)

// Frame is one complete message. Body and Raw alias the input buffer.
type Frame struct {
	Type byte
	Body []byte
	// Raw is the message with its header.
	Raw []byte
}

// Next returns the first frame of buf, and false when buf holds only a part
// of it. limit bounds the length field in bytes; a *SizeError is returned as
// soon as the header shows a longer frame, a *ProtocolError for a length
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
// SSLRequest, GSSEncRequest or CancelRequest. It returns the packet and its
// size, nil when buf holds only a part, a *SizeError above 10000 bytes and a
// *ProtocolError for an invalid packet.
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

// Decode decodes the body of f into message. It returns a *ProtocolError when
// the body does not fit the type.
func Decode(f Frame, message pgproto3.Message) error {
	if err := message.Decode(f.Body); err != nil {
		return &ProtocolError{Message: f.Type, Reason: err.Error()}
	}
	return nil
}

// Append encodes message onto dst. It panics when a message of the proxy's
// own cannot be encoded, because its fields are checked before.
func Append(dst []byte, message pgproto3.Message) []byte {
	out, err := message.Encode(dst)
	if err != nil {
		panic("wire: cannot encode a message: " + err.Error())
	}
	return out
}

// AppendFrame appends a frame with the given type and body parts to dst.
func AppendFrame(dst []byte, kind byte, parts ...[]byte) []byte {
	length := lengthSize
	for _, part := range parts {
		length += len(part)
	}
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(length))
	for _, part := range parts {
		dst = append(dst, part...)
	}
	return dst
}

// CString splits a zero-terminated string off body. It reports false when the
// terminator is missing.
func CString(body []byte) (text, rest []byte, ok bool) {
	end := bytes.IndexByte(body, 0)
	if end < 0 {
		return nil, nil, false
	}
	return body[:end], body[end+1:], true
}

// EmptyParse is a Parse of an empty text as the unnamed statement. Callers
// never use the unnamed statement of a target, so it stands for a Parse of a
// statement that exists: the ParseComplete comes at the same place.
var EmptyParse = Append(nil, &pgproto3.Parse{})
