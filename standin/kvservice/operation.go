package kvservice

import (
	"errors"
	"net/http"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// answer is what the HTTP handler sends.
type answer struct {
	status int
	body   any
	// drop closes the connection instead of answering.
	drop bool
}

// operation is one call. changes tells that a lost answer is possible.
type operation interface {
	name() string
	class() callClass
	changes() bool
	apply(s *State, now time.Time) answer
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

func (getOp) changes() bool         { return false }
func (putOp) changes() bool         { return true }
func (deleteOp) changes() bool      { return true }
func (createLeaseOp) changes() bool { return true }
func (renewLeaseOp) changes() bool  { return true }
func (revokeLeaseOp) changes() bool { return true }
func (instancesOp) changes() bool   { return false }
func (announceOp) changes() bool    { return true }
func (withdrawOp) changes() bool    { return true }

func failure(err error) answer {
	var conflict *store.ConflictError
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &conflict):
		return answer{status: http.StatusConflict, body: conflict.Current}
	case errors.As(err, &missing):
		return answer{status: http.StatusNotFound, body: store.ErrorDocument{Error: err.Error()}}
	}
	return answer{status: http.StatusInternalServerError, body: store.ErrorDocument{Error: err.Error()}}
}

func result(body any, err error) answer {
	if err != nil {
		return failure(err)
	}
	return answer{status: http.StatusOK, body: body}
}

func (o getOp) apply(s *State, _ time.Time) answer {
	record, exists := s.Get(o.key)
	if !exists {
		return failure(&store.NotFoundError{What: "record " + string(o.key)})
	}
	return result(record, nil)
}

func (o putOp) apply(s *State, _ time.Time) answer {
	record, err := s.Put(o.request)
	return result(record, err)
}

func (o deleteOp) apply(s *State, _ time.Time) answer {
	return result(struct{}{}, s.Delete(o.key, o.revision))
}

func (o createLeaseOp) apply(s *State, now time.Time) answer {
	return result(store.LeaseDocument{ID: s.CreateLease(o.ttl, now)}, nil)
}

func (o renewLeaseOp) apply(s *State, now time.Time) answer {
	return result(struct{}{}, s.RenewLease(o.id, now))
}

func (o revokeLeaseOp) apply(s *State, now time.Time) answer {
	return result(struct{}{}, s.RevokeLease(o.id, now))
}

func (instancesOp) apply(s *State, now time.Time) answer {
	return result(s.Instances(now), nil)
}

func (o announceOp) apply(s *State, now time.Time) answer {
	s.Announce(o.instance, now)
	return result(struct{}{}, nil)
}

func (o withdrawOp) apply(s *State, now time.Time) answer {
	s.Withdraw(o.id, now)
	return result(struct{}{}, nil)
}
