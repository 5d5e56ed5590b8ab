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
	// readRetryDelay is the delay after a failed read of the catalogue.
	readRetryDelay = 500 * time.Millisecond
	// publishRetryDelay is the delay before an input that did not fit into the
	// full session ring is offered again.
	publishRetryDelay = 10 * time.Millisecond
	// keyValidityPeriod is the period in which the validity of the keys is
	// extended.
	keyValidityPeriod = time.Second
	// maxHistoryItems bounds the list of adopted catalogue versions.
	maxHistoryItems = 50
)

// configuration manages the current catalogue, the outstanding edits and the
// client keys that are accepted.
type configuration struct {
	engine  *Engine
	chart   *chart.Definition
	manager *catalogue.Manager
	keys    *catalogue.KeyRing
	// replies holds, by edit identity, the channels on which operators wait.
	replies      map[string][]chan<- OperatorResponse
	managerTimer timer
	// pendingInputs are inputs that did not fit into the full session ring, in
	// order.
	pendingInputs []session.Input
	flushTimer    timer
	previous      *catalogue.Catalogue
	history       []HistoryItem
	// rolledBack is set when the platform's store has returned to an older state,
	// until all records were read again.
	rolledBack bool
}

// newConfiguration compiles the charts "configuration" and "key".
func newConfiguration(e *Engine, configurationChart, keyChart *chart.Definition) (*configuration, error) {
	manager, err := newManager(configurationChart)
	if err != nil {
		return nil, err
	}
	ring, err := catalogue.NewKeyRing(keyChart, e.config.KeyStaleness, time.Time{})
	if err != nil {
		return nil, err
	}
	c := &configuration{
		engine: e, chart: configurationChart, manager: manager, keys: ring,
		replies: map[string][]chan<- OperatorResponse{}, previous: &catalogue.Catalogue{},
	}
	c.managerTimer.Value = c.tick
	c.flushTimer.Value = c.flush
	return c, nil
}

func (c *configuration) start() {
	c.engine.every(keyValidityPeriod, c.extendKeyValidity)
}

// current returns the current catalogue and reports whether there is one.
func (c *configuration) current() (*catalogue.Catalogue, bool) {
	current := c.manager.Current()
	return current, current.Version > 0
}

// tick handles the deadline of the catalogue manager.
func (c *configuration) tick() {
	c.manager.Tick(c.engine.now)
	c.executeCommands()
}

// executeCommands executes the commands of the catalogue manager and arms the
// timer of its next deadline.
func (c *configuration) executeCommands() {
	for commands := c.manager.TakeCommands(); len(commands) > 0; commands = c.manager.TakeCommands() {
		for _, command := range commands {
			c.execute(command)
		}
	}
	if at, armed := c.manager.Next(); armed {
		c.engine.timers.arm(&c.managerTimer, at)
		return
	}
	c.engine.timers.disarm(&c.managerTimer)
}

func (c *configuration) execute(command catalogue.Command) {
	switch v := command.(type) {
	case catalogue.Write:
		c.engine.callPlatform(SwapCatalogue{EditID: v.EditID, Catalogue: v.Catalogue, Revision: Revision(v.Revision)})
	case catalogue.Read:
		c.engine.callPlatform(ReadCatalogue{})
	case catalogue.Adopted:
		c.catalogueAdopted(v)
	case catalogue.Finished:
		c.editFinished(v)
	}
}

// catalogueAdopted applies a new current catalogue to the groups, the session
// duty, the keys and the shares, and sends its version to the peers.
func (c *configuration) catalogueAdopted(a catalogue.Adopted) {
	e := c.engine
	changes := catalogue.Diff(c.previous, a.Catalogue)
	c.previous = a.Catalogue
	c.addHistory(a.Catalogue, changes)
	e.log("catalogue_in_force", "the instance now uses this catalogue version", map[string]any{
		"version": a.Catalogue.Version, "edit_id": a.Catalogue.EditID, "source": a.Source,
	})
	e.adoptGroups(a.Catalogue)
	e.out.PublishCatalogue(a.Catalogue)
	c.publish(session.CatalogueUpdate{Catalogue: a.Catalogue})
	c.keys.Adopt(a.Catalogue)
	c.endRevokedKeys()
	e.peers.sendUrgent()
	e.shares.publish(e)
}

// addHistory records an adopted version with its changes.
func (c *configuration) addHistory(adopted *catalogue.Catalogue, changes []string) {
	item := HistoryItem{Version: adopted.Version, EditID: adopted.EditID, Adopted: c.engine.now, Changes: changes}
	c.history = append([]HistoryItem{item}, c.history...)
	if len(c.history) > maxHistoryItems {
		c.history = c.history[:maxHistoryItems]
	}
}

// editFinished replies to the operators that submitted the edit.
func (c *configuration) editFinished(f catalogue.Finished) {
	response := OperatorResponse{}
	switch f.Outcome {
	case catalogue.OutcomeAccepted:
		response.Version = f.Version
		response.Changes = f.Changes
	case catalogue.OutcomeRejected:
		response.Err = &catalogue.CheckError{Violations: f.Violations}
	default:
		response.Err = &EditError{Outcome: f.Outcome, Version: f.Version}
	}
	for _, reply := range c.replies[f.EditID] {
		reply <- response
	}
	delete(c.replies, f.EditID)
}

// EditError reports an edit that was not accepted, or whose outcome is not known.
type EditError struct {
	Outcome catalogue.Outcome
	// Version is the current version of the catalogue.
	Version uint64
}

func (e *EditError) Error() string {
	return "edit: " + string(e.Outcome)
}

// submitEdits starts an edit. If an edit with the same identity is outstanding,
// the request only waits for its outcome.
func (c *configuration) submitEdits(r ApplyEdits, reply chan<- OperatorResponse) {
	waiting := c.replies[r.Identity]
	c.replies[r.Identity] = append(waiting, reply)
	if len(waiting) > 0 {
		return
	}
	if err := c.manager.Submit(r.Identity, r.Edits, c.engine.now); err != nil {
		delete(c.replies, r.Identity)
		reply <- OperatorResponse{Err: err}
		return
	}
	c.executeCommands()
}

// recordReceived handles the catalogue record of a watch response.
func (c *configuration) recordReceived(r CatalogueRecord) {
	c.manager.UpdateRecord(managerRecord(r), catalogue.SourceWatch, c.engine.now)
	c.executeCommands()
}

func managerRecord(r CatalogueRecord) catalogue.Record {
	return catalogue.Record{Catalogue: r.Catalogue, Revision: uint64(r.Revision)}
}

// catalogueFromPeer handles a catalogue that a peer sent.
func (c *configuration) catalogueFromPeer(received *catalogue.Catalogue) {
	c.manager.AdoptFromPeer(received, c.engine.now)
	c.executeCommands()
}

// callCompleted handles the response to a read or a compare-and-swap of the
// catalogue.
func (c *configuration) callCompleted(response StoreResponse) {
	now := c.engine.now
	current := catalogueRecord(response.Records)
	switch op := response.Operation.(type) {
	case ReadCatalogue:
		if response.Outcome == Done || response.Outcome == NotFound {
			c.manager.UpdateRecord(managerRecord(current), catalogue.SourceRead, now)
			c.restoreCatalogue(current)
		} else {
			c.manager.ReadFailed(now)
		}
	case SwapCatalogue:
		c.swapCompleted(op, response, current)
	}
	c.executeCommands()
}

// swapCompleted reports the outcome of a compare-and-swap to the catalogue
// manager.
func (c *configuration) swapCompleted(op SwapCatalogue, response StoreResponse, current CatalogueRecord) {
	now := c.engine.now
	switch response.Outcome {
	case Done:
		c.manager.Written(op.EditID, uint64(response.Revision), now)
	case Conflict, NotFound:
		c.manager.Conflict(op.EditID, managerRecord(current), now)
	case Unknown:
		c.manager.OutcomeUnknown(op.EditID, now)
	default:
		c.manager.NotWritten(op.EditID, now)
	}
}

// catalogueRecord returns the catalogue's record, or a zero one if there is none
// among the records.
func catalogueRecord(records []Record) CatalogueRecord {
	for _, r := range records {
		if v, ok := r.(CatalogueRecord); ok {
			return v
		}
	}
	return CatalogueRecord{}
}

// extendKeyValidity extends the time until which keys are accepted. Contact of
// this instance with the platform or with a majority of the domains also counts
// for its peers: an instance that is linked to few domains relies on peers that
// have contact with a majority.
func (c *configuration) extendKeyValidity() {
	e := c.engine
	c.recordContact(e.cache.confirmedAt)
	if at, known := e.peers.majorityContact(); known {
		c.recordContact(at)
	}
	c.publishKeyValidity()
}

// recordContact records that the platform, or a majority of the domains, was in
// contact with this instance at the given time.
func (c *configuration) recordContact(at time.Time) {
	c.engine.peers.mesh.RecordContact(at)
	c.keys.PlatformContacted(at, c.engine.now)
}

// contactFromPeer handles the time of the last contact that a peer reports.
func (c *configuration) contactFromPeer(at time.Time) {
	c.keys.PlatformContacted(at, c.engine.now)
	c.publishKeyValidity()
}

// publishKeyValidity sends the session duty the time until which keys are valid.
func (c *configuration) publishKeyValidity() {
	c.keys.Tick(c.engine.now)
	c.engine.out.SendSession(session.KeysValidUntil{Time: c.keys.StaleAt()})
}

// keysRevokedByPeer handles revocations that a peer forwarded before the
// catalogue that contains them has arrived.
func (c *configuration) keysRevokedByPeer(keys []core.KeyID) {
	for _, key := range keys {
		c.keys.Revoke(key)
	}
	c.endRevokedKeys()
}

// endRevokedKeys ends the sessions of revoked keys and forwards the revocations
// to the peers.
func (c *configuration) endRevokedKeys() {
	ended := c.keys.TakeEndedKeys()
	if len(ended) == 0 {
		return
	}
	c.publish(session.KeysRevoked{Keys: ended})
	for _, key := range ended {
		c.engine.peers.mesh.Revoke(key)
	}
	c.engine.peers.sendUrgent()
}

// publish queues an input of the session duty that must not be lost.
func (c *configuration) publish(in session.Input) {
	c.pendingInputs = append(c.pendingInputs, in)
	c.flush()
}

// flush sends the queued inputs. If the session ring is full, it is retried after
// publishRetryDelay.
func (c *configuration) flush() {
	for len(c.pendingInputs) > 0 {
		if !c.engine.out.SendSession(c.pendingInputs[0]) {
			c.engine.timers.arm(&c.flushTimer, c.engine.now.Add(publishRetryDelay))
			return
		}
		c.pendingInputs = c.pendingInputs[1:]
	}
}
