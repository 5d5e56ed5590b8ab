package member

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// maxMessage limits the length of one message in bytes.
	maxMessage = 64 << 20
	// Codes of the requests for encryption, in place of a protocol version.
	sslRequest  = 80877103
	gssRequest  = 80877104
	lengthBytes = 4
)

// decodeStartupFrame returns the body and the total length of a message without a
// type byte. The length is 0 for an incomplete message and -1 for an invalid one.
func decodeStartupFrame(b []byte) ([]byte, int) {
	if len(b) < lengthBytes {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(b))
	if n < 2*lengthBytes || n > maxMessage {
		return nil, -1
	}
	if len(b) < n {
		return nil, 0
	}
	return b[lengthBytes:n], n
}

// isEncryptionRequest reports whether a message asks for TLS or GSSAPI encryption.
func isEncryptionRequest(body []byte) bool {
	code := binary.BigEndian.Uint32(body)
	return len(body) == lengthBytes && (code == sslRequest || code == gssRequest)
}

// decodeMessageFrame returns the type, the body and the total length of a message.
// The length is 0 for an incomplete message and -1 for an invalid one.
func decodeMessageFrame(b []byte) (byte, []byte, int) {
	if len(b) < 1+lengthBytes {
		return 0, nil, 0
	}
	n := int(binary.BigEndian.Uint32(b[1:]))
	if n < lengthBytes || n > maxMessage {
		return 0, nil, -1
	}
	if len(b) < 1+n {
		return 0, nil, 0
	}
	return b[0], b[1+lengthBytes : 1+n], 1 + n
}

// newMessage returns an empty message for a type byte, or nil for an unknown type.
func newMessage(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'Q':
		return &pgproto3.Query{}
	case 'P':
		return &pgproto3.Parse{}
	case 'B':
		return &pgproto3.Bind{}
	case 'D':
		return &pgproto3.Describe{}
	case 'E':
		return &pgproto3.Execute{}
	case 'C':
		return &pgproto3.Close{}
	case 'H':
		return &pgproto3.Flush{}
	case 'S':
		return &pgproto3.Sync{}
	case 'X':
		return &pgproto3.Terminate{}
	case 'p':
		return &pgproto3.PasswordMessage{}
	}
	return nil
}
