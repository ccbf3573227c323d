package wire

import (
	"net/url"
	"strconv"
	"time"
)

// Paths of the state service. RenewPathSuffix is the last segment of the path that renews a lease.
const (
	PathKeys        = "/keys"
	PathTxn         = "/multi"
	PathLeases      = "/holds"
	PathWatch       = "/changes"
	RenewPathSuffix = "touch"
)

// MaxKeysPerPage is the maximum number of keys in a page.
const MaxKeysPerPage = 1000

// KeyValue is a key of the state service with its value, its version and the lease that it is attached to.
type KeyValue struct {
	Key     string `cbor:"path"`
	Value   Raw    `cbor:"data"`
	Version uint64 `cbor:"mark"`
	Lease   uint64 `cbor:"tenure"`
}

// KeyValueList is a page of keys, read at a revision of the state service.
type KeyValueList struct {
	Items    []KeyValue `cbor:"items"`
	More     bool       `cbor:"more"`
	Revision uint64     `cbor:"era"`
}

// Condition requires that a key has the given version; version 0 requires that the key does not exist.
type Condition struct {
	Key     string `cbor:"path"`
	Version uint64 `cbor:"mark"`
}

// Operation is a put or a delete in a transaction: either Put or Delete names the key.
type Operation struct {
	Put    string `cbor:"put,omitempty"`
	Value  any    `cbor:"data,omitempty"`
	Lease  uint64 `cbor:"tenure,omitempty"`
	Delete string `cbor:"drop,omitempty"`
}

// Txn is a transaction that is applied only if all its conditions hold.
type Txn struct {
	If   []Condition `cbor:"when"`
	Then []Operation `cbor:"then"`
}

// TxnResult is the response to a transaction.
type TxnResult struct {
	Failed   []string `cbor:"failed"` // keys whose conditions did not hold
	Revision uint64   `cbor:"era"`
}

// Event is a put or a delete in the change log of the state service.
type Event struct {
	Put     string `cbor:"put"`
	Value   Raw    `cbor:"data"`
	Delete  string `cbor:"drop"`
	Version uint64 `cbor:"mark"`
}

// WatchResponse is the response to a watch request.
type WatchResponse struct {
	Revision uint64  `cbor:"era"`
	Events   []Event `cbor:"log"`
}

// LeaseGrantRequest requests a lease.
type LeaseGrantRequest struct {
	TTLms int64 `cbor:"ttl_ms"`
}

// LeaseGrantResponse is the response to a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Lease uint64 `cbor:"tenure"`
}

// KeyPath returns the path of a key.
func KeyPath(key string) string { return PathKeys + "/" + key }

// KeysPath returns the path of a page of at most limit keys with a prefix. The page starts after the given key
// if it is not empty.
func KeysPath(prefix, after string, limit int) string {
	p := PathKeys + "?prefix=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		p += "&from=" + url.QueryEscape(after)
	}
	return p
}

// WatchPath returns the path of a watch for events under a prefix, after a revision. The state service
// holds the request open for up to the given time.
func WatchPath(prefix string, from uint64, wait time.Duration) string {
	return PathWatch + "?prefix=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(from, 10) +
		"&block_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// LeasePath returns the path of a lease, which is used to revoke it.
func LeasePath(id uint64) string { return PathLeases + "/" + strconv.FormatUint(id, 10) }

// RenewPath returns the path that renews a lease.
func RenewPath(id uint64) string { return LeasePath(id) + "/" + RenewPathSuffix }
