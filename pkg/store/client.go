package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/progress"
)

// maxResponseBytes bounds a response body. A watch may return several values of
// up to MaxValueBytes.
const maxResponseBytes = 16 * MaxValueBytes

// Client is a Store that uses the platform's HTTP interface. It sends each request
// once. It is safe for concurrent use.
type Client struct {
	base   url.URL
	client *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at the base URL, for example
// "http://127.0.0.1:7000". It returns an *InvalidError for a URL of another form.
func NewClient(base string) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" {
		return nil, &InvalidError{Reason: "the platform address must be http://IP:port"}
	}
	// Each of the two threads of a Duty uses one connection.
	transport := &http.Transport{MaxIdleConns: 2, MaxIdleConnsPerHost: 2}
	return &Client{base: *parsed, client: &http.Client{Transport: transport}}, nil
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.client.CloseIdleConnections()
}

// exchange is one HTTP request and how its response is interpreted.
type exchange struct {
	method string
	path   string
	query  url.Values
	body   any
	// resource names the record or lease in a NotFoundError.
	resource string
	// mutates is set if the request may change the store.
	mutates bool
}

// do sends the request and decodes a successful response into result, unless it
// is nil.
func (c *Client) do(ctx context.Context, e exchange, result any) error {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), e)
	if err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return noResponseError(e.mutates && sent, err.Error())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(progress.Reader(ctx, response.Body), maxResponseBytes))
	if err != nil {
		return noResponseError(e.mutates, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return statusError(e, response.StatusCode, body)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return noResponseError(e.mutates, "response: "+err.Error())
	}
	return nil
}

// noResponseError returns the error of a request without a usable response.
func noResponseError(mayHaveChanged bool, reason string) error {
	if mayHaveChanged {
		return &UnknownOutcomeError{Reason: reason}
	}
	return &UnavailableError{Reason: reason}
}

// request builds the HTTP request.
func (c *Client) request(ctx context.Context, e exchange) (*http.Request, error) {
	address := c.base
	address.Path = e.path
	address.RawQuery = e.query.Encode()
	var body io.Reader
	if e.body != nil {
		encoded, err := json.Marshal(e.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, e.method, address.String(), body)
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// statusError converts an error response to an error of Store. 503 means that the
// platform rejected the request before it took effect; any other unexpected
// status leaves the outcome of a change unknown.
func statusError(e exchange, status int, body []byte) error {
	var document ErrorDocument
	reason := fmt.Sprintf("HTTP status %d", status)
	if json.Unmarshal(body, &document) == nil && document.Error != "" {
		reason = document.Error
	}
	switch status {
	case http.StatusConflict:
		return conflictError(e, body)
	case http.StatusNotFound:
		return &NotFoundError{What: e.resource}
	case http.StatusTooManyRequests:
		return &RateLimitedError{}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return &InvalidError{Reason: reason}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Reason: reason}
	}
	return noResponseError(e.mutates, reason)
}

// conflictError decodes the current record from the response to a conflict.
func conflictError(e exchange, body []byte) error {
	var current Record
	if err := json.Unmarshal(body, &current); err != nil {
		return noResponseError(e.mutates, "conflict response: "+err.Error())
	}
	return &ConflictError{Current: current}
}

func recordPath(key Key) string {
	return "/kv/" + string(key)
}

func leasePath(id LeaseID) string {
	return "/lease/" + string(id)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key Key) (Record, error) {
	if err := key.Check(); err != nil {
		return Record{}, err
	}
	var record Record
	err := c.do(ctx, exchange{method: http.MethodGet, path: recordPath(key), resource: "record " + string(key)}, &record)
	return record, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, r PutRequest) (Record, error) {
	if err := r.Key.Check(); err != nil {
		return Record{}, err
	}
	var record Record
	err := c.do(ctx, exchange{
		method:   http.MethodPut,
		path:     recordPath(r.Key),
		body:     PutDocument{Value: r.Value, Revision: r.Revision, Lease: r.Lease},
		resource: "lease " + string(r.Lease),
		mutates:  true,
	}, &record)
	return record, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key Key, revision Revision) error {
	if err := key.Check(); err != nil {
		return err
	}
	return c.do(ctx, exchange{
		method:   http.MethodDelete,
		path:     recordPath(key),
		query:    url.Values{"revision": {formatRevision(revision)}},
		resource: "record " + string(key),
		mutates:  true,
	}, nil)
}

// CreateLease implements Store.
func (c *Client) CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var document LeaseDocument
	err := c.do(ctx, exchange{
		method:  http.MethodPost,
		path:    "/lease",
		body:    LeaseRequestDocument{TTLMillis: ttl.Milliseconds()},
		mutates: true,
	}, &document)
	return document.ID, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	path := leasePath(id) + "/renew"
	return c.do(ctx, exchange{method: http.MethodPost, path: path, resource: "lease " + string(id), mutates: true}, nil)
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	path := leasePath(id)
	return c.do(ctx, exchange{method: http.MethodDelete, path: path, resource: "lease " + string(id), mutates: true}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, r WatchRequest) (WatchResult, error) {
	query := url.Values{
		"prefix":     {string(r.Prefix)},
		"after":      {formatRevision(r.After)},
		"timeout_ms": {strconv.FormatInt(r.Timeout.Milliseconds(), 10)},
	}
	var result WatchResult
	err := c.do(ctx, exchange{method: http.MethodGet, path: "/watch", query: query}, &result)
	return result, err
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.do(ctx, exchange{method: http.MethodGet, path: "/instances"}, &list)
	return list, err
}

// Announce implements Store.
func (c *Client) Announce(ctx context.Context, instance Instance) error {
	path := "/instances/" + string(instance.ID)
	return c.do(ctx, exchange{method: http.MethodPut, path: path, body: instance, mutates: true}, nil)
}

func formatRevision(r Revision) string {
	return strconv.FormatUint(uint64(r), 10)
}
