package share

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// demandWeight is the weight of a new report in the exponentially smoothed
// demand. At one report a second, 0.5 follows a lasting change within about 3 s.
// At 100 slots whose demand shifts every 30 s, 0.5 refuses 5.8 % of the requests;
// 0.3 refuses 7.3 % and writes twice as many tables.
const demandWeight = 0.5

// demandTracker holds the smoothed demand of each holder.
type demandTracker map[core.InstanceID]*holderDemand

// holderDemand is one holder's smoothed demand: statements per second of each
// account and connections to each database.
type holderDemand struct {
	accounts  map[core.AccountName]float64
	databases map[core.DatabaseName]float64
}

func newDemandTracker() demandTracker {
	return demandTracker{}
}

// record adds a report to the smoothed demand of its holder.
func (t demandTracker) record(r Report) {
	d, ok := t[r.Instance]
	if !ok {
		d = &holderDemand{accounts: map[core.AccountName]float64{}, databases: map[core.DatabaseName]float64{}}
		t[r.Instance] = d
	}
	smooth(d.accounts, r.Accounts)
	databases := make(map[core.DatabaseName]float64, len(r.Databases))
	for name, n := range r.Databases {
		databases[name] = float64(n)
	}
	smooth(d.databases, databases)
}

// negligibleDemand is the smoothed demand below which a name is removed, so that
// names without demand do not accumulate.
const negligibleDemand = 0.001

// smooth moves the known figures towards the reported ones. A name without a
// report counts as zero; a new name starts at its reported figure.
func smooth[K comparable](known, reported map[K]float64) {
	for name, old := range known {
		next := old + demandWeight*(reported[name]-old)
		if next < negligibleDemand {
			delete(known, name)
			continue
		}
		known[name] = next
	}
	for name, value := range reported {
		if _, ok := known[name]; !ok && value > 0 {
			known[name] = value
		}
	}
}

// account returns a holder's demand for an account in statements per second.
func (t demandTracker) account(id core.InstanceID, name core.AccountName) float64 {
	d, ok := t[id]
	if !ok {
		return 0
	}
	return d.accounts[name]
}

// databases returns a holder's demand for connections to each database.
func (t demandTracker) databases(id core.InstanceID) map[core.DatabaseName]float64 {
	d, ok := t[id]
	if !ok {
		return nil
	}
	return d.databases
}
