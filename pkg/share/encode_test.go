package share

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a decoder that panics, accepts a limit above what is held, or
// accepts a table that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":3,"accounts":["a"],"databases":["d"],"slots":[{"state":"granted","instance":"i",
		"rates":[[0,10,20],[0,10,20,5,5]],"connections":[[3,1,0]]},{"state":"vacant"}]}`))
	f.Add([]byte(`{"slots":[{"state":"granted","rates":[[9,1,1]]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, err := DecodeTable(text)
		if err != nil {
			return
		}
		for i := range table.Slots {
			for _, r := range table.Slots[i].Accounts {
				require.LessOrEqual(t, r.Limit.Rate, r.Held.Rate)
				require.LessOrEqual(t, r.Limit.Burst, r.Held.Burst)
			}
		}
		first, err := table.Encode()
		require.NoError(t, err)
		again, err := DecodeTable(first)
		require.NoError(t, err)
		second, err := again.Encode()
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))
	})
}
