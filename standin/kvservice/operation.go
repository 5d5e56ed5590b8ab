package kvservice

import (
	"errors"
	"net/http"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// response is the result of an operation as the HTTP handler sends it.
type response struct {
	status int
	body   any
	// drop closes the connection without a response.
	drop bool
}

// operation is one call other than a watch.
type operation interface {
	// name is the key of the call in Stats.Calls.
	name() string
	class() callClass
	// mutates reports whether the call changes the state, so that the fault
	// LoseResponses applies to it.
	mutates() bool
	apply(s *State, now time.Time) response
}

type (
	getOp    struct{ key store.Key }
	putOp    struct{ request store.PutRequest }
	deleteOp struct {
		key      store.Key
		revision store.Revision
	}
	createLeaseOp struct{ ttl time.Duration }
	renewLeaseOp  struct{ id store.LeaseID }
	revokeLeaseOp struct{ id store.LeaseID }
	instancesOp   struct{}
	announceOp    struct{ instance store.Instance }
	withdrawOp    struct{ id core.InstanceID }
)

func (getOp) name() string         { return "get" }
func (putOp) name() string         { return "put" }
func (deleteOp) name() string      { return "delete" }
func (createLeaseOp) name() string { return "lease_create" }
func (renewLeaseOp) name() string  { return "lease_renew" }
func (revokeLeaseOp) name() string { return "lease_revoke" }
func (instancesOp) name() string   { return "instances" }
func (announceOp) name() string    { return "announce" }
func (withdrawOp) name() string    { return "withdraw" }

func (getOp) class() callClass         { return readCall }
func (putOp) class() callClass         { return writeCall }
func (deleteOp) class() callClass      { return writeCall }
func (createLeaseOp) class() callClass { return writeCall }
func (renewLeaseOp) class() callClass  { return writeCall }
func (revokeLeaseOp) class() callClass { return writeCall }
func (instancesOp) class() callClass   { return readCall }
func (announceOp) class() callClass    { return writeCall }
func (withdrawOp) class() callClass    { return writeCall }

func (getOp) mutates() bool         { return false }
func (putOp) mutates() bool         { return true }
func (deleteOp) mutates() bool      { return true }
func (createLeaseOp) mutates() bool { return true }
func (renewLeaseOp) mutates() bool  { return true }
func (revokeLeaseOp) mutates() bool { return true }
func (instancesOp) mutates() bool   { return false }
func (announceOp) mutates() bool    { return true }
func (withdrawOp) mutates() bool    { return true }

// errorResponse converts an error of State to a response.
func errorResponse(err error) response {
	var conflict *store.ConflictError
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &conflict):
		return response{status: http.StatusConflict, body: conflict.Current}
	case errors.As(err, &missing):
		return response{status: http.StatusNotFound, body: store.ErrorDocument{Error: err.Error()}}
	}
	return response{status: http.StatusInternalServerError, body: store.ErrorDocument{Error: err.Error()}}
}

// resultResponse returns a response with the status 200, or that of the error.
func resultResponse(body any, err error) response {
	if err != nil {
		return errorResponse(err)
	}
	return response{status: http.StatusOK, body: body}
}

func (o getOp) apply(s *State, _ time.Time) response {
	record, exists := s.Get(o.key)
	if !exists {
		return errorResponse(&store.NotFoundError{What: "record " + string(o.key)})
	}
	return resultResponse(record, nil)
}

func (o putOp) apply(s *State, _ time.Time) response {
	record, err := s.Put(o.request)
	return resultResponse(record, err)
}

func (o deleteOp) apply(s *State, _ time.Time) response {
	return resultResponse(struct{}{}, s.Delete(o.key, o.revision))
}

func (o createLeaseOp) apply(s *State, now time.Time) response {
	return resultResponse(store.LeaseDocument{ID: s.CreateLease(o.ttl, now)}, nil)
}

func (o renewLeaseOp) apply(s *State, now time.Time) response {
	return resultResponse(struct{}{}, s.RenewLease(o.id, now))
}

func (o revokeLeaseOp) apply(s *State, now time.Time) response {
	return resultResponse(struct{}{}, s.RevokeLease(o.id, now))
}

func (instancesOp) apply(s *State, now time.Time) response {
	return resultResponse(s.Instances(now), nil)
}

func (o announceOp) apply(s *State, now time.Time) response {
	s.Announce(o.instance, now)
	return resultResponse(struct{}{}, nil)
}

func (o withdrawOp) apply(s *State, now time.Time) response {
	s.Withdraw(o.id, now)
	return resultResponse(struct{}{}, nil)
}
