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

// Names of the RPC methods between instances.
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

// peerCallTimeout bounds one call to another instance. The response, which may be a whole
// catalogue or share table, may arrive for catalogueTransferTimeout longer.
const (
	peerCallTimeout          = 2 * time.Second
	catalogueTransferTimeout = 4 * time.Second
)

// errPeerMessage reports a peer message that cannot be decoded.
var errPeerMessage = eris.New("invalid peer message")

// tableJSON is the JSON form of control.TableMessage.
type tableJSON struct {
	Table         json.RawMessage `json:"table"`
	AgeNS         time.Duration   `json:"age_ns"`
	Authoritative bool            `json:"vouched"`
}

// replyHandle identifies the request that a reply answers. The engines hold it as an
// opaque value.
type replyHandle struct {
	conn rpc.ConnID
	id   rpc.RequestID
	// packed is set when the requester reads compressed configurations.
	packed bool
}

// encodePeerCall returns the rpc call that sends a message to another instance. It
// returns the error of encodePeerMessage.
func encodePeerCall(c control.PeerCall) (rpc.Call, error) {
	method := methodOf(c.Message)
	params, err := encodePeerMessage(c.Message)
	return rpc.Call{Tag: c, Address: c.Address, Method: method, Params: params, Timeout: peerCallTimeout, Transfer: catalogueTransferTimeout}, err
}

// methodOf returns the RPC method of a message; "" for one that is not a request.
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

// encodePeerMessage returns a value whose JSON encoding is the message. It returns
// errPeerMessage, wrapped, for a share table that cannot be encoded.
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

// encodeTableMessage returns the JSON form of a share table; an empty object when
// the instance has none.
func encodeTableMessage(m control.TableMessage) (any, error) {
	if m.Table == nil {
		return tableJSON{}, nil
	}
	text, err := m.Table.Encode()
	if err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	return tableJSON{Table: text, AgeNS: m.Age, Authoritative: m.Authoritative}, nil
}

// decodePeerRequest decodes an incoming request. It returns a JSON-RPC error for an
// unknown method or invalid parameters.
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

// peerRequest decodes the parameters of a request; nil for an unknown method. It
// returns errPeerMessage, wrapped, for invalid parameters.
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

// decodeVersions decodes control.Versions. It rejects a message without a sender, and
// a negative age of the last contact with the platform, which would make instances
// honour keys for too long.
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

// decodeShareReport decodes a report, which is sent without an enclosing object.
func decodeShareReport(raw json.RawMessage) (control.PeerMessage, error) {
	var report share.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	return control.ShareReport{Report: report}, nil
}

// decodeAs decodes a message whose JSON form is that of its Go type.
func decodeAs[M control.PeerMessage](raw json.RawMessage) (control.PeerMessage, error) {
	var m M
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	return m, nil
}

// decodePeerResult converts the result of a peer call to an input of control. Its
// Response is nil when the call failed or the response is invalid.
func decodePeerResult(call control.PeerCall, r rpc.Result) control.Input {
	response := control.FromPeerResponse{Call: call, SentAt: r.SentAt}
	if r.Err != nil {
		var refused *rpc.RefusedError
		response.Refused = errors.As(r.Err, &refused)
		return response
	}
	message, err := peerResponse(call.Message, r.Raw)
	if err == nil {
		response.Response = message
	}
	return response
}

// peerResponse decodes the response to a request.
func peerResponse(request control.PeerMessage, raw json.RawMessage) (control.PeerMessage, error) {
	switch request.(type) {
	case control.CatalogueRequest:
		return decodeCatalogueMessage(raw)
	case control.TableRequest:
		return decodeTableMessage(raw)
	}
	return decodeAs[control.Acknowledged](raw)
}

// decodeCatalogueMessage decodes the response to control.CatalogueRequest.
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

// decodeTableMessage decodes the response to control.TableRequest. It rejects a
// negative age, which would make the table look newer than it is.
func decodeTableMessage(raw json.RawMessage) (control.PeerMessage, error) {
	var m tableJSON
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	if len(m.Table) == 0 {
		return control.TableMessage{}, nil
	}
	table, err := share.DecodeTable(m.Table)
	if err != nil {
		return nil, eris.Wrap(errPeerMessage, err.Error())
	}
	if m.AgeNS < 0 {
		return nil, eris.Wrap(errPeerMessage, "the age of the table is negative")
	}
	return control.TableMessage{Table: table, Age: m.AgeNS, Authoritative: m.Authoritative}, nil
}
