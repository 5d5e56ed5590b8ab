package session

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// keysRevoked ends the sessions that use one of the keys and refuses new ones.
func (e *Engine) keysRevoked(keys []core.KeyID) {
	for _, a := range e.accounts {
		for _, key := range keys {
			delete(a.keys, key)
		}
	}
	for _, c := range e.callers {
		if slices.Contains(keys, c.key) {
			c.applyCatalogue()
		}
	}
}
