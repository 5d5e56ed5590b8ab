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
)

// largestResponse bounds a response body in bytes: a watch may return several
// values of up to MaxValueBytes.
const largestResponse = 16 * MaxValueBytes

// Client is the Store over HTTP. It sends each call once.
type Client struct {
	base   url.URL
	client *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at base, for example
// "http://127.0.0.1:7000". It returns an *InvalidError for any other form.
func NewClient(base string) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" {
		return nil, &InvalidError{Reason: "the platform address must be http://IP:port"}
	}
	// The two threads of the duty use one connection each.
	transport := &http.Transport{MaxIdleConns: 2, MaxIdleConnsPerHost: 2}
	return &Client{base: *parsed, client: &http.Client{Transport: transport}}, nil
}

// CloseIdle closes the connections that no call uses.
func (c *Client) CloseIdle() {
	c.client.CloseIdleConnections()
}

// call is one HTTP exchange.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	// what names the item in a NotFoundError.
	what string
	// changes is set if the call may change the store.
	changes bool
}

// do sends the call and decodes a successful response into answer, if not nil.
func (c *Client) do(ctx context.Context, r call, answer any) error {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return lost(r.changes && sent, err.Error())
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, largestResponse))
	if err != nil {
		return lost(r.changes, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return statusError(r, response.StatusCode, text)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return lost(r.changes, "response: "+err.Error())
	}
	return nil
}

// lost is the error of a call without a usable response.
func lost(mayHaveChanged bool, reason string) error {
	if mayHaveChanged {
		return &UnknownOutcomeError{Reason: reason}
	}
	return &UnavailableError{Reason: reason}
}

func (c *Client) request(ctx context.Context, r call) (*http.Request, error) {
	address := c.base
	address.Path = r.path
	address.RawQuery = r.query.Encode()
	var body io.Reader
	if r.body != nil {
		text, err := json.Marshal(r.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, r.method, address.String(), body)
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// statusError converts an error response. 503 means that the platform refused
// the call before it took effect; any other unknown status leaves that open.
func statusError(r call, status int, text []byte) error {
	var document ErrorDocument
	reason := fmt.Sprintf("HTTP status %d", status)
	if json.Unmarshal(text, &document) == nil && document.Error != "" {
		reason = document.Error
	}
	switch status {
	case http.StatusConflict:
		return conflict(r, text)
	case http.StatusNotFound:
		return &NotFoundError{What: r.what}
	case http.StatusTooManyRequests:
		return &RateLimitedError{}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return &InvalidError{Reason: reason}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Reason: reason}
	}
	return lost(r.changes, reason)
}

func conflict(r call, text []byte) error {
	var current Record
	if err := json.Unmarshal(text, &current); err != nil {
		return lost(r.changes, "conflict response: "+err.Error())
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
	err := c.do(ctx, call{method: http.MethodGet, path: recordPath(key), what: "record " + string(key)}, &record)
	return record, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, r PutRequest) (Record, error) {
	if err := r.Key.Check(); err != nil {
		return Record{}, err
	}
	var record Record
	err := c.do(ctx, call{
		method:  http.MethodPut,
		path:    recordPath(r.Key),
		body:    PutDocument{Value: r.Value, Revision: r.Revision, Lease: r.Lease},
		what:    "lease " + string(r.Lease),
		changes: true,
	}, &record)
	return record, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key Key, revision Revision) error {
	if err := key.Check(); err != nil {
		return err
	}
	return c.do(ctx, call{
		method:  http.MethodDelete,
		path:    recordPath(key),
		query:   url.Values{"revision": {formatRevision(revision)}},
		what:    "record " + string(key),
		changes: true,
	}, nil)
}

// CreateLease implements Store.
func (c *Client) CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var document LeaseDocument
	err := c.do(ctx, call{
		method:  http.MethodPost,
		path:    "/lease",
		body:    LeaseRequestDocument{TTLMillis: ttl.Milliseconds()},
		changes: true,
	}, &document)
	return document.ID, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	path := leasePath(id) + "/renew"
	return c.do(ctx, call{method: http.MethodPost, path: path, what: "lease " + string(id), changes: true}, nil)
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	path := leasePath(id)
	return c.do(ctx, call{method: http.MethodDelete, path: path, what: "lease " + string(id), changes: true}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, r WatchRequest) (WatchResult, error) {
	query := url.Values{
		"prefix":     {string(r.Prefix)},
		"after":      {formatRevision(r.After)},
		"timeout_ms": {strconv.FormatInt(r.Timeout.Milliseconds(), 10)},
	}
	var result WatchResult
	err := c.do(ctx, call{method: http.MethodGet, path: "/watch", query: query}, &result)
	return result, err
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.do(ctx, call{method: http.MethodGet, path: "/instances"}, &list)
	return list, err
}

// Announce implements Store.
func (c *Client) Announce(ctx context.Context, instance Instance) error {
	path := "/instances/" + string(instance.ID)
	return c.do(ctx, call{method: http.MethodPut, path: path, body: instance, changes: true}, nil)
}

func formatRevision(r Revision) string {
	return strconv.FormatUint(uint64(r), 10)
}
