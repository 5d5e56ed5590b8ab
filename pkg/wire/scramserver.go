package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/xdg-go/scram"
)

// Mechanism is the name of the only SASL mechanism that the proxy supports.
const Mechanism = "SCRAM-SHA-256"

const (
	// fakeIterations is the iteration count sent for an unknown account. It is the
	// PostgreSQL default, so that the server-first message looks like that of a known
	// account.
	fakeIterations = 4096
	// saltSize is the size of a salt in bytes, as in PostgreSQL.
	saltSize = 16
	// nonceSize is the number of random bytes in the server's nonce, as in PostgreSQL.
	nonceSize = 18
)

// ScramServer authenticates callers with SCRAM-SHA-256. An unknown account runs the
// same exchange as a known one, so that a caller cannot find out which accounts exist.
// Its credentials are derived from a random secret of the process, and no proof
// matches them.
type ScramServer struct {
	secret [sha256.Size]byte
}

// NewScramServer returns a server with a new random secret.
func NewScramServer() *ScramServer {
	s := &ScramServer{}
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(s.secret[:])
	return s
}

// ScramServerExchange is the server side of one exchange. It runs one
// conversation for each key that the caller may have.
type ScramServerExchange struct {
	keys          []core.KeyID
	conversations []*scram.ServerConversation
}

// Begin starts an exchange for the keys of account that are not revoked. With a nil
// account, the exchange runs to its end and fails. name is the account name that the
// caller sent.
func (s *ScramServer) Begin(account *catalogue.Account, name core.AccountName) *ScramServerExchange {
	e := &ScramServerExchange{}
	nonce := newNonce()
	factors := s.factors(account, name)
	if account != nil {
		for i := range account.Keys {
			e.addKey(&account.Keys[i], factors, nonce)
		}
	}
	if len(e.keys) == 0 {
		e.addConversation("", s.fakeCredentials(factors, name), nonce)
	}
	return e
}

// factors returns the salt and iteration count of an account, or derived ones for an
// account without its own.
func (s *ScramServer) factors(account *catalogue.Account, name core.AccountName) scram.KeyFactors {
	if account != nil && len(account.Salt) > 0 && account.Iterations > 0 {
		return scram.KeyFactors{Salt: string(account.Salt), Iters: account.Iterations}
	}
	return scram.KeyFactors{Salt: string(s.derive("salt", name)[:saltSize]), Iters: fakeIterations}
}

// fakeCredentials returns credentials that no proof matches. They are the same for
// each attempt with the same name.
func (s *ScramServer) fakeCredentials(factors scram.KeyFactors, name core.AccountName) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: factors,
		StoredKey:  s.derive("stored key", name),
		ServerKey:  s.derive("server key", name),
	}
}

// derive returns an HMAC of the purpose and the name under the process's secret.
func (s *ScramServer) derive(purpose string, name core.AccountName) []byte {
	mac := hmac.New(sha256.New, s.secret[:])
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write([]byte(name))
	return mac.Sum(nil)
}

// addKey adds a conversation for a key, unless it is revoked or its credentials have
// the wrong length.
func (e *ScramServerExchange) addKey(key *catalogue.Key, factors scram.KeyFactors, nonce string) {
	if key.Revoked || len(key.StoredKey) != sha256.Size || len(key.ServerKey) != sha256.Size {
		return
	}
	credentials := scram.StoredCredentials{
		KeyFactors: factors,
		StoredKey:  key.StoredKey,
		ServerKey:  key.ServerKey,
	}
	e.addConversation(key.ID, credentials, nonce)
}

// addConversation adds a conversation with the given credentials. All conversations
// use the same nonce, so that they send the same server-first message.
func (e *ScramServerExchange) addConversation(id core.KeyID, credentials scram.StoredCredentials, nonce string) {
	lookup := func(string) (scram.StoredCredentials, error) { return credentials, nil }
	// NewServer does not return an error in the library version in use.
	server, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return
	}
	server.WithNonceGenerator(func() string { return nonce })
	e.keys = append(e.keys, id)
	e.conversations = append(e.conversations, server.NewConversation())
}

// newNonce returns a random nonce in base64.
func newNonce() string {
	var raw [nonceSize]byte
	_, _ = rand.Read(raw[:])
	return base64.StdEncoding.EncodeToString(raw[:])
}

// First handles the client-first message and returns the server-first message, which
// is the same for every key. It returns an *AuthError for an invalid message.
func (e *ScramServerExchange) First(message string) (string, error) {
	var reply string
	for _, conversation := range e.conversations {
		answer, err := conversation.Step(message)
		if err != nil {
			return "", &AuthError{Reason: "invalid client-first message"}
		}
		reply = answer
	}
	return reply, nil
}

// Final handles the client-final message. It returns the server-final message and
// the ID of the key that the client proved, or an *AuthError when no valid key
// matches. It always tries every key, so that its duration does not reveal which key
// matched.
func (e *ScramServerExchange) Final(message string) (string, core.KeyID, error) {
	reply, accepted := "", -1
	for i, conversation := range e.conversations {
		answer, err := conversation.Step(message)
		if err == nil && conversation.Valid() && e.keys[i] != "" {
			reply, accepted = answer, i
		}
	}
	if accepted < 0 {
		return "", "", &AuthError{Reason: "no valid key matches the proof"}
	}
	return reply, e.keys[accepted], nil
}
