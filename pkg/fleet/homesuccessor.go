package fleet

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// This file is the successor's side of the handover of a home: it declares itself ready and
// takes over once the record names it.

// offerValidity is how long a successor that has declared itself ready accepts to be told
// that it is the home. Its lease lasts much longer, so no other instance can have become the
// home meanwhile.
const offerValidity = time.Second

// handoverOffer is a home for which this instance has declared itself ready.
type handoverOffer struct {
	revision Revision
	at       time.Time
	lease    Lease
}

// requested answers another instance that offers a home to this one.
func (h *handovers) requested(in HandoverRequested) {
	response := HandoverResponse{Lease: h.lease}
	if in.Request.Recorded {
		response.Accepted = h.takeOver(&in.Request)
	} else {
		response.Accepted = h.acceptOffer(&in.Request)
	}
	h.e.out.AnswerHandover(in.ReplyTo, response)
}

// acceptOffer reports whether this instance is ready to become the home of the account.
func (h *handovers) acceptOffer(in *HandoverRequest) bool {
	e := h.e
	if !e.homes.mayClaim() || h.lease == 0 || !e.now.Add(offerValidity).Before(e.homes.leaseUntil) {
		return false
	}
	known := e.configuration != nil && slices.ContainsFunc(e.configuration.Accounts, func(a catalogue.Account) bool { return a.Name == in.Account })
	if !known {
		return false
	}
	h.offers[in.Account] = handoverOffer{revision: in.Revision, at: e.now, lease: h.lease}
	return true
}

// takeOver makes this instance the home of the account, which the old home has recorded.
// It reports false if this instance has not declared itself ready within offerValidity
// under its present lease; the record in the store then decides.
func (h *handovers) takeOver(in *HandoverRequest) bool {
	e := h.e
	offer, offered := h.offers[in.Account]
	delete(h.offers, in.Account)
	if !offered || offer.revision != in.Revision || offer.lease != h.lease || e.now.Sub(offer.at) > offerValidity {
		return false
	}
	e.homes.set(in.Account, &Home{Account: in.Account, Node: e.config.Self.Node, Instance: e.config.Self.ID, Revision: in.Revision + 1})
	if e.configuration == nil || !e.homes.isLocal(in.Account) {
		return false
	}
	e.publishHomes()
	e.out.Session(session.TakeTokens{Account: in.Account, Tokens: in.Tokens})
	return true
}
