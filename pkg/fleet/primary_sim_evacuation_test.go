package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// scheduleEvacuations requests the evacuation of one or two failure domains, mostly that of
// the primary first, and withdraws most of the requests again.
func (w *simWorld) scheduleEvacuations() {
	for range 1 + w.rng.IntN(3) {
		w.after(time.Duration(w.rng.IntN(5000))*time.Millisecond, func() {
			domain := w.primary().domain
			if w.rng.IntN(3) == 0 {
				domain = w.members[w.rng.IntN(3)].domain
			}
			w.requestEvacuation(domain)
			if w.rng.IntN(4) > 0 {
				w.after(time.Duration(w.rng.IntN(8000))*time.Millisecond, func() { w.withdrawEvacuation(domain) })
			}
		})
	}
}

func (w *simWorld) requestEvacuation(domain string) {
	if _, requested := w.evacuatedAt[domain]; !requested {
		simLog(w.now, "evacuate", domain)
		w.evacuatedAt[domain] = w.now
		w.record(Change{EvacuatedDomain: core.Domain(domain)})
	}
}

func (w *simWorld) withdrawEvacuation(domain string) {
	if _, requested := w.evacuatedAt[domain]; requested {
		simLog(w.now, "withdraw", domain)
		delete(w.evacuatedAt, domain)
		w.record(Change{RestoredDomain: core.Domain(domain)})
	}
}

// evacuatedDomains returns the requests that are in force.
func (w *simWorld) evacuatedDomains() []core.Domain {
	var domains []core.Domain
	for domain := range w.evacuatedAt {
		domains = append(domains, core.Domain(domain))
	}
	slices.Sort(domains)
	return domains
}

// checkEvacuated records a write that the node sends to a member of an evacuated domain
// after the bound, although the node has read the store since the request.
func (w *simWorld) checkEvacuated(n *simNode, m *simMember) {
	requested, evacuated := w.evacuatedAt[m.domain]
	if evacuated && n.readAt.After(requested) && w.now.Sub(requested) > testEvacuationBound {
		w.violations = append(w.violations, fmt.Sprintf("%s: %s sends a write to %s, evacuated at %s", w.now.Sub(startTime), n.name, m.name, requested.Sub(startTime)))
	}
}

// Guards against an acknowledged write that is lost, and against writes to an evacuated
// member after the bound, when evacuations are requested and withdrawn during changes of
// primary, cuts, pauses, crashes and restarts. SIM_SEEDS sets the number of seeds. The test
// fails if evacuationEndFraction is 1.5.
func TestEvacuationsUnderFaults(t *testing.T) {
	promotions, acknowledged := 0, 0
	for seed := range simSeeds(t, 60) {
		w := newSimWorld(t, seed)
		w.evacuations = true
		w.run()
		require.Empty(t, w.violations[:min(len(w.violations), 1)], "seed %d", seed)
		promotions += w.promotions
		acknowledged += w.acknowledged
	}
	t.Logf("%d promotions, %d acknowledged writes", promotions, acknowledged)
	require.NotZero(t, promotions)
	require.NotZero(t, acknowledged)
}
