package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/membership"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// receiveVersions delivers one version message of a peer in a domain.
func (h *harness) receiveVersions(domain core.Domain, contactAge time.Duration) {
	id := core.InstanceID("peer-" + domain)
	h.handle(FromPeer{Message: Versions{
		From: id, PeerAddress: "10.0.1.1:1", Domain: domain, To: self,
		Versions: membership.Versions{NewsAge: contactAge},
	}})
}

// outage advances the clock without the platform while peers in the domains send
// messages.
func (h *harness) outage(length time.Duration, contactAge func(since time.Duration) time.Duration, domains ...core.Domain) {
	for end := h.now.Add(length); h.now.Before(end); {
		h.run(time.Second)
		for _, d := range domains {
			h.receiveVersions(d, contactAge(h.now.Sub(start)))
		}
	}
}

// start is the time of the harness's first input.
var start = time.Unix(10_000, 0)

func sameAge(since time.Duration) time.Duration { return since }

func freshAge(time.Duration) time.Duration { return time.Second }

func (h *harness) keysValid() bool {
	return h.now.Before(lastInput[session.KeysValidUntil](h).Time)
}

// Guards against refusing keys during an outage that affects only the platform,
// and against accepting keys without limit in a domain that is isolated from all
// other domains.
func TestKeysGoStaleOnlyWhenCutOff(t *testing.T) {
	for name, test := range map[string]struct {
		domains []core.Domain
		age     func(time.Duration) time.Duration
		valid   bool
	}{
		"cut off":                        {nil, sameAge, false},
		"only the own domain":            {[]core.Domain{"jylland"}, sameAge, false},
		"platform outage":                {[]core.Domain{"fyn", "sjaelland"}, sameAge, true},
		"one of two others":              {[]core.Domain{"fyn"}, sameAge, true},
		"contact through the own domain": {[]core.Domain{"jylland"}, freshAge, true},
	} {
		h := newHarness(t)
		h.startServing()
		h.outage(staleness-2*time.Second, test.age, test.domains...)
		require.True(t, h.keysValid(), name)
		h.outage(10*time.Second, test.age, test.domains...)
		require.Equal(t, test.valid, h.keysValid(), name)
	}
}

// Guards against an instance that restarts in an isolated domain and then accepts
// keys for another whole staleness bound.
func TestStartInCutOffDomainTrustsNoKey(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	call := PeerCall{Address: "10.0.0.9:1", Message: CatalogueRequest{}}
	h.handle(FromPeerResponse{Call: call, Response: CatalogueMessage{Catalogue: testCatalogue()}, SentAt: h.now})
	h.receiveVersions("jylland", staleness+time.Minute)
	h.run(time.Second)
	require.False(t, h.keysValid())
}

// Guards against an instance that starts during a platform outage, links no peer
// and therefore refuses every key.
func TestSeedsAreLinked(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	greeting := sentMessages[Versions](h, "10.0.0.9:1")
	require.Len(t, greeting, 1)
	call := PeerCall{Address: "10.0.0.9:1", Message: greeting[0]}
	h.handle(FromPeerResponse{Call: call, Response: Acknowledged{Instance: "i9"}, SentAt: h.now})
	require.Equal(t, []core.InstanceID{"i9"}, h.engine.peers.mesh.Links())
	h.run(time.Second)
	sent := sentMessages[Versions](h, "10.0.0.9:1")
	require.Contains(t, []core.InstanceID{sent[1].To, sent[len(sent)-1].To}, core.InstanceID("i9"))
	h.handle(FromPeerResponse{Call: call, Response: Acknowledged{Instance: self}, SentAt: h.now})
	require.Len(t, h.engine.peers.mesh.Links(), 1, "no link to itself")
}

// Guards against losing a revocation that arrives while keys are not accepted.
func TestRevocationWhileStale(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	h.run(staleness + time.Minute)
	require.False(t, h.keysValid())
	h.handle(FromPeer{Message: Versions{
		From: "i2", PeerAddress: "10.0.0.2:1", Domain: "jylland", To: self,
		Versions: membership.Versions{Revoked: []core.KeyID{"k1"}, NewsAge: time.Hour},
	}})
	require.Equal(t, []core.KeyID{"k1"}, lastInput[session.KeysRevoked](h).Keys)
}
