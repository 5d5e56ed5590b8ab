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
	// requestTimeout is longer than the instance's own timeout, so that its answer
	// about an uncertain outcome arrives.
	requestTimeout = 15 * time.Second
	// editIDBytes is the length in bytes of the random id of an edit.
	editIDBytes = 16
	// exitUncertain means that an edit may or may not have taken effect.
	exitUncertain subcommands.ExitStatus = 3
)

// errUncertain reports an edit whose outcome is unknown.
var errUncertain = eris.New("outcome uncertain")

// errRefused reports a request that had no effect.
var errRefused = eris.New("request refused")

// adminClient calls the administration API of one instance. Its fields are the
// flags that all commands with such calls share.
type adminClient struct {
	address string
	keyFile string
	output  string
}

func (c *adminClient) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", envOr("SASSAFRASSHUNT_ADMIN", "127.0.0.1:6434"), "administration address of an instance, IP:port")
	f.StringVar(&c.keyFile, "operator-key-file", os.Getenv("SASSAFRASSHUNT_OPERATOR_KEY_FILE"), "file with the operators' key")
	f.StringVar(&c.output, "output", "text", "text or json")
}

// envOr returns the environment variable's value, or fallback if it is not set.
func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// call sends a request with the operator key and decodes the response into result.
func (c *adminClient) call(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	return doJSON(request, result)
}

// fetchJSON reads a page that needs no operator key.
func fetchJSON(ctx context.Context, url string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(errRefused, err.Error())
	}
	return doJSON(request, result)
}

// doJSON sends the request and decodes the response into result. It returns
// errRefused or errUncertain, wrapped.
func doJSON(request *http.Request, result any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return transportError(request.Method, err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		return refusalError(response.StatusCode, decoder)
	}
	if err := decoder.Decode(result); err != nil {
		return transportError(request.Method, err)
	}
	return nil
}

// transportError returns errRefused, wrapped, for a request that certainly had no
// effect (a read, or no connection was established), and errUncertain otherwise.
func transportError(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(errRefused, err.Error())
	}
	return eris.Wrap(errUncertain, err.Error())
}

func (c *adminClient) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(errRefused, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(text))
	if err != nil {
		return nil, eris.Wrap(errRefused, err.Error())
	}
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return nil, eris.Wrap(errRefused, "operator key: "+err.Error())
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	return request, nil
}

// refusalError decodes an error response.
func refusalError(status int, decoder *json.Decoder) error {
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

// applyEdits sends edits to the instance and prints the resulting changes.
func (c *adminClient) applyEdits(ctx context.Context, edits ...admin.Edit) subcommands.ExitStatus {
	identity, err := newEditID()
	if err != nil {
		return fail(err)
	}
	var result admin.EditResult
	list, err := json.Marshal(edits)
	if err != nil {
		return fail(eris.Wrap(errRefused, err.Error()))
	}
	body := admin.EditsRequest{Identity: identity, Edits: list}
	if err := c.call(ctx, http.MethodPost, "/v1/catalogue/edits", body, &result); err != nil {
		return fail(err)
	}
	return c.print(result, func() {
		for _, line := range result.Changes {
			fmt.Println(line)
		}
		fmt.Printf("version %d is accepted and in force on %s; every instance follows within 4 s\n", result.Version, c.address)
	})
}

func newEditID() (string, error) {
	var random [editIDBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", eris.Wrap(errRefused, err.Error())
	}
	return hex.EncodeToString(random[:]), nil
}

// catalogue returns the instance's current catalogue, an empty one if there is none.
func (c *adminClient) catalogue(ctx context.Context) (*catalogue.Catalogue, error) {
	var current *catalogue.Catalogue
	err := c.call(ctx, http.MethodGet, "/v1/catalogue", nil, &current)
	if err == nil && current == nil {
		current = &catalogue.Catalogue{}
	}
	return current, err
}

// print writes value as JSON if the output flag says so, and calls text otherwise.
func (c *adminClient) print(value any, text func()) subcommands.ExitStatus {
	if c.output != "json" {
		text()
		return subcommands.ExitSuccess
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// fail prints err and returns the matching exit status.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errUncertain) {
		return exitUncertain
	}
	return subcommands.ExitFailure
}
