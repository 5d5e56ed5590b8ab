package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/admin"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
)

const (
	// requestBound is longer than the instance's own bound, so that its answer
	// about an uncertain outcome is seen.
	requestBound = 15 * time.Second
	// identityBytes is the length of the identity of an edit.
	identityBytes = 16
	// exitUncertain tells that an edit may or may not have taken effect.
	exitUncertain subcommands.ExitStatus = 3
)

// errUncertain reports an edit whose outcome is not known.
var errUncertain = eris.New("outcome uncertain")

// errRefused reports a request that had no effect.
var errRefused = eris.New("request refused")

// target holds the flags that every command against an instance has.
type target struct {
	address string
	keyFile string
	output  string
}

func (t *target) SetFlags(f *flag.FlagSet) {
	f.StringVar(&t.address, "address", envOr("SASSAFRASSHUNT_ADMIN", "127.0.0.1:6434"), "administration address of an instance, IP:port")
	f.StringVar(&t.keyFile, "operator-key-file", os.Getenv("SASSAFRASSHUNT_OPERATOR_KEY_FILE"), "file with the operators' key")
	f.StringVar(&t.output, "output", "text", "text or json")
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// call sends a request and decodes the answer into result.
func (t *target) call(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestBound)
	defer cancel()
	request, err := t.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	return exchange(request, result)
}

// fetch reads a page that needs no operator key.
func fetch(ctx context.Context, url string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestBound)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(errRefused, err.Error())
	}
	return exchange(request, result)
}

func exchange(request *http.Request, result any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return transportError(request.Method, err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, decoder)
	}
	if err := decoder.Decode(result); err != nil {
		return transportError(request.Method, err)
	}
	return nil
}

// transportError tells a request that certainly had no effect (it reads, or no
// connection was made) from one whose outcome is not known.
func transportError(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(errRefused, err.Error())
	}
	return eris.Wrap(errUncertain, err.Error())
}

func (t *target) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(errRefused, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.address+path, bytes.NewReader(text))
	if err != nil {
		return nil, eris.Wrap(errRefused, err.Error())
	}
	key, err := os.ReadFile(t.keyFile)
	if err != nil {
		return nil, eris.Wrap(errRefused, "operator key: "+err.Error())
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	return request, nil
}

func refusal(status int, decoder *json.Decoder) error {
	var e admin.Error
	if err := decoder.Decode(&e); err != nil {
		e.Message = http.StatusText(status)
	}
	message := strings.Join(append([]string{e.Message}, e.Faults...), "\n  ")
	if status == http.StatusGatewayTimeout {
		return eris.Wrap(errUncertain, message)
	}
	return eris.Wrap(errRefused, message)
}

// apply sends edits and says when they are in force on every instance.
func (t *target) apply(ctx context.Context, edits ...admin.Edit) subcommands.ExitStatus {
	identity, err := newIdentity()
	if err != nil {
		return exit(err)
	}
	var accepted admin.Accepted
	list, err := json.Marshal(edits)
	if err != nil {
		return exit(eris.Wrap(errRefused, err.Error()))
	}
	body := admin.EditsRequest{Identity: identity, Edits: list}
	if err := t.call(ctx, http.MethodPost, "/v1/catalogue/edits", body, &accepted); err != nil {
		return exit(err)
	}
	return t.print(accepted, func() {
		for _, line := range accepted.Changes {
			fmt.Println(line)
		}
		fmt.Printf("version %d is accepted and in force on %s; every instance follows within 4 s\n", accepted.Version, t.address)
	})
}

func newIdentity() (string, error) {
	var random [identityBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", eris.Wrap(errRefused, err.Error())
	}
	return hex.EncodeToString(random[:]), nil
}

func (t *target) catalogue(ctx context.Context) (*catalogue.Catalogue, error) {
	var c *catalogue.Catalogue
	err := t.call(ctx, http.MethodGet, "/v1/catalogue", nil, &c)
	if err == nil && c == nil {
		c = &catalogue.Catalogue{}
	}
	return c, err
}

// print writes value as JSON, or calls text.
func (t *target) print(value any, text func()) subcommands.ExitStatus {
	if t.output != "json" {
		text()
		return subcommands.ExitSuccess
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return exit(err)
	}
	return subcommands.ExitSuccess
}

func exit(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errUncertain) {
		return exitUncertain
	}
	return subcommands.ExitFailure
}
