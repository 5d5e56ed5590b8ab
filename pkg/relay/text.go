package relay

import (
	"unicode/utf8"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Texts of callers and members may contain any bytes, but JSON strings hold only valid
// UTF-8. A request with other bytes carries its texts a second time, as bytes, and these
// replace the strings. Other requests are sent without them.

// rawTexts are the texts of a Request as bytes, which JSON encodes as base64.
type rawTexts struct {
	Entry    []byte   `json:"e,omitempty"`
	Ends     []byte   `json:"n,omitempty"`
	ID       []byte   `json:"d,omitempty"`
	Text     []byte   `json:"x,omitempty"`
	Settings [][]byte `json:"w,omitempty"`
	Prepared [][]byte `json:"a,omitempty"`
}

// newRawTexts returns the texts of the request as bytes: names and values of the settings
// in turn, and the names of the prepared statements.
func newRawTexts(r *Request) *rawTexts {
	raw := &rawTexts{Entry: []byte(r.Entry), Ends: []byte(r.Ends), ID: []byte(r.ID), Text: []byte(r.Text)}
	for _, s := range r.Settings {
		raw.Settings = append(raw.Settings, []byte(s.Name), []byte(s.Value))
	}
	for _, p := range r.Prepared {
		raw.Prepared = append(raw.Prepared, []byte(p.Name))
	}
	return raw
}

// hasInvalidText reports whether a text of the request is not valid UTF-8.
func (v *Request) hasInvalidText() bool {
	for _, s := range v.Settings {
		if !utf8.ValidString(s.Name) || !utf8.ValidString(s.Value) {
			return true
		}
	}
	for _, p := range v.Prepared {
		if !utf8.ValidString(p.Name) {
			return true
		}
	}
	return !utf8.ValidString(v.Text) || !utf8.ValidString(v.ID) || !utf8.ValidString(string(v.Entry)) || !utf8.ValidString(v.Ends)
}

// restoreTexts replaces the texts by those that came as bytes. It returns a *TextError if
// the two do not belong together.
func (v *Request) restoreTexts() error {
	raw := v.Raw
	if raw == nil {
		return nil
	}
	if len(raw.Settings) != 2*len(v.Settings) || len(raw.Prepared) != len(v.Prepared) {
		return &TextError{Settings: len(raw.Settings), Prepared: len(raw.Prepared)}
	}
	v.Entry, v.Ends, v.ID, v.Text = core.EntryName(raw.Entry), string(raw.Ends), string(raw.ID), string(raw.Text)
	for i := range v.Settings {
		v.Settings[i] = session.Setting{Name: string(raw.Settings[2*i]), Value: string(raw.Settings[2*i+1])}
	}
	for i := range v.Prepared {
		v.Prepared[i].Name = string(raw.Prepared[i])
	}
	return nil
}

// TextError reports a request whose texts as bytes do not match its settings and prepared
// statements.
type TextError struct {
	// Settings and Prepared count the texts that came as bytes.
	Settings int
	Prepared int
}

func (e *TextError) Error() string {
	return "the texts of a forwarded request do not match its settings and prepared statements"
}
