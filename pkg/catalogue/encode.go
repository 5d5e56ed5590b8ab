package catalogue

import (
	"bytes"
	"encoding/json"
)

// Encode returns the catalogue as JSON.
func (c *Catalogue) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// Decode parses a catalogue from JSON and checks it. It returns a *DecodeError if
// the text is not a catalogue and a *CheckError if it breaks a rule.
func Decode(text []byte) (*Catalogue, error) {
	var c Catalogue
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if violations := Check(&c); len(violations) > 0 {
		return nil, &CheckError{Violations: violations}
	}
	return &c, nil
}

// editDocument is the JSON form of an edit.
type editDocument struct {
	Op   string          `json:"op"`
	Args json.RawMessage `json:"args"`
}

// editDecoders has the decoder of each operation's arguments.
var editDecoders = map[string]func(json.RawMessage) (Edit, error){
	"put_account":        decodeArgs[PutAccount],
	"remove_account":     decodeArgs[RemoveAccount],
	"put_database":       decodeArgs[PutDatabase],
	"set_database_state": decodeArgs[SetDatabaseState],
	"remove_database":    decodeArgs[RemoveDatabase],
	"put_entry":          decodeArgs[PutEntry],
	"remove_entry":       decodeArgs[RemoveEntry],
	"add_key":            decodeArgs[AddKey],
	"revoke_key":         decodeArgs[RevokeKey],
	"remove_key":         decodeArgs[RemoveKey],
}

// decodeArgs decodes the arguments of one operation and rejects unknown fields.
func decodeArgs[E Edit](args json.RawMessage) (Edit, error) {
	var e E
	decoder := json.NewDecoder(bytes.NewReader(args))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&e)
	return e, err
}

// DecodeEdits parses a JSON array of {"op": name, "args": {...}}. It returns a
// *DecodeError for other text and for an unknown operation or field.
func DecodeEdits(text []byte) ([]Edit, error) {
	var documents []editDocument
	if err := json.Unmarshal(text, &documents); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	edits := make([]Edit, 0, len(documents))
	for _, d := range documents {
		decode, ok := editDecoders[d.Op]
		if !ok {
			return nil, &DecodeError{Reason: "unknown operation " + d.Op}
		}
		edit, err := decode(d.Args)
		if err != nil {
			return nil, &DecodeError{Reason: d.Op + ": " + err.Error()}
		}
		edits = append(edits, edit)
	}
	return edits, nil
}
