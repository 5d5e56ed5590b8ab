package rpc

import (
	"encoding/json"

	"golang.org/x/exp/jsonrpc2"
)

// goAway tells the peer of an incoming connection that the instance stops and accepts
// no further request on it. Requests after LastAccepted are not run; the accepted ones
// are still answered.
//
// It is sent as the response to the call goAwayID, an ID that no call has. A peer that
// does not know the message drops it as the late response to an abandoned call, so it
// may be sent without knowing the version of the peer.
type goAway struct {
	// LastAccepted is the ID of the last accepted request, 0 for none. The IDs of the
	// calls on one connection increase.
	LastAccepted int64 `json:"last_accepted"`
}

// goAwayID is the ID of the response that carries a goAway; calls begin at 1.
const goAwayID int64 = 0

// encodeGoAway returns the frame of the message.
func encodeGoAway(g goAway) ([]byte, error) {
	response, err := jsonrpc2.NewResponse(jsonrpc2.Int64ID(goAwayID), g, nil)
	if err != nil {
		return nil, &EncodeError{Reason: err.Error()}
	}
	return Append(nil, response)
}

// decodeGoAway reports whether the response carries a goAway, and returns it.
func decodeGoAway(r *jsonrpc2.Response) (goAway, bool) {
	var g goAway
	id, isNumber := r.ID.Raw().(int64)
	if !isNumber || id != goAwayID || r.Error != nil {
		return g, false
	}
	return g, json.Unmarshal(r.Result, &g) == nil
}
