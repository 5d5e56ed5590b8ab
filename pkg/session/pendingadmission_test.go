package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// testHomeWait is the engine's Bounds.HomeWait.
const testHomeWait = 500 * time.Millisecond

// newStartingHarness returns a harness whose engine has just started and has no
// configuration.
func newStartingHarness(t *testing.T) *harness {
	h := &harness{t: t, now: startTime, catalogue: testCatalogue()}
	cfg := DefaultConfig()
	cfg.AckAtCommit, cfg.AsyncReplication, cfg.RatePerOperation = true, true, true
	cfg.Bounds.HomeWait = testHomeWait
	e, err := New(cfg, h)
	require.NoError(t, err)
	h.e = e
	return h
}

func (h *harness) homesOfAllAccounts() HomesUpdate {
	homes := map[core.AccountName]Home{}
	for _, a := range h.catalogue.Accounts {
		homes[a.Name] = Home{Address: homeAddress}
	}
	return HomesUpdate{Homes: homes}
}

// Guards against callers that are refused, as unknown or for the rate, because
// they connect before the configuration and the homes are known, as after a
// restart of the whole fleet; and against callers that wait without a limit.
func TestArrivalsWaitForTheHomes(t *testing.T) {
	h := newStartingHarness(t)
	h.open(1, core.Position{})
	h.do(CatalogueUpdate{Catalogue: h.catalogue})
	require.Empty(t, h.e.callers, "no home is known")
	h.open(2, core.Position{})
	h.do(CallerClosed{Caller: 2})
	h.do(h.homesOfAllAccounts())
	require.Len(t, h.e.callers, 1, "the second caller has disconnected")
	h.wait(testHomeWait)
	h.do(HomesUpdate{})
	h.open(3, core.Position{})
	require.Len(t, h.e.callers, 2, "callers wait only after the start")

	h = newStartingHarness(t)
	h.do(CatalogueUpdate{Catalogue: h.catalogue})
	h.open(1, core.Position{})
	h.wait(testHomeWait)
	require.Len(t, h.e.callers, 1, "one account may stay without a home")

	h = newStartingHarness(t)
	h.open(1, core.Position{})
	h.wait(testHomeWait)
	h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)

	h = newStartingHarness(t)
	h.open(1, core.Position{})
	h.do(Drain{})
	h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
	require.Contains(t, h.control, Drained{})
}
