package control

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
)

func newKeeper(d *chart.Definition) (*catalogue.Keeper, error) {
	return catalogue.NewKeeper(d, catalogue.KeeperSettings{EditTimeout: editTimeout, ReadRetry: readRetry})
}

// platformWentBack forgets the record of the catalogue, whose revision means
// nothing any more, and keeps the catalogue in force. Whether the edits on their
// way took effect can no longer be found out.
func (c *configuration) platformWentBack() {
	keeper, err := newKeeper(c.chart)
	if err != nil {
		// The same chart was bound at start.
		panic(err)
	}
	keeper.PeerCatalogue(c.keeper.InForce(), c.engine.now)
	keeper.TakeCommands()
	c.keeper = keeper
	for identity := range c.replies {
		c.finished(catalogue.Finished{EditID: identity, Outcome: catalogue.OutcomeUncertain, Version: keeper.InForce().Version})
	}
	c.wentBack = true
}

// restore writes the catalogue in force over an older one: an accepted
// configuration does not revert, and no edit is accepted on an older base. Any
// number of instances may try; the compare-and-swap lets one of them win.
func (c *configuration) restore(r CatalogueRecord) {
	current, ok := c.inForce()
	if !ok || r.Catalogue != nil && r.Catalogue.Version >= current.Version {
		return
	}
	c.engine.warn("catalogue_restored", "the platform has an older catalogue than the one in force", map[string]any{
		"version": current.Version,
	})
	c.engine.store(SwapCatalogue{EditID: current.EditID, Catalogue: current, Revision: r.Revision})
}

// recordsRead looks at the first complete read after the platform went back.
func (c *configuration) recordsRead(records []Record) {
	if c.wentBack {
		c.wentBack = false
		c.restore(recordOf(records))
	}
}
