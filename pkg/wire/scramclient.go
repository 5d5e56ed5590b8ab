package wire

import "github.com/xdg-go/scram"

// ScramClient authenticates to targets with SCRAM-SHA-256. It caches the keys that
// are derived from the password.
type ScramClient struct {
	client *scram.Client
}

// NewScramClient returns a client for one user. It returns an *AuthError for a
// user or password that SASLprep forbids.
func NewScramClient(user, password string) (*ScramClient, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return nil, &AuthError{Reason: "user or password is not valid for SASL"}
	}
	return &ScramClient{client: client}, nil
}

// ScramClientExchange is the client side of one SCRAM exchange.
type ScramClientExchange struct {
	conversation *scram.ClientConversation
}

// Begin starts an exchange and returns its client-first message. It returns an
// *AuthError when the exchange cannot be started.
func (c *ScramClient) Begin() (*ScramClientExchange, string, error) {
	e := &ScramClientExchange{conversation: c.client.NewConversation()}
	first, err := e.Step("")
	return e, first, err
}

// Step handles a message of the server and returns the next client message. It
// returns an *AuthError when the server's message is invalid.
func (e *ScramClientExchange) Step(message string) (string, error) {
	reply, err := e.conversation.Step(message)
	if err != nil {
		return "", &AuthError{Reason: "the server's SCRAM message is invalid"}
	}
	return reply, nil
}

// Verified reports whether the server has proved that it knows the password.
func (e *ScramClientExchange) Verified() bool {
	return e.conversation.Valid()
}
