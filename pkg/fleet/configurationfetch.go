package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// configurationFetchInterval is the shortest time between two requests for another
// instance's configuration. Every forwarded request can show that it is newer, and a
// configuration may take a large part of a thin link for that long.
const configurationFetchInterval = 300 * time.Millisecond

// recordSource names where records were read.
type recordSource struct {
	kind string
	// peer is the instance, empty for the store.
	peer session.PeerAddress
}

// Kinds of recordSource.
const (
	sourceStore    = "store"
	sourceFeeder   = "feeder"
	sourceInstance = "instance"
)

// sourceOf returns the source of records that were read from a feeder, or from the store
// if that is empty.
func sourceOf(feeder session.PeerAddress) recordSource {
	if feeder == "" {
		return recordSource{kind: sourceStore}
	}
	return recordSource{kind: sourceFeeder, peer: feeder}
}

// requestConfiguration requests the configuration of an instance that has a newer one. It
// does nothing shortly after another request; later reports repeat it.
func (e *Engine) requestConfiguration(r session.NewerVersion) {
	known := e.configuration != nil && r.Version <= e.configuration.Version
	if known || e.now.Sub(e.configurationRequestedAt) < configurationFetchInterval {
		return
	}
	e.configurationRequestedAt = e.now
	e.out.RequestConfiguration(r.Address)
}

// configurationReceived adopts a newer configuration sent by another instance,
// which may be able to read the store when this one cannot.
func (e *Engine) configurationReceived(c *Configuration) {
	if e.configuration != nil && c.Version <= e.configuration.Version {
		return
	}
	e.changesFrom = recordSource{kind: sourceInstance}
	e.adoptConfiguration(c)
	e.publish()
}

// adoptConfiguration makes c the current configuration unless the current one is at
// least as new.
func (e *Engine) adoptConfiguration(c *Configuration) {
	if c == nil || e.configuration != nil && c.Version <= e.configuration.Version {
		return
	}
	e.configuration = c
	e.logConfiguration()
	e.reportLongTimeLimits(c)
}

// logConfiguration logs the adopted configuration with its source and for how long this
// instance may have missed it.
func (e *Engine) logConfiguration() {
	c := e.configuration
	fields := map[string]any{
		"version": c.Version, "entries": len(c.Entries), "groups": len(c.Groups), "accounts": len(c.Accounts),
		"source": e.changesFrom.kind,
	}
	if e.changesFrom.peer != "" {
		fields["feeder"] = e.changesFrom.peer
	}
	if e.changesFrom.kind != sourceInstance && !e.changesSince.IsZero() {
		fields["unread_ms"] = e.now.Sub(e.changesSince).Milliseconds()
	}
	e.out.Log(LogEvent{Event: "configuration", Message: "configuration adopted", Fields: fields})
}
