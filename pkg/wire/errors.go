package wire

import "fmt"

// ProtocolError reports input that is not a valid PostgreSQL message.
type ProtocolError struct {
	// Message is the type byte of the message; 0 for a startup packet.
	Message byte
	Reason  string
}

func (e *ProtocolError) Error() string {
	if e.Message == 0 {
		return "invalid startup packet: " + e.Reason
	}
	return fmt.Sprintf("invalid message of type %q: %s", e.Message, e.Reason)
}

// SizeError reports a message that exceeds the size limit.
type SizeError struct {
	// Size and Limit are in bytes, the length field included.
	Size  int
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the bound of %d bytes", e.Size, e.Limit)
}

// AuthError reports a failed SCRAM exchange. Its text contains neither the key nor
// the proof.
type AuthError struct {
	Reason string
}

func (e *AuthError) Error() string {
	return "authentication failed: " + e.Reason
}
