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

// Mechanism is the only SASL mechanism of the proxy.
const Mechanism = "SCRAM-SHA-256"

const (
	// fakeIterations is the PostgreSQL default, so that the salt message of
	// an unknown account looks like that of a known one.
	fakeIterations = 4096
	// saltSize is the salt size in bytes that PostgreSQL uses.
	saltSize = 16
	// nonceSize is the number of random bytes of the server's nonce, as in PostgreSQL.
	nonceSize = 18
)

// ScramServer starts the server side of SCRAM-SHA-256 exchanges. Unknown
// accounts run the same exchange as known ones, with a verifier derived from
// a secret of the process that no proof matches.
type ScramServer struct {
	secret [sha256.Size]byte
}

// NewScramServer returns a server with a fresh secret.
func NewScramServer() *ScramServer {
	s := &ScramServer{}
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(s.secret[:])
	return s
}

// ScramExchange is one attempt of a caller to prove a key.
type ScramExchange struct {
	keys          []core.KeyID
	conversations []*scram.ServerConversation
}

// Begin starts an exchange for the live keys of account. account may be nil:
// the exchange then runs to its end and fails. name is what the caller gave.
func (s *ScramServer) Begin(account *catalogue.Account, name core.AccountName) *ScramExchange {
	e := &ScramExchange{}
	nonce := newNonce()
	factors := s.factors(account, name)
	if account != nil {
		for i := range account.Keys {
			e.addKey(&account.Keys[i], factors, nonce)
		}
	}
	if len(e.keys) == 0 {
		e.add("", s.fakeCredentials(factors, name), nonce)
	}
	return e
}

func (s *ScramServer) factors(account *catalogue.Account, name core.AccountName) scram.KeyFactors {
	if account != nil && len(account.Salt) > 0 && account.Iterations > 0 {
		return scram.KeyFactors{Salt: string(account.Salt), Iters: account.Iterations}
	}
	return scram.KeyFactors{Salt: string(s.derive("salt", name)[:saltSize]), Iters: fakeIterations}
}

func (s *ScramServer) fakeCredentials(factors scram.KeyFactors, name core.AccountName) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: factors,
		StoredKey:  s.derive("stored key", name),
		ServerKey:  s.derive("server key", name),
	}
}

func (s *ScramServer) derive(purpose string, name core.AccountName) []byte {
	mac := hmac.New(sha256.New, s.secret[:])
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write([]byte(name))
	return mac.Sum(nil)
}

func (e *ScramExchange) addKey(key *catalogue.Key, factors scram.KeyFactors, nonce string) {
	if key.Revoked || len(key.StoredKey) != sha256.Size || len(key.ServerKey) != sha256.Size {
		return
	}
	credentials := scram.StoredCredentials{
		KeyFactors: factors,
		StoredKey:  key.StoredKey,
		ServerKey:  key.ServerKey,
	}
	e.add(key.ID, credentials, nonce)
}

func (e *ScramExchange) add(id core.KeyID, credentials scram.StoredCredentials, nonce string) {
	lookup := func(string) (scram.StoredCredentials, error) { return credentials, nil }
	// NewServer fails for no input in the supported version.
	server, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return
	}
	server.WithNonceGenerator(func() string { return nonce })
	e.keys = append(e.keys, id)
	e.conversations = append(e.conversations, server.NewConversation())
}

func newNonce() string {
	var raw [nonceSize]byte
	_, _ = rand.Read(raw[:])
	return base64.StdEncoding.EncodeToString(raw[:])
}

// First takes the client-first message and returns the server-first message,
// which is the same for every key. It returns an *AuthError for an invalid message.
func (e *ScramExchange) First(message string) (string, error) {
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

// Final takes the client-final message. It returns the server-final message
// and the key that the client proved, or an *AuthError when no live key
// matches. Every key is tried, so that the time does not tell which one failed.
func (e *ScramExchange) Final(message string) (string, core.KeyID, error) {
	reply, accepted := "", -1
	for i, conversation := range e.conversations {
		answer, err := conversation.Step(message)
		if err == nil && conversation.Valid() && e.keys[i] != "" {
			reply, accepted = answer, i
		}
	}
	if accepted < 0 {
		return "", "", &AuthError{Reason: "no live key matches the proof"}
	}
	return reply, e.keys[accepted], nil
}
