package instance

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// Methods between instances.
const (
	methodVersions    = "versions"
	methodCatalogue   = "catalogue"
	methodTable       = "table"
	methodShareReport = "share_report"
	methodDeathReport = "death_report"
)

// codeInvalidParams and codeMethodNotFound are JSON-RPC 2.0 error codes.
const (
	codeInvalidParams  = -32602
	codeMethodNotFound = -32601
)

// peerCallTimeout bounds a call to another instance.
const peerCallTimeout = 2 * time.Second

// errPeerMessage reports a peer message that cannot be decoded.
var errPeerMessage = eris.New("invalid peer message")

type tableJSON struct {
	Table   json.RawMessage `json:"table"`
	AgeNS   time.Duration   `json:"age_ns"`
	Vouched bool            `json:"vouched"`
}

// replyTo is the value behind control.ReplyTo.
type replyTo struct {
	conn rpc.ConnID
	id   rpc.RequestID
}

func encodePeerCall(c control.PeerCall) (rpc.Call, error) {
	method := methodOf(c.Message)
	params, err := encodePeerMessage(c.Message)
	return rpc.Call{Tag: c, Address: c.Address, Method: method, Params: params, Timeout: peerCallTimeout}, err
}

func methodOf(m control.PeerMessage) string {
	switch m.(type) {
	case control.Versions:
		return methodVersions
	case control.CatalogueRequest:
		return methodCatalogue
	case control.TableRequest:
		return methodTable
	case control.ShareReport:
		return methodShareReport
	case control.DeathReport:
		return methodDeathReport
	}
	return ""
}

// encodePeerMessage returns the JSON form of a message.
func encodePeerMessage(m control.PeerMessage) (any, error) {
	switch v := m.(type) {
	case control.TableMessage:
		return encodeTableMessage(v)
	case control.ShareReport:
		return v.Report, nil
	case control.CatalogueRequest, control.TableRequest:
		return struct{}{}, nil
	}
	return m, nil
}

func encodeTableMessage(m control.TableMessage) (any, error) {
	if m.Table == nil {
		return tableJSON{}, nil
	}
	text, err := m.Table.Encode()
	if err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	return tableJSON{Table: text, AgeNS: m.Age, Vouched: m.Vouched}, nil
}

// decodePeerRequest decodes the message of an incoming request.
func decodePeerRequest(method string, params json.RawMessage) (control.PeerMessage, *rpc.RemoteError) {
	message, err := peerRequest(method, params)
	if err != nil {
		return nil, &rpc.RemoteError{Code: codeInvalidParams, Message: err.Error()}
	}
	if message == nil {
		return nil, &rpc.RemoteError{Code: codeMethodNotFound, Message: "unknown method " + method}
	}
	return message, nil
}

func peerRequest(method string, params json.RawMessage) (control.PeerMessage, error) {
	switch method {
	case methodVersions:
		return decodeVersions(params)
	case methodCatalogue:
		return control.CatalogueRequest{}, nil
	case methodTable:
		return control.TableRequest{}, nil
	case methodShareReport:
		return decodeShareReport(params)
	case methodDeathReport:
		return decodeAs[control.DeathReport](params)
	}
	return nil, nil
}

// decodeVersions refuses a message without a sender, and news from the future,
// by which keys would be honoured too long.
func decodeVersions(raw json.RawMessage) (control.PeerMessage, error) {
	var v control.Versions
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	if v.From == "" || v.PeerAddress == "" || v.Domain == "" {
		return nil, eris.Wrap(errPeerMessage, "the sender is not named")
	}
	if v.Versions.NewsAge < 0 {
		return nil, eris.Wrap(errPeerMessage, "the age of the news is negative")
	}
	return v, nil
}

func decodeShareReport(raw json.RawMessage) (control.PeerMessage, error) {
	var report share.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	return control.ShareReport{Report: report}, nil
}

func decodeAs[M control.PeerMessage](raw json.RawMessage) (control.PeerMessage, error) {
	var m M
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	return m, nil
}

// decodePeerResult turns the result of a peer call into an input of control.
func decodePeerResult(call control.PeerCall, r rpc.Result) control.Input {
	answer := control.FromPeerAnswer{Call: call, Asked: r.Asked}
	if r.Err != nil {
		var refused *rpc.RefusedError
		answer.Refused = errors.As(r.Err, &refused)
		return answer
	}
	message, err := peerAnswer(call.Message, r.Raw)
	if err == nil {
		answer.Answer = message
	}
	return answer
}

func peerAnswer(request control.PeerMessage, raw json.RawMessage) (control.PeerMessage, error) {
	switch request.(type) {
	case control.CatalogueRequest:
		return decodeCatalogueMessage(raw)
	case control.TableRequest:
		return decodeTableMessage(raw)
	}
	return decodeAs[control.Accepted](raw)
}

func decodeCatalogueMessage(raw json.RawMessage) (control.PeerMessage, error) {
	var m struct {
		Catalogue json.RawMessage `json:"catalogue"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	c, err := catalogue.Decode(m.Catalogue)
	if err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	return control.CatalogueMessage{Catalogue: c}, nil
}

func decodeTableMessage(raw json.RawMessage) (control.PeerMessage, error) {
	var m tableJSON
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	if len(m.Table) == 0 {
		return control.TableMessage{}, nil
	}
	table, err := share.Decode(m.Table)
	if err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	if m.AgeNS < 0 {
		return nil, eris.Wrap(errPeerMessage, "the age of the table is negative")
	}
	return control.TableMessage{Table: table, Age: m.AgeNS, Vouched: m.Vouched}, nil
}
