package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// configurationFetchInterval is the shortest time between two requests for another
// instance's configuration. Every forwarded request can show that it is newer, and a
// configuration may take a large part of a thin link for that long.
const configurationFetchInterval = 300 * time.Millisecond

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
