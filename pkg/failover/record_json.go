package failover

import (
	"encoding/json"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// recordJSON is the stored form of a Record.
type recordJSON struct {
	Term    uint64 `json:"term"`
	Phase   string `json:"phase"`
	Primary string `json:"primary"`
	Decider string `json:"decider"`
	Nonce   string `json:"nonce"`
	Start   uint64 `json:"start"`
}

// RecordError reports a stored value that is not a group record.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string {
	return "invalid group record: " + e.Reason
}

// EncodeRecord returns the stored form of r.
func EncodeRecord(r Record) ([]byte, error) {
	text, err := json.Marshal(recordJSON{
		Term:    uint64(r.Term),
		Phase:   string(r.Phase),
		Primary: string(r.Primary),
		Decider: string(r.Decider),
		Nonce:   r.Nonce,
		Start:   uint64(r.Start),
	})
	if err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	return text, nil
}

// DecodeRecord parses a stored record. It returns a *RecordError if the text is
// not JSON, the phase is unknown or the term is 0.
func DecodeRecord(text []byte) (Record, error) {
	var j recordJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return Record{}, &RecordError{Reason: err.Error()}
	}
	phase := Phase(j.Phase)
	if phase != PhaseFencing && phase != PhaseServing {
		return Record{}, &RecordError{Reason: "unknown phase " + j.Phase}
	}
	if j.Term == 0 {
		return Record{}, &RecordError{Reason: "term 0"}
	}
	return Record{
		Term:    core.Term(j.Term),
		Phase:   phase,
		Primary: core.MemberID(j.Primary),
		Decider: core.InstanceID(j.Decider),
		Nonce:   j.Nonce,
		Start:   core.LSN(j.Start),
	}, nil
}
