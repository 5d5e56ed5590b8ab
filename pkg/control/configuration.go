package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const (
	// editTimeout bounds each phase of an edit.
	editTimeout = 3 * time.Second
	// readRetry is the delay after a failed read of the catalogue.
	readRetry = 500 * time.Millisecond
	// publishRetry is the delay before a message that found the session ring
	// full is offered again.
	publishRetry = 10 * time.Millisecond
	// trustPeriod is the period in which the trust in keys is extended.
	trustPeriod = time.Second
	// keptVersions bounds the history of versions.
	keptVersions = 50
)

// configuration is the catalogue in force, the edits on their way and the keys
// that are honoured.
type configuration struct {
	engine  *Engine
	chart   *chart.Definition
	keeper  *catalogue.Keeper
	keys    *catalogue.KeyRing
	replies map[string][]chan<- OperatorAnswer
	timer   timer
	// unpublished are inputs of session that found its ring full.
	unpublished []session.Input
	retry       timer
	previous    *catalogue.Catalogue
	history     []HistoryItem
	// wentBack is set from a restart of the watch, because the platform went back
	// to an older state, until all records were read again.
	wentBack bool
}

func newConfiguration(e *Engine, keeper, key *chart.Definition) (*configuration, error) {
	k, err := newKeeper(keeper)
	if err != nil {
		return nil, err
	}
	ring, err := catalogue.NewKeyRing(key, e.config.KeyStaleness, time.Time{})
	if err != nil {
		return nil, err
	}
	c := &configuration{
		engine: e, chart: keeper, keeper: k, keys: ring,
		replies: map[string][]chan<- OperatorAnswer{}, previous: &catalogue.Catalogue{},
	}
	c.timer.Value = c.tick
	c.retry.Value = c.flush
	return c, nil
}

func (c *configuration) start() {
	c.engine.every(trustPeriod, c.extendTrust)
}

// inForce returns the catalogue in force and whether there is one.
func (c *configuration) inForce() (*catalogue.Catalogue, bool) {
	current := c.keeper.InForce()
	return current, current.Version > 0
}

func (c *configuration) tick() {
	c.keeper.Tick(c.engine.now)
	c.run()
}

// run carries out what the keeper decided and arms its next deadline.
func (c *configuration) run() {
	for commands := c.keeper.TakeCommands(); len(commands) > 0; commands = c.keeper.TakeCommands() {
		for _, command := range commands {
			c.carryOut(command)
		}
	}
	if at, armed := c.keeper.Next(); armed {
		c.engine.timers.arm(&c.timer, at)
		return
	}
	c.engine.timers.disarm(&c.timer)
}

func (c *configuration) carryOut(command catalogue.Command) {
	switch v := command.(type) {
	case catalogue.Write:
		c.engine.store(SwapCatalogue{EditID: v.EditID, Catalogue: v.Catalogue, Revision: Revision(v.Revision)})
	case catalogue.Read:
		c.engine.store(ReadCatalogue{})
	case catalogue.Adopted:
		c.adopted(v)
	case catalogue.Finished:
		c.finished(v)
	}
}

func (c *configuration) adopted(a catalogue.Adopted) {
	e := c.engine
	changes := catalogue.Diff(c.previous, a.Catalogue)
	c.previous = a.Catalogue
	c.remember(a.Catalogue, changes)
	e.log("catalogue_in_force", "catalogue in force", map[string]any{
		"version": a.Catalogue.Version, "edit_id": a.Catalogue.EditID, "source": a.Source,
	})
	e.adoptGroups(a.Catalogue)
	e.out.Callers(a.Catalogue)
	c.publish(session.CatalogueInForce{Catalogue: a.Catalogue})
	c.keys.Adopt(a.Catalogue)
	c.endKeys()
	e.peers.spread()
	e.shares.publish(e)
}

func (c *configuration) remember(adopted *catalogue.Catalogue, changes []string) {
	item := HistoryItem{Version: adopted.Version, EditID: adopted.EditID, Adopted: c.engine.now, Changes: changes}
	c.history = append([]HistoryItem{item}, c.history...)
	if len(c.history) > keptVersions {
		c.history = c.history[:keptVersions]
	}
}

// finished answers the operators that submitted the edit.
func (c *configuration) finished(f catalogue.Finished) {
	answer := OperatorAnswer{}
	switch f.Outcome {
	case catalogue.OutcomeAccepted:
		answer.Version = f.Version
		answer.Changes = f.Changes
	case catalogue.OutcomeRejected:
		answer.Err = &catalogue.CheckError{Faults: f.Faults}
	default:
		answer.Err = &EditError{Outcome: f.Outcome, Version: f.Version}
	}
	for _, reply := range c.replies[f.EditID] {
		reply <- answer
	}
	delete(c.replies, f.EditID)
}

// EditError reports an edit that was not accepted, or whose outcome is not known.
type EditError struct {
	Outcome catalogue.Outcome
	// Version is the version in force.
	Version uint64
}

func (e *EditError) Error() string {
	return "edit: " + string(e.Outcome)
}

func (c *configuration) submit(r ApplyEdits, reply chan<- OperatorAnswer) {
	waiting := c.replies[r.Identity]
	c.replies[r.Identity] = append(waiting, reply)
	if len(waiting) > 0 {
		return
	}
	if err := c.keeper.Submit(r.Identity, r.Edits, c.engine.now); err != nil {
		delete(c.replies, r.Identity)
		reply <- OperatorAnswer{Err: err}
		return
	}
	c.run()
}

// read takes the record from a watch.
func (c *configuration) read(r CatalogueRecord) {
	c.keeper.Record(keeperRecord(r), catalogue.SourceWatch, c.engine.now)
	c.run()
}

func keeperRecord(r CatalogueRecord) catalogue.Record {
	return catalogue.Record{Catalogue: r.Catalogue, Revision: uint64(r.Revision)}
}

func (c *configuration) fromPeer(received *catalogue.Catalogue) {
	c.keeper.PeerCatalogue(received, c.engine.now)
	c.run()
}

// answer takes the result of a read or a compare-and-swap of the catalogue.
func (c *configuration) answer(a StoreAnswer) {
	now := c.engine.now
	current := recordOf(a.Records)
	switch op := a.Operation.(type) {
	case ReadCatalogue:
		if a.Outcome == Done || a.Outcome == NotFound {
			c.keeper.Record(keeperRecord(current), catalogue.SourceRead, now)
			c.restore(current)
		} else {
			c.keeper.ReadFailed(now)
		}
	case SwapCatalogue:
		c.swapped(op, a, current)
	}
	c.run()
}

func (c *configuration) swapped(op SwapCatalogue, a StoreAnswer, current CatalogueRecord) {
	now := c.engine.now
	switch a.Outcome {
	case Done:
		c.keeper.Written(op.EditID, uint64(a.Revision), now)
	case Conflict, NotFound:
		c.keeper.Conflict(op.EditID, keeperRecord(current), now)
	case Unknown:
		c.keeper.OutcomeUnknown(op.EditID, now)
	default:
		c.keeper.NotWritten(op.EditID, now)
	}
}

func recordOf(records []Record) CatalogueRecord {
	for _, r := range records {
		if v, ok := r.(CatalogueRecord); ok {
			return v
		}
	}
	return CatalogueRecord{}
}

// extendTrust moves the time until which keys are honoured. What this instance
// has heard itself is news for its peers, too: one that is linked to few domains
// has it from those that hear a majority.
func (c *configuration) extendTrust() {
	e := c.engine
	c.heard(e.mirror.confirmed)
	if at, known := e.peers.majorityHeard(); known {
		c.heard(at)
	}
	c.publishTrust()
}

func (c *configuration) heard(at time.Time) {
	c.engine.peers.mesh.Heard(at)
	c.keys.Heard(at, c.engine.now)
}

// newsFromPeer takes the time of the newest news that a peer has.
func (c *configuration) newsFromPeer(at time.Time) {
	c.keys.Heard(at, c.engine.now)
	c.publishTrust()
}

func (c *configuration) publishTrust() {
	c.keys.Tick(c.engine.now)
	c.engine.out.Session(session.KeysTrusted{Until: c.keys.StaleAt()})
}

// revokedByPeer takes revocations that a peer passed on ahead of the catalogue.
func (c *configuration) revokedByPeer(keys []core.KeyID) {
	for _, key := range keys {
		c.keys.Revoke(key)
	}
	c.endKeys()
}

// endKeys ends the sessions of revoked keys and passes the revocations on.
func (c *configuration) endKeys() {
	ended := c.keys.TakeEnded()
	if len(ended) == 0 {
		return
	}
	c.publish(session.KeysRevoked{Keys: ended})
	for _, key := range ended {
		c.engine.peers.mesh.Revoke(key)
	}
	c.engine.peers.spread()
}

// publish gives session a message that must not be lost.
func (c *configuration) publish(in session.Input) {
	c.unpublished = append(c.unpublished, in)
	c.flush()
}

func (c *configuration) flush() {
	for len(c.unpublished) > 0 {
		if !c.engine.out.Session(c.unpublished[0]) {
			c.engine.timers.arm(&c.retry, c.engine.now.Add(publishRetry))
			return
		}
		c.unpublished = c.unpublished[1:]
	}
}
