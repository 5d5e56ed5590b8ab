package admin

import "encoding/json"

// Edit is the JSON form of a catalogue edit: the operation and its arguments.
type Edit struct {
	Operation string          `json:"op"`
	Arguments json.RawMessage `json:"args"`
}

// NewEdit returns the JSON form of an edit, for clients. It returns the encoder's
// error for arguments that cannot be encoded.
func NewEdit(operation string, arguments any) (Edit, error) {
	raw, err := json.Marshal(arguments)
	return Edit{Operation: operation, Arguments: raw}, err
}
