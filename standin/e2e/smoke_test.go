package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func startFleet(t *testing.T, o options) *fleet {
	t.Helper()
	f, err := newFleet(t.TempDir(), o)
	require.NoError(t, err)
	t.Cleanup(f.close)
	return f
}

// Guards against a harness whose processes do not reach each other through the
// proxy.
func TestFleetStarts(t *testing.T) {
	takeTurn(t)
	o := defaults()
	o.proxied = true
	f := startFleet(t, o)
	s, err := f.status(2)
	require.NoError(t, err)
	require.Len(t, s.Groups, 1)
}
