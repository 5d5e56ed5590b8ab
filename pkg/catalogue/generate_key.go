package catalogue

import (
	"encoding/base64"
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/xdg-go/scram"
)

// Sizes of the random parts of a key in bytes.
const (
	secretBytes = 24
	keyIDBytes  = 8
	saltBytes   = 16
	// KeyIterations is the number of SCRAM iterations of a new account's keys.
	KeyIterations = 4096
)

// GeneratedKey is a new key. Secret is not stored anywhere, so that it can be
// shown only once.
type GeneratedKey struct {
	ID     core.KeyID
	Secret string
}

// GenerateKey generates a random key for an account and returns it with the edit that
// stores its verifier. It returns an *UnknownAccountError if the account does not
// exist, or the error of the random source.
func GenerateKey(c *Catalogue, name core.AccountName, random io.Reader) (GeneratedKey, AddKey, error) {
	account := c.Account(name)
	if account == nil {
		return GeneratedKey{}, AddKey{}, &UnknownAccountError{Name: string(name)}
	}
	randomBytes := make([]byte, secretBytes+keyIDBytes+saltBytes)
	if _, err := io.ReadFull(random, randomBytes); err != nil {
		return GeneratedKey{}, AddKey{}, eris.Wrap(err, "read random bytes for a key")
	}
	generated := GeneratedKey{
		ID:     core.KeyID(hex.EncodeToString(randomBytes[secretBytes : secretBytes+keyIDBytes])),
		Secret: base64.RawURLEncoding.EncodeToString(randomBytes[:secretBytes]),
	}
	salt, iterations := account.Salt, account.Iterations
	if len(salt) == 0 {
		salt, iterations = randomBytes[secretBytes+keyIDBytes:], KeyIterations
	}
	edit := AddKey{Account: name, Salt: salt, Iterations: iterations}
	key, err := deriveVerifier(generated, salt, iterations)
	if err != nil {
		return GeneratedKey{}, AddKey{}, err
	}
	edit.Key = key
	return generated, edit, nil
}

// deriveVerifier returns the verifier of a key, which is stored at the platform.
// The SCRAM derivation does not depend on the user name.
func deriveVerifier(generated GeneratedKey, salt []byte, iterations int) (Key, error) {
	client, err := scram.SHA256.NewClient("", generated.Secret, "")
	if err != nil {
		return Key{}, eris.New("the key cannot be prepared for SCRAM")
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return Key{}, eris.New("the verifier of the key cannot be derived")
	}
	return Key{ID: generated.ID, StoredKey: credentials.StoredKey, ServerKey: credentials.ServerKey}, nil
}
