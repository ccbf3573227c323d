package wire

import (
	"net/url"
	"strconv"
	"time"
)

// Paths of the state service.
const (
	PathKeys   = "/keys"
	PathTxn    = "/multi"
	PathLeases = "/holds"
	PathWatch  = "/changes"
	RenewWord  = "touch"
)

// MaxItems is how many keys a page may have.
const MaxItems = 1000

// KeyValue is a key of the state service with its value and version.
type KeyValue struct {
	Key     string `cbor:"path"`
	Value   Raw    `cbor:"data"`
	Version uint64 `cbor:"mark"`
	Lease   uint64 `cbor:"tenure"`
}

// KeyValueList is a page of keys.
type KeyValueList struct {
	Items    []KeyValue `cbor:"items"`
	More     bool       `cbor:"more"`
	Revision uint64     `cbor:"era"`
}

// Condition demands that a key has a version; 0 means that it does not exist.
type Condition struct {
	Key     string `cbor:"path"`
	Version uint64 `cbor:"mark"`
}

// Operation is one put or delete of a transaction.
type Operation struct {
	Put    string `cbor:"put,omitempty"`
	Value  any    `cbor:"data,omitempty"`
	Lease  uint64 `cbor:"tenure,omitempty"`
	Delete string `cbor:"drop,omitempty"`
}

// Txn is a conditional transaction.
type Txn struct {
	If   []Condition `cbor:"when"`
	Then []Operation `cbor:"then"`
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	Failed   []string `cbor:"failed"`
	Revision uint64   `cbor:"era"`
}

// Event is one change in the log of the state service.
type Event struct {
	Put     string `cbor:"put"`
	Value   Raw    `cbor:"data"`
	Delete  string `cbor:"drop"`
	Version uint64 `cbor:"mark"`
}

// WatchResponse is the answer to a watch.
type WatchResponse struct {
	Revision uint64  `cbor:"era"`
	Events   []Event `cbor:"log"`
}

// LeaseGrantRequest asks for a lease.
type LeaseGrantRequest struct {
	TTLms int64 `cbor:"ttl_ms"`
}

// LeaseGrantResponse answers a grant.
type LeaseGrantResponse struct {
	Lease uint64 `cbor:"tenure"`
}

// KeyPath is the path of one key.
func KeyPath(key string) string { return PathKeys + "/" + key }

// KeysPath is the path of a page of keys.
func KeysPath(prefix, after string, limit int) string {
	p := PathKeys + "?prefix=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		p += "&from=" + url.QueryEscape(after)
	}
	return p
}

// WatchPath is the path of a watch.
func WatchPath(prefix string, from uint64, wait time.Duration) string {
	return PathWatch + "?prefix=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(from, 10) +
		"&block_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// LeasePath is the path of a lease, for ending it.
func LeasePath(id uint64) string { return PathLeases + "/" + strconv.FormatUint(id, 10) }

// RenewPath is the path that renews a lease.
func RenewPath(id uint64) string { return LeasePath(id) + "/" + RenewWord }
