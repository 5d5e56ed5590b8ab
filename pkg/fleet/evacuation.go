package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// The operator can request the evacuation of a failure domain: its members keep running
// and replicating, but within Limits.EvacuationBound no request reaches them any more,
// until the request is withdrawn. The requests are records of the store; each instance
// carries them out on its own.
//
// "Withdrawn" has two meanings here and in package session: a request is withdrawn when the
// operator removes its key, and a member is withdrawn while an evacuation permits nothing to
// be sent to it.

const (
	// evacuationReplicaFraction is the fraction of the bound during which a replica of an
	// evacuated failure domain gets new work. Transactions that begin before its end have
	// the time until evacuationEndFraction to finish.
	evacuationReplicaFraction = 0.5
	// evacuationEndFraction is the fraction of the bound after which nothing is sent to a
	// member any more and open transactions there end. The primary gets new work until
	// then, because nothing else serves writes while its successor is being promoted. The
	// rest of the bound covers requests that are on their way.
	evacuationEndFraction = 0.75
)

// evacuation is the operator's request to evacuate a failure domain.
type evacuation struct {
	// since is the earliest time at which the store may have acknowledged the request.
	since time.Time
	// requestLogged is set once evacuation_requested was logged, ignoredLogged once
	// evacuation_ignored was: no member or instance is in the domain.
	requestLogged, ignoredLogged bool
}

// requestEvacuation applies the record of a request. One that is in force keeps its time.
func (e *Engine) requestEvacuation(domain core.Domain) {
	if e.evacuations[domain] != nil {
		return
	}
	// The request may have been acknowledged any time after the previous read of the
	// store. At the start there was no previous read, so the bound counts as over.
	since := e.changesSince
	if since.IsZero() {
		since = e.now.Add(-e.config.Limits.EvacuationBound)
	}
	e.evacuations[domain] = &evacuation{since: since}
}

// withdrawEvacuation applies the removal of the record of a request.
func (e *Engine) withdrawEvacuation(domain core.Domain) {
	request := e.evacuations[domain]
	if request == nil {
		return
	}
	delete(e.evacuations, domain)
	if request.requestLogged {
		e.out.Log(LogEvent{Warning: true, Event: "evacuation_withdrawn", Message: "the members of the failure domain get work again",
			Fields: map[string]any{"domain": domain}})
	}
}

// replaceEvacuations replaces the known requests by those of a complete read.
func (e *Engine) replaceEvacuations(domains []core.Domain) {
	for domain := range e.evacuations {
		if !slices.Contains(domains, domain) {
			e.withdrawEvacuation(domain)
		}
	}
	for _, domain := range domains {
		e.requestEvacuation(domain)
	}
}

// logEvacuations logs each request once, when the changes that were read together have
// been applied.
func (e *Engine) logEvacuations() {
	if e.config.Limits.EvacuationBound <= 0 {
		return
	}
	for domain, request := range e.evacuations {
		members := e.membersIn(domain)
		switch {
		case request.requestLogged:
		case len(members) > 0 || e.hasInstanceIn(domain):
			request.requestLogged = true
			e.out.Log(LogEvent{Warning: true, Event: "evacuation_requested", Message: "the members of the failure domain get no more work",
				Fields: map[string]any{"domain": domain, "members": members, "ends_ms": stepMillis(e.now, e.evacuationEnd(request))}})
		case !request.ignoredLogged:
			request.ignoredLogged = true
			e.out.Log(LogEvent{Warning: true, Event: "evacuation_ignored", Message: "no member or instance is in the failure domain to evacuate",
				Fields: map[string]any{"domain": domain}})
		}
	}
}

// membersIn returns the IDs of the members in the failure domain, sorted.
func (e *Engine) membersIn(domain core.Domain) []core.MemberID {
	var ids []core.MemberID
	for _, m := range e.members {
		if m.Domain == domain {
			ids = append(ids, m.Member)
		}
	}
	slices.Sort(ids)
	return ids
}

// hasInstanceIn reports whether a registered instance is in the failure domain.
func (e *Engine) hasInstanceIn(domain core.Domain) bool {
	for _, i := range e.instances {
		if i.Domain == domain {
			return true
		}
	}
	return false
}

// evacuationOf returns the request that concerns the member, nil if there is none.
func (e *Engine) evacuationOf(m *member) *evacuation {
	if e.config.Limits.EvacuationBound <= 0 {
		return nil
	}
	return e.evacuations[m.Domain]
}

// evacuated reports whether the member's failure domain is being evacuated.
func (e *Engine) evacuated(m *member) bool { return e.evacuationOf(m) != nil }

// evacuationPart returns the end of a fraction of the request's bound.
func (e *Engine) evacuationPart(request *evacuation, fraction float64) time.Time {
	return request.since.Add(time.Duration(float64(e.config.Limits.EvacuationBound) * fraction))
}

// evacuationEnd returns the time after which nothing is sent to members of the domain.
func (e *Engine) evacuationEnd(request *evacuation) time.Time {
	return e.evacuationPart(request, evacuationEndFraction)
}

// evacuationWorkEnd returns when the member stops getting new work because of an
// evacuation, the zero time without one.
func (e *Engine) evacuationWorkEnd(m *member) time.Time {
	request := e.evacuationOf(m)
	switch {
	case request == nil:
		return time.Time{}
	case e.effectiveRole(m) == core.RolePrimary:
		return e.evacuationEnd(request)
	}
	return e.evacuationPart(request, evacuationReplicaFraction)
}

// sendUntil returns the time after which nothing is sent to the member, the zero time if
// there is no limit.
func (e *Engine) sendUntil(m *member) time.Time {
	request := e.evacuationOf(m)
	if request == nil {
		return time.Time{}
	}
	return e.evacuationEnd(request)
}

// withdrawn reports whether nothing is sent to the member any more.
func (e *Engine) withdrawn(m *member) bool {
	request := e.evacuationOf(m)
	return request != nil && !e.now.Before(e.evacuationEnd(request))
}

// primaryWithheld reports whether the group's requests for a primary cannot be served
// until an evacuation ends: nothing is sent to the primary any more, if there is one, and
// no other member may be promoted.
func (e *Engine) primaryWithheld(group core.DatabaseName) bool {
	if !slices.ContainsFunc(e.groups[group], e.withdrawn) {
		return false
	}
	primary, candidates := e.primaryAndCandidates(group)
	if primary != nil && !e.withdrawn(primary) {
		return false
	}
	return candidates == 0 && !e.primaryChangeOf(group).underWay()
}

// EvacuationStatus is the evacuation of a failure domain as seen by this instance.
type EvacuationStatus struct {
	Domain core.Domain `json:"domain"`
	// Seconds is the time since the request may have been made.
	Seconds float64 `json:"seconds"`
	// Ended is set once nothing is sent to members of the domain any more.
	Ended bool `json:"ended"`
	// Unknown is set if no member or instance is in the domain.
	Unknown bool `json:"unknown,omitempty"`
}

// evacuationStatus returns the requests that are in force, sorted by domain.
func (e *Engine) evacuationStatus() []EvacuationStatus {
	var list []EvacuationStatus
	if e.config.Limits.EvacuationBound <= 0 {
		return list
	}
	for domain, request := range e.evacuations {
		list = append(list, EvacuationStatus{
			Domain:  domain,
			Seconds: e.now.Sub(request.since).Round(time.Millisecond).Seconds(),
			Ended:   !e.now.Before(e.evacuationEnd(request)),
			Unknown: len(e.membersIn(domain)) == 0 && !e.hasInstanceIn(domain),
		})
	}
	slices.SortFunc(list, func(a, b EvacuationStatus) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}
