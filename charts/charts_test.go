package charts

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an embedded chart that the interpreter rejects, or whose name
// differs from its file's.
func TestEveryChartIsValid(t *testing.T) {
	names := Names()
	require.Subset(t, names, []string{"caller", "statement", "target"})
	for _, name := range names {
		definition, err := Load(name)
		require.NoError(t, err)
		require.Equal(t, name, definition.Name)
	}
	_, err := Load("unknown")
	require.ErrorAs(t, err, new(*UnknownError))
}
