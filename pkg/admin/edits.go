package admin

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
)

// Edit is the JSON form of a catalogue edit: the operation and its fields.
type Edit struct {
	// Operation is a name of Operations.
	Operation string          `json:"operation"`
	Fields    json.RawMessage `json:"fields"`
}

type editDecoder func(json.RawMessage) (catalogue.Edit, error)

var editDecoders = map[string]editDecoder{
	"put_account":        decodeEdit[catalogue.PutAccount],
	"remove_account":     decodeEdit[catalogue.RemoveAccount],
	"put_database":       decodeEdit[catalogue.PutDatabase],
	"set_database_state": decodeEdit[catalogue.SetDatabaseState],
	"remove_database":    decodeEdit[catalogue.RemoveDatabase],
	"put_entry":          decodeEdit[catalogue.PutEntry],
	"remove_entry":       decodeEdit[catalogue.RemoveEntry],
	"add_key":            decodeEdit[catalogue.AddKey],
	"revoke_key":         decodeEdit[catalogue.RevokeKey],
	"remove_key":         decodeEdit[catalogue.RemoveKey],
}

func decodeEdit[E catalogue.Edit](raw json.RawMessage) (catalogue.Edit, error) {
	var e E
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&e)
	return e, err
}

func (e Edit) decode() (catalogue.Edit, error) {
	decoder, known := editDecoders[e.Operation]
	if !known {
		return nil, &Error{Status: http.StatusBadRequest, Message: "unknown operation " + e.Operation}
	}
	edit, err := decoder(e.Fields)
	if err != nil {
		return nil, &Error{Status: http.StatusBadRequest, Message: e.Operation + ": " + err.Error()}
	}
	return edit, nil
}

// NewEdit returns the JSON form of an edit, for clients.
func NewEdit(operation string, fields any) (Edit, error) {
	raw, err := json.Marshal(fields)
	return Edit{Operation: operation, Fields: raw}, err
}
