package control

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
)

// newManager returns a catalogue manager without a catalogue.
func newManager(d *chart.Definition) (*catalogue.Manager, error) {
	return catalogue.NewManager(d, catalogue.ManagerSettings{EditTimeout: editTimeout, ReadRetry: readRetryDelay})
}

// platformRolledBack handles a platform whose store has returned to an older
// state. It forgets the catalogue's record, because its revision is no longer
// valid, and keeps the current catalogue. The outcome of outstanding edits can no
// longer be determined; they are reported as uncertain.
func (c *configuration) platformRolledBack() {
	manager, err := newManager(c.chart)
	if err != nil {
		// The same chart was compiled at start.
		panic(err)
	}
	manager.AdoptFromPeer(c.manager.Current(), c.engine.now)
	manager.TakeCommands()
	c.manager = manager
	for identity := range c.replies {
		c.editFinished(catalogue.Finished{EditID: identity, Outcome: catalogue.OutcomeUncertain, Version: manager.Current().Version})
	}
	c.rolledBack = true
}

// restoreCatalogue writes the current catalogue over an older record: an accepted
// configuration does not revert, and no edit is applied to an older one. Several
// instances may try; the compare-and-swap lets one of them succeed.
func (c *configuration) restoreCatalogue(r CatalogueRecord) {
	current, ok := c.current()
	if !ok || r.Catalogue != nil && r.Catalogue.Version >= current.Version {
		return
	}
	c.engine.warn("catalogue_restored", "the platform has an older catalogue than the current one; writing the current one again", map[string]any{
		"version": current.Version,
	})
	c.engine.callPlatform(SwapCatalogue{EditID: current.EditID, Catalogue: current, Revision: r.Revision})
}

// recordsReloaded restores the catalogue after the first complete read that
// follows a rollback.
func (c *configuration) recordsReloaded(records []Record) {
	if c.rolledBack {
		c.rolledBack = false
		c.restoreCatalogue(catalogueRecord(records))
	}
}
