package catalogue

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// Source tells where a catalogue came from.
type Source string

// Sources of a catalogue.
const (
	SourceWatch Source = "watch"
	SourceRead  Source = "read"
	SourcePeer  Source = "peer"
	SourceEdit  Source = "edit"
)

// Record is the catalogue at the platform with the record's revision. Catalogue
// is nil and Revision zero while no catalogue was ever written.
type Record struct {
	Catalogue *Catalogue
	Revision  uint64
}

// Outcome is the result of an edit.
type Outcome string

// Outcomes of an edit. Every edit gets exactly one.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that another edit came first; nothing was changed.
	OutcomeConflict Outcome = "conflict"
	// OutcomeRejected means that the edit breaks a rule.
	OutcomeRejected Outcome = "rejected"
	// OutcomeNotWritten means that the platform did not take the edit.
	OutcomeNotWritten Outcome = "not written"
	// OutcomeUncertain means that the edit may have been accepted.
	OutcomeUncertain Outcome = "uncertain"
)

// Command is what a Keeper asks its caller to do: Write, Read, Adopted or
// Finished.
type Command interface {
	catalogueCommand()
}

// Write asks to compare-and-swap the catalogue record from Revision. The answer
// is given with Written, Conflict, OutcomeUnknown or NotWritten.
type Write struct {
	EditID    string
	Catalogue *Catalogue
	Revision  uint64
}

// Read asks to read the catalogue record. The answer is given with Record or
// ReadFailed.
type Read struct{}

// Adopted publishes the catalogue that is in force from now on.
type Adopted struct {
	Catalogue *Catalogue
	Source    Source
}

// Finished tells the operator the result of an edit.
type Finished struct {
	EditID  string
	Outcome Outcome
	// Version is the version that the edit made, or the one in force.
	Version uint64
	// Changes are the lines of Diff for an accepted edit.
	Changes []string
	Faults  []Fault
}

func (Write) catalogueCommand()    {}
func (Read) catalogueCommand()     {}
func (Adopted) catalogueCommand()  {}
func (Finished) catalogueCommand() {}

// KeeperSettings are the settings of a Keeper.
type KeeperSettings struct {
	// EditTimeout bounds each phase of an edit.
	EditTimeout time.Duration
	// ReadRetry is the delay after a failed read.
	ReadRetry time.Duration
}

// editsWaiting bounds the edits that one instance accepts at a time.
const editsWaiting = 16

// Keeper decides which catalogue is in force and runs the edits of this
// instance, one after the other.
type Keeper struct {
	settings KeeperSettings
	chart    *chart.Table[*pendingEdit]
	events   editEvents
	inForce  *Catalogue
	record   Record
	known    bool
	edits    []*pendingEdit
	commands []Command
	now      time.Time
	reading  bool
	readAt   time.Time
}

// NewKeeper binds the chart "configuration". It returns a *chart.InvalidError
// for a chart that does not fit.
func NewKeeper(d *chart.Definition, s KeeperSettings) (*Keeper, error) {
	table, err := chart.Compile(d, editRegistry(s))
	if err != nil {
		return nil, err
	}
	return &Keeper{settings: s, chart: table, events: resolveEditEvents(table), inForce: &Catalogue{}}, nil
}

// InForce returns the catalogue in force; version 0 before the first.
func (k *Keeper) InForce() *Catalogue {
	return k.inForce
}

// TakeCommands returns the commands since the last call, in order.
func (k *Keeper) TakeCommands() []Command {
	commands := k.commands
	k.commands = nil
	return commands
}

// Next returns when Tick has something to do.
func (k *Keeper) Next() (time.Time, bool) {
	var next time.Time
	if len(k.edits) > 0 {
		next = k.edits[0].deadline
	}
	if !k.readAt.IsZero() && (next.IsZero() || k.readAt.Before(next)) {
		next = k.readAt
	}
	return next, !next.IsZero()
}

// Tick applies timeouts.
func (k *Keeper) Tick(now time.Time) {
	k.now = now
	if !k.readAt.IsZero() && !now.Before(k.readAt) {
		k.readAt = time.Time{}
		k.read()
	}
	for len(k.edits) > 0 && !now.Before(k.edits[0].deadline) {
		k.fire(k.edits[0], k.events.timedOut)
	}
}

// Submit takes an edit of an operator. It returns a *BusyError if too many are
// waiting; the result is given by Finished otherwise. An identity that was
// accepted before is answered at once, so that an operator may repeat an edit.
func (k *Keeper) Submit(editID string, edits []Edit, now time.Time) error {
	k.now = now
	if len(k.edits) >= editsWaiting {
		return &BusyError{}
	}
	e := &pendingEdit{k: k, id: editID, edits: edits, state: k.chart.Initial()}
	e.arm()
	k.edits = append(k.edits, e)
	k.startNext()
	return nil
}

// Record takes the record as read or watched at the platform.
func (k *Keeper) Record(r Record, source Source, now time.Time) {
	k.now = now
	k.noteRecord(r, source)
	if source == SourceRead {
		k.reading = false
		k.fireCurrent(k.events.recordRead)
	}
	k.startNext()
}

// PeerCatalogue takes a catalogue from a peer and reports whether it is now in
// force.
func (k *Keeper) PeerCatalogue(c *Catalogue, now time.Time) bool {
	k.now = now
	return k.adopt(c, SourcePeer)
}

// ReadFailed answers Read.
func (k *Keeper) ReadFailed(now time.Time) {
	k.now = now
	k.reading = false
	k.readAt = now.Add(k.settings.ReadRetry)
	k.fireCurrent(k.events.readFailed)
}

// Written answers Write: the platform holds the catalogue at this revision.
func (k *Keeper) Written(editID string, revision uint64, now time.Time) {
	k.now = now
	e := k.writing(editID)
	if e == nil {
		return
	}
	k.noteRecord(Record{Catalogue: e.next, Revision: revision}, SourceEdit)
	k.fire(e, k.events.written)
}

// Conflict answers Write: the platform holds another record.
func (k *Keeper) Conflict(editID string, current Record, now time.Time) {
	k.now = now
	k.noteRecord(current, SourceRead)
	if e := k.writing(editID); e != nil {
		k.fire(e, k.events.conflict)
	}
}

// OutcomeUnknown answers Write: the response was lost.
func (k *Keeper) OutcomeUnknown(editID string, now time.Time) {
	k.now = now
	if e := k.writing(editID); e != nil {
		e.mayHaveWritten = true
		k.fire(e, k.events.outcomeUnknown)
	}
}

// NotWritten answers Write: the write certainly had no effect.
func (k *Keeper) NotWritten(editID string, now time.Time) {
	k.now = now
	if e := k.writing(editID); e != nil {
		k.fire(e, k.events.notWritten)
	}
}

// noteRecord keeps the newest record. A watch may be behind a read.
func (k *Keeper) noteRecord(r Record, source Source) {
	if r.Catalogue == nil {
		r.Catalogue = &Catalogue{}
	}
	if k.known && r.Revision < k.record.Revision {
		return
	}
	k.known = true
	k.record = r
	k.adopt(r.Catalogue, source)
}

// adopt puts a greater version in force. An equal or smaller version never
// replaces it, whatever its source.
func (k *Keeper) adopt(c *Catalogue, source Source) bool {
	if c.Version <= k.inForce.Version {
		return false
	}
	k.inForce = c
	k.commands = append(k.commands, Adopted{Catalogue: c, Source: source})
	return true
}

func (k *Keeper) read() {
	if k.reading {
		return
	}
	k.reading = true
	k.commands = append(k.commands, Read{})
}

func (k *Keeper) writing(editID string) *pendingEdit {
	if len(k.edits) == 0 || k.edits[0].id != editID {
		return nil
	}
	return k.edits[0]
}

func (k *Keeper) fireCurrent(event chart.Event) {
	if len(k.edits) > 0 {
		k.fire(k.edits[0], event)
	}
}

// startNext starts the first waiting edit once the record is known and at least
// as new as the catalogue in force.
func (k *Keeper) startNext() {
	if len(k.edits) == 0 {
		return
	}
	if !k.known || k.record.Catalogue.Version < k.inForce.Version {
		k.read()
		return
	}
	k.fire(k.edits[0], k.events.started)
}

// fire applies an event, renews the deadline when the state changed, and goes
// on to the next edit when this one has ended.
func (k *Keeper) fire(e *pendingEdit, event chart.Event) {
	before := e.state
	k.chart.Fire(e, &e.state, event)
	if k.chart.Final(e.state) {
		k.edits = slices.DeleteFunc(k.edits, func(o *pendingEdit) bool { return o == e })
		k.startNext()
		return
	}
	if e.state != before {
		e.arm()
	}
}
