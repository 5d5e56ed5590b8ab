package store

import "encoding/json"

// The types of this file are the JSON bodies of the platform's HTTP interface
// (docs/design.md section 9). Record, WatchResult and Instance are bodies as well.

// PutDocument is the body of PUT /kv/<key>.
type PutDocument struct {
	Value    json.RawMessage `json:"value"`
	Revision Revision        `json:"revision"`
	Lease    LeaseID         `json:"lease,omitempty"`
}

// LeaseRequestDocument is the body of POST /lease.
type LeaseRequestDocument struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseDocument is the body of the response to POST /lease.
type LeaseDocument struct {
	ID LeaseID `json:"id"`
}

// ErrorDocument is the body of an error response other than a conflict.
type ErrorDocument struct {
	Error string `json:"error"`
}
