package catalogue

import (
	"encoding/base64"
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/xdg-go/scram"
)

// Sizes of the random parts of a key, in bytes, and its SCRAM iterations.
const (
	secretBytes   = 24
	keyIDBytes    = 8
	saltBytes     = 16
	KeyIterations = 4096
)

// GivenKey is a new key. Secret is known to nobody else and is shown once.
type GivenKey struct {
	ID     core.KeyID
	Secret string
}

// GiveKey makes a random key for an account and the edit that stores its
// verifier. It returns an *UnknownAccountError, or the error of the random
// source.
func GiveKey(c *Catalogue, name core.AccountName, random io.Reader) (GivenKey, AddKey, error) {
	account := c.Account(name)
	if account == nil {
		return GivenKey{}, AddKey{}, &UnknownAccountError{Name: string(name)}
	}
	bytes := make([]byte, secretBytes+keyIDBytes+saltBytes)
	if _, err := io.ReadFull(random, bytes); err != nil {
		return GivenKey{}, AddKey{}, eris.Wrap(err, "read random bytes for a key")
	}
	given := GivenKey{
		ID:     core.KeyID(hex.EncodeToString(bytes[secretBytes : secretBytes+keyIDBytes])),
		Secret: base64.RawURLEncoding.EncodeToString(bytes[:secretBytes]),
	}
	salt, iterations := account.Salt, account.Iterations
	if len(salt) == 0 {
		salt, iterations = bytes[secretBytes+keyIDBytes:], KeyIterations
	}
	edit := AddKey{Account: name, Salt: salt, Iterations: iterations}
	key, err := verifier(given, salt, iterations)
	if err != nil {
		return GivenKey{}, AddKey{}, err
	}
	edit.Key = key
	return given, edit, nil
}

// verifier derives what the platform stores of a key. The SCRAM derivation does
// not depend on the user name.
func verifier(given GivenKey, salt []byte, iterations int) (Key, error) {
	client, err := scram.SHA256.NewClient("", given.Secret, "")
	if err != nil {
		return Key{}, eris.New("the key cannot be prepared for SCRAM")
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return Key{}, eris.New("the verifier of the key cannot be derived")
	}
	return Key{ID: given.ID, StoredKey: credentials.StoredKey, ServerKey: credentials.ServerKey}, nil
}
