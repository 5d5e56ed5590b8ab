package catalogue

import (
	"crypto/rand"
	"strings"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
)

func sampleCatalogue(t testing.TB) *Catalogue {
	edits, err := DecodeEdits([]byte(`[
		{"op":"put_account","args":{"name":"hansen","weight":2,"rate":40,"burst":20}},
		{"op":"put_database","args":{"name":"jylland","connections":35,"members":[
			{"id":"j1","address":"127.0.0.1:5001","status_address":"127.0.0.1:6001","domain":"jylland","slots":2}]}},
		{"op":"put_entry","args":{"name":"hazards","owner":"roads","account":"hansen","database":"jylland",
			"class":"urgent","deadline_ms":2000}}]`))
	require.NoError(t, err)
	c, err := Apply(&Catalogue{}, "e1", edits...)
	require.NoError(t, err)
	return c
}

// Guards against an edit that is applied in part or that does not report all of
// its violations.
func TestApplyReportsAllFaultsAndChangesNothing(t *testing.T) {
	c := sampleCatalogue(t)
	before, err := c.Encode()
	require.NoError(t, err)
	_, err = Apply(c, "e2",
		PutAccount{Name: "Big Name", Weight: 0, Rate: -1, Burst: 0},
		RemoveAccount{Name: "hansen"},
		RemoveDatabase{Name: "jylland"},
		RevokeKey{Account: "nobody", ID: "k"},
		PutEntry{Entry{Name: "x", Owner: "o", Account: "hansen", Database: "jylland", Class: "slow", MaxAgeMillis: -1}},
	)
	var invalid *CheckError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Violations, 11, "%v", err)
	after, err := c.Encode()
	require.NoError(t, err)
	require.Equal(t, string(before), string(after))
}

// Guards against a generated key that does not authenticate, a second key that
// needs another salt than the first one, and a secret in the stored catalogue or
// in the lines shown to operators.
func TestGivenKeysAuthenticateAndStaySecret(t *testing.T) {
	c := sampleCatalogue(t)
	from := c
	for _, id := range []string{"e2", "e3"} {
		generated, edit, err := GenerateKey(c, "hansen", rand.Reader)
		require.NoError(t, err)
		c, err = Apply(c, id, edit)
		require.NoError(t, err)
		authenticate(t, c.Account("hansen"), generated)
		text, err := c.Encode()
		require.NoError(t, err)
		require.NotContains(t, string(text), generated.Secret)
		require.NotContains(t, strings.Join(Diff(from, c), "\n"), generated.Secret)
	}
	require.Len(t, Diff(from, c), 2)
	_, _, err := GenerateKey(c, "nobody", rand.Reader)
	var unknown *UnknownAccountError
	require.ErrorAs(t, err, &unknown)
}

func authenticate(t *testing.T, a *Account, generated GeneratedKey) {
	key := a.Key(generated.ID)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(a.Salt), Iters: a.Iterations},
			StoredKey:  key.StoredKey,
			ServerKey:  key.ServerKey,
		}, nil
	})
	require.NoError(t, err)
	client, err := scram.SHA256.NewClient("any", generated.Secret, "")
	require.NoError(t, err)
	from, to := client.NewConversation(), server.NewConversation()
	message := ""
	for range 2 {
		message, err = from.Step(message)
		require.NoError(t, err)
		message, err = to.Step(message)
		require.NoError(t, err)
	}
	require.True(t, to.Valid())
}

// Guards against a revoked key that stays usable: when the revocation arrives
// before the catalogue, when an older catalogue follows it, and when the last
// contact with the platform is older than the staleness bound.
func TestKeyRingEndsRevokedAndStaleKeys(t *testing.T) {
	now := time.Unix(0, 0)
	ring, err := NewKeyRing(loadChart(t, "key"), DefaultKeyStaleness, now)
	require.NoError(t, err)
	with := func(keys ...Key) *Catalogue { return &Catalogue{Accounts: []Account{{Name: "hansen", Keys: keys}}} }
	ring.Revoke("k2")
	ring.Adopt(with(Key{ID: "k1"}, Key{ID: "k2"}, Key{ID: "k3"}))
	require.True(t, ring.Usable("k1"))
	require.False(t, ring.Usable("k2"))
	ring.Adopt(with(Key{ID: "k1"}, Key{ID: "k2"}, Key{ID: "k3"}))
	require.False(t, ring.Usable("k2"))
	ring.Tick(now.Add(DefaultKeyStaleness - time.Second))
	require.True(t, ring.Usable("k1"))
	now = now.Add(DefaultKeyStaleness)
	ring.Tick(now)
	require.False(t, ring.Usable("k1"))
	ring.PlatformContacted(now.Add(-DefaultKeyStaleness), now)
	require.False(t, ring.Usable("k1"), "contact as old as the staleness bound")
	ring.PlatformContacted(now, now)
	require.True(t, ring.Usable("k1"))
	require.False(t, ring.Usable("k2"))
	ring.Adopt(with(Key{ID: "k1", Revoked: true}, Key{ID: "k2", Revoked: true}))
	require.False(t, ring.Usable("k1"))
	require.Equal(t, []core.KeyID{"k2", "k1", "k3"}, ring.TakeEndedKeys())
	require.Empty(t, ring.TakeEndedKeys())
}

// Guards against a decoder that panics, or that accepts a catalogue which differs
// after it was encoded and decoded again.
func FuzzDecode(f *testing.F) {
	text, err := sampleCatalogue(f).Encode()
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte(`{"version":1,"accounts":[{"name":"a","weight":1,"rate":1e400}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Decode(text)
		if err != nil {
			return
		}
		again, err := c.Encode()
		require.NoError(t, err)
		back, err := Decode(again)
		require.NoError(t, err)
		require.Empty(t, Diff(c, back))
	})
}
