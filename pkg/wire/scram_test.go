package wire

import (
	"strings"
	"testing"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
)

const testSalt = "0123456789abcdef"

// catalogueKey returns a catalogue key with the credentials of a secret.
func catalogueKey(t *testing.T, id core.KeyID, key string) catalogue.Key {
	client, err := scram.SHA256.NewClient("", key, "")
	require.NoError(t, err)
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: testSalt, Iters: fakeIterations})
	require.NoError(t, err)
	return catalogue.Key{ID: id, StoredKey: credentials.StoredKey, ServerKey: credentials.ServerKey}
}

func testAccount(keys ...catalogue.Key) *catalogue.Account {
	return &catalogue.Account{Name: "vejdirektoratet", Salt: []byte(testSalt), Iterations: fakeIterations, Keys: keys}
}

// prove runs a complete exchange and returns the ID of the key that was proved.
func prove(t *testing.T, server *ScramServer, account *catalogue.Account, key string) (core.KeyID, error) {
	client, err := NewScramClient("", key)
	require.NoError(t, err)
	clientExchange, first, err := client.Begin()
	require.NoError(t, err)
	exchange := server.Begin(account, "vejdirektoratet")
	challenge, err := exchange.First(first)
	require.NoError(t, err)
	final, err := clientExchange.Step(challenge)
	require.NoError(t, err)
	reply, id, err := exchange.Final(final)
	if err != nil {
		return "", err
	}
	_, err = clientExchange.Step(reply)
	require.NoError(t, err)
	require.True(t, clientExchange.Verified())
	return id, nil
}

// Guards against a key rotation during which only one of several valid keys works, and
// against accepting a revoked or wrong key.
func TestScramIdentifiesTheLiveKey(t *testing.T) {
	server := NewScramServer()
	revoked := catalogueKey(t, "k3", "third")
	revoked.Revoked = true
	account := testAccount(catalogueKey(t, "k1", "first"), catalogueKey(t, "k2", "second"), revoked)
	cases := []struct {
		key  string
		want core.KeyID
	}{{"first", "k1"}, {"second", "k2"}, {"third", ""}, {"fourth", ""}}
	for _, c := range cases {
		id, err := prove(t, server, account, c.key)
		require.Equal(t, c.want, id, c.key)
		if c.want == "" {
			var auth *AuthError
			require.ErrorAs(t, err, &auth, c.key)
			require.NotContains(t, err.Error(), c.key)
		}
	}
}

// Guards against revealing which accounts exist: the challenge of an unknown account
// must have the same form as that of a known one, and the same salt at each attempt.
func TestScramHidesUnknownAccounts(t *testing.T) {
	server := NewScramServer()
	known := testAccount(catalogueKey(t, "k1", "first"))
	salt := func(account *catalogue.Account, name core.AccountName) string {
		challenge, err := server.Begin(account, name).First("n,,n=,r=abcdef")
		require.NoError(t, err)
		fields := strings.Split(challenge, ",")
		require.Len(t, fields, 3)
		return fields[1] + "," + fields[2]
	}
	require.Equal(t, salt(nil, "a"), salt(nil, "a"))
	require.NotEqual(t, salt(nil, "a"), salt(nil, "b"))
	require.Len(t, salt(nil, "a"), len(salt(known, "vejdirektoratet")))
	_, err := prove(t, server, nil, "first")
	require.Error(t, err)
	_, err = prove(t, server, testAccount(), "first")
	require.Error(t, err)
}

// FuzzScram guards against panics on SCRAM messages from the network.
func FuzzScram(f *testing.F) {
	f.Add("n,,n=,r=abc", "c=biws,r=abc,p=AAAA")
	server := NewScramServer()
	f.Fuzz(func(t *testing.T, first, final string) {
		exchange := server.Begin(nil, "x")
		if _, err := exchange.First(first); err != nil {
			return
		}
		_, id, err := exchange.Final(final)
		require.Error(t, err)
		require.Empty(t, id)
	})
}
