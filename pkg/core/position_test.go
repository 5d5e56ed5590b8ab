package core

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stale read after a change of primary: a position of an older
// term beyond the start of the newer term must not be compared directly.
func TestCoversAcrossTerms(t *testing.T) {
	history := TermHistory{{Term: 1, Start: 0}, {Term: 2, Start: 100}, {Term: 4, Start: 180}}
	cases := []struct {
		name    string
		term    Term
		applied LSN
		floor   Position
		want    bool
	}{
		{"no floor", 1, 0, Position{}, true},
		{"same term, behind", 2, 149, Position{2, 150}, false},
		{"same term, reached", 2, 150, Position{2, 150}, true},
		{"older member", 1, 500, Position{2, 101}, false},
		{"newer member, before the old position", 2, 89, Position{1, 90}, false},
		{"newer member, past the old position", 2, 90, Position{1, 90}, true},
		{"old position beyond the new term's start", 2, 100, Position{1, 900}, true},
		{"term skipped", 4, 179, Position{3, 200}, false},
		{"term skipped, reached", 4, 180, Position{3, 200}, true},
		{"start of the newer term unknown", 9, 999, Position{5, 10}, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, history.Covers(c.term, c.applied, c.floor), c.name)
	}
}

func FuzzParsePosition(f *testing.F) {
	f.Add("1/2")
	f.Add("/")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParsePosition(text)
		if err != nil {
			return
		}
		again, err := ParsePosition(p.String())
		require.NoError(t, err)
		require.Equal(t, p, again)
	})
}
