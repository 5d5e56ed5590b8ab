package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const testHomeWait = 500 * time.Millisecond

// newStarting gives an engine that has just started and knows nothing.
func newStarting(t *testing.T) *harness {
	h := &harness{t: t, now: start, cat: testCatalogue()}
	cfg := DefaultConfig()
	cfg.AckAtCommit, cfg.AsyncReplication, cfg.RatePerOperation = true, true, true
	cfg.Bounds.HomeWait = testHomeWait
	e, err := New(cfg, h)
	require.NoError(t, err)
	h.e = e
	return h
}

func (h *harness) allHomes() HomesInForce {
	homes := map[core.AccountName]Home{}
	for _, a := range h.cat.Accounts {
		homes[a.Name] = Home{Address: homeAddress}
	}
	return HomesInForce{Homes: homes}
}

// Guards against callers that are refused for a rate or as unknown because they
// come before the configuration and the homes, as after the restart of a whole
// fleet, and against callers that wait for ever.
func TestArrivalsWaitForTheHomes(t *testing.T) {
	h := newStarting(t)
	h.open(1, core.Position{})
	h.do(CatalogueInForce{Catalogue: h.cat})
	require.Empty(t, h.e.callers, "no home is known")
	h.open(2, core.Position{})
	h.do(CallerClosed{Caller: 2})
	h.do(h.allHomes())
	require.Len(t, h.e.callers, 1, "the second has gone")
	h.wait(testHomeWait)
	h.do(HomesInForce{})
	h.open(3, core.Position{})
	require.Len(t, h.e.callers, 2, "the wait belongs to the start")

	h = newStarting(t)
	h.do(CatalogueInForce{Catalogue: h.cat})
	h.open(1, core.Position{})
	h.wait(testHomeWait)
	require.Len(t, h.e.callers, 1, "one account may stay without a home")

	h = newStarting(t)
	h.open(1, core.Position{})
	h.wait(testHomeWait)
	h.closedWith(core.ReasonStopping, core.OutcomeNotRun)

	h = newStarting(t)
	h.open(1, core.Position{})
	h.do(Drain{})
	h.closedWith(core.ReasonStopping, core.OutcomeNotRun)
	require.Contains(t, h.control, Drained{})
}
