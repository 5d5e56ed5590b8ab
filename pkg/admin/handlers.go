package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// EditsRequest is the body of POST /v1/catalogue/edits.
type EditsRequest struct {
	// Identity makes the request idempotent: a request that repeats it is applied only
	// once. It must have 16 or more characters, chosen at random.
	Identity string `json:"identity"`
	// Edits is a list of edits as catalogue.DecodeEdits reads it.
	Edits json.RawMessage `json:"edits"`
}

// SwitchoverRequest is the body of POST /v1/switchover.
type SwitchoverRequest struct {
	Database core.DatabaseName `json:"database"`
	// To is the member that becomes the primary.
	To core.MemberID `json:"to"`
}

// EditResult is the response to edits that were accepted and are applied on this
// instance.
type EditResult struct {
	// Version is the version of the resulting catalogue.
	Version uint64 `json:"version"`
	// Changes are the differences from the previous version, one line each.
	Changes []string `json:"changes,omitempty"`
}

// submit passes a request to the control duty and waits for its answer. It returns an
// *Error, or the context's error when the client disconnects.
func (s *Server) submit(r *http.Request, request control.OperatorRequest) (control.OperatorResponse, error) {
	reply := make(chan control.OperatorResponse, 1)
	if !s.backend.Submit(request, reply) {
		return control.OperatorResponse{}, &Error{Status: http.StatusServiceUnavailable, Message: "instance is overloaded; not run"}
	}
	timeout := time.NewTimer(responseTimeout)
	defer timeout.Stop()
	select {
	case response := <-reply:
		return response, httpError(response.Err)
	case <-r.Context().Done():
		return control.OperatorResponse{}, r.Context().Err()
	case <-timeout.C:
		return control.OperatorResponse{}, &Error{Status: http.StatusGatewayTimeout, Message: "no answer in time; outcome uncertain: repeat with the same identity"}
	}
}

// httpError converts an error of the control duty to an *Error with its HTTP status.
func httpError(err error) error {
	var check *catalogue.CheckError
	var edit *control.EditError
	var busy *catalogue.BusyError
	var unknown *control.UnknownDatabaseError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &check):
		e := &Error{Status: http.StatusUnprocessableEntity, Message: "the edit breaks rules"}
		for _, f := range check.Violations {
			e.Faults = append(e.Faults, f.String())
		}
		return e
	case errors.As(err, &edit) && edit.Outcome == catalogue.OutcomeUncertain:
		return &Error{Status: http.StatusGatewayTimeout, Message: "outcome uncertain: repeat with the same identity"}
	case errors.As(err, &edit) && edit.Outcome == catalogue.OutcomeNotWritten:
		return &Error{Status: http.StatusServiceUnavailable, Message: "the platform did not take the edit; not run"}
	case errors.As(err, &busy):
		return &Error{Status: http.StatusServiceUnavailable, Message: err.Error()}
	case errors.As(err, &unknown):
		return &Error{Status: http.StatusNotFound, Message: err.Error()}
	}
	return &Error{Status: http.StatusConflict, Message: err.Error()}
}

// decodeBody decodes the JSON body of a request. It returns an *Error for an invalid or
// too large body, unknown fields, or data after the JSON value.
func decodeBody[T any](r *http.Request) (T, error) {
	var body T
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, &Error{Status: http.StatusBadRequest, Message: "invalid body: data after the request"}
	}
	return body, nil
}

// bodyError returns the HTTP error for a body that cannot be read or decoded.
func bodyError(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{Status: http.StatusRequestEntityTooLarge, Message: "body is larger than 1 MiB"}
	}
	return &Error{Status: http.StatusBadRequest, Message: "invalid body: " + err.Error()}
}

func (s *Server) getCatalogue(r *http.Request) (any, error) {
	response, err := s.submit(r, control.GetCatalogue{})
	return response.Catalogue, err
}

func (s *Server) getHistory(r *http.Request) (any, error) {
	response, err := s.submit(r, control.GetHistory{})
	return response.History, err
}

func (s *Server) getStatus(r *http.Request) (any, error) {
	response, err := s.submit(r, control.GetStatus{})
	return response.Status, err
}

func (s *Server) postEdits(r *http.Request) (any, error) {
	body, err := decodeBody[EditsRequest](r)
	if err != nil {
		return nil, err
	}
	if len(body.Identity) < 16 {
		return nil, &Error{Status: http.StatusBadRequest, Message: "identity must have at least 16 characters"}
	}
	edits, err := catalogue.DecodeEdits(body.Edits)
	if err != nil {
		return nil, &Error{Status: http.StatusBadRequest, Message: err.Error()}
	}
	response, err := s.submit(r, control.ApplyEdits{Identity: body.Identity, Edits: edits})
	if err != nil {
		return nil, err
	}
	return EditResult{Version: response.Version, Changes: response.Changes}, nil
}

func (s *Server) postSwitchover(r *http.Request) (any, error) {
	body, err := decodeBody[SwitchoverRequest](r)
	if err != nil {
		return nil, err
	}
	_, err = s.submit(r, control.Switchover{Database: body.Database, To: body.To})
	return struct{}{}, err
}

func (s *Server) getExplain(r *http.Request) (any, error) {
	lines, ok := s.backend.Explain(r.URL.Query().Get("account"))
	if !ok {
		return nil, &Error{Status: http.StatusServiceUnavailable, Message: "instance is overloaded"}
	}
	return lines, nil
}
