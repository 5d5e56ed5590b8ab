package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/membership"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// hear delivers one exchange of a peer in a domain.
func (h *harness) hear(domain core.Domain, newsAge time.Duration) {
	id := core.InstanceID("peer-" + domain)
	h.do(FromPeer{Message: Versions{
		From: id, PeerAddress: "10.0.1.1:1", Domain: domain, To: self,
		Versions: membership.Versions{NewsAge: newsAge},
	}})
}

// outage lets time pass without the platform while peers are heard.
func (h *harness) outage(length time.Duration, newsAge func(since time.Duration) time.Duration, domains ...core.Domain) {
	for end := h.now.Add(length); h.now.Before(end); {
		h.run(time.Second)
		for _, d := range domains {
			h.hear(d, newsAge(h.now.Sub(start)))
		}
	}
}

// start is the time of the harness's first input.
var start = time.Unix(10_000, 0)

func same(since time.Duration) time.Duration { return since }

func fresh(time.Duration) time.Duration { return time.Second }

func (h *harness) keysTrusted() bool {
	return h.now.Before(last[session.KeysTrusted](h).Until)
}

// Guards against keyed work that stops in a plain platform outage, and against
// keys that are honoured for ever in a domain that is cut off from everything
// but its own instances.
func TestKeysGoStaleOnlyWhenCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		domains []core.Domain
		age     func(time.Duration) time.Duration
		trusted bool
	}{
		"cut off":                       {nil, same, false},
		"only the own domain":           {[]core.Domain{"jylland"}, same, false},
		"platform outage":               {[]core.Domain{"fyn", "sjaelland"}, same, true},
		"one of two others":             {[]core.Domain{"fyn"}, same, true},
		"news by way of the own domain": {[]core.Domain{"jylland"}, fresh, true},
	} {
		h := newHarness(t)
		h.serve()
		h.outage(staleness-2*time.Second, c.age, c.domains...)
		require.True(t, h.keysTrusted(), name)
		h.outage(10*time.Second, c.age, c.domains...)
		require.Equal(t, c.trusted, h.keysTrusted(), name)
	}
}

// Guards against a restart in a cut-off domain that starts the bound anew.
func TestStartInCutOffDomainTrustsNoKey(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	call := PeerCall{Address: "10.0.0.9:1", Message: CatalogueRequest{}}
	h.do(FromPeerAnswer{Call: call, Answer: CatalogueMessage{Catalogue: testCatalogue()}, Asked: h.now})
	h.hear("jylland", staleness+time.Minute)
	h.run(time.Second)
	require.False(t, h.keysTrusted())
}

// Guards against a start during a platform outage that never links a peer, so
// that it hears no domain and refuses every key.
func TestSeedsAreLinked(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	greeting := calls[Versions](h, "10.0.0.9:1")
	require.Len(t, greeting, 1)
	call := PeerCall{Address: "10.0.0.9:1", Message: greeting[0]}
	h.do(FromPeerAnswer{Call: call, Answer: Accepted{Instance: "i9"}, Asked: h.now})
	require.Equal(t, []core.InstanceID{"i9"}, h.e.peers.mesh.Links())
	h.run(time.Second)
	sent := calls[Versions](h, "10.0.0.9:1")
	require.Contains(t, []core.InstanceID{sent[1].To, sent[len(sent)-1].To}, core.InstanceID("i9"))
	h.do(FromPeerAnswer{Call: call, Answer: Accepted{Instance: self}, Asked: h.now})
	require.Len(t, h.e.peers.mesh.Links(), 1, "no link to itself")
}

// Guards against a revocation that is forgotten because it came while the keys
// were stale.
func TestRevocationWhileStale(t *testing.T) {
	h := newHarness(t)
	h.serve()
	h.run(staleness + time.Minute)
	require.False(t, h.keysTrusted())
	h.do(FromPeer{Message: Versions{
		From: "i2", PeerAddress: "10.0.0.2:1", Domain: "jylland", To: self,
		Versions: membership.Versions{Revoked: []core.KeyID{"k1"}, NewsAge: time.Hour},
	}})
	require.Equal(t, []core.KeyID{"k1"}, last[session.KeysRevoked](h).Keys)
}
