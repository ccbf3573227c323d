package simulator

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"
	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

func encode(v any) []byte {
	if v == nil {
		return nil
	}
	return wire.Encode(v)
}

// StateLimits are the limits that the state service imposes on its callers; 0 stands for none.
type StateLimits struct {
	RPS, WriteRPS   float64 // with bursts of one second's worth
	ValueBytes      int
	TxnOps          int // and four times as many conditions
	PageItems       int // 1000 if it is 0
	RetainedChanges int // 10,000 if it is 0
}

// What a transaction, a page and a lease may take, and the length of a key.
const (
	maxWatchMS   = 60_000 // ms of a watch
	minTTLMS     = 100
	maxTTLMS     = 600_000
	maxKeyBytes  = 200
	maxTxnBytes  = 64 << 10
	maxPageBytes = 512 << 10
)

// StateService imitates the consensus-backed key-value store: compare-and-swap transactions,
// leases, pages and watches, under the limits and faults that are configured.
type StateService struct {
	Rand   *rand.Rand
	Limits StateLimits
	// HoldTxn, if set, selects transactions that are held back without an answer until ReleaseHeld.
	HoldTxn func(puts []string) bool
	// ResponseDelay, if set, returns the time that an answer takes.
	ResponseDelay func() time.Duration
	// LossShare is the share of transactions without an answer; half of them are carried out later.
	LossShare float64
	// DelayedShare is the share of transactions without an answer that are carried out 2 to 12 s
	// later, after newer ones.
	DelayedShare float64
	// LostReplyShare is the share of transactions that are carried out at once and whose answer is
	// lost.
	LostReplyShare float64
	// OnCommit, if set, is called with the keys of each committed transaction.
	OnCommit func(puts []string)
	// FateOf, if set, decides what happens to a transaction with these values.
	FateOf   func(puts map[string]wire.Raw) Fate
	heldTxns []txn

	mu                sync.Mutex
	down              bool
	refused           map[string]bool // callers that get 503 while others are served
	revision          uint64
	items             btree.Map[string, wire.KeyValue]
	log               []wire.Event
	compactedRevision uint64 // changes up to this revision are no longer retained
	leases            map[uint64]*lease
	changed           chan struct{}
	writes            int
	requests          int
	rps, wps          *rate.Limiter

	delayed, delayedCommitted int // transactions that were delayed, and those of them that were committed
	lostReplies               int // transactions that were committed and not answered
}

// Fate is what happens to a transaction.
type Fate int

// The fates of transactions. Only with the first does the caller get an answer.
const (
	FateAnswered  Fate = iota
	FateDropped        // it is never carried out
	FateDelayed        // it is carried out a second later
	FateReplyLost      // it is carried out at once
)

// applyFate applies a fate to a transaction; its caller gets no answer. The lock is held.
func (s *StateService) applyFate(t txn, f Fate) (int, any) {
	switch f {
	case FateReplyLost:
		s.commit(t)
	case FateDelayed:
		time.AfterFunc(time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.commit(t)
		})
	}
	s.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	return 0, nil
}

// lease is a lease of the state service.
type lease struct {
	ttl time.Duration
	end time.Time
}

// NewStateService returns an empty service with a fixed seed. The share lossy of all transactions
// gets no answer; half of these are carried out later.
func NewStateService(seed uint64, lossy float64) *StateService {
	return &StateService{LossShare: lossy, Rand: rand.New(rand.NewPCG(seed, 1)), leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// Configure changes the configured faults while the service runs.
func (s *StateService) Configure(change func(*StateService)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Counts returns how many requests were made, how many changes were committed, and how many keys
// exist.
func (s *StateService) Counts() (requests, changes, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.writes, s.items.Len()
}

// DropHistory discards the retained changes: every watch that starts earlier than now fails as too
// old.
func (s *StateService) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.compactedRevision = nil, s.revision
}

// exceeds reports whether a rate limiter refuses n more operations at once.
func exceeds(l **rate.Limiter, limit float64, n int) bool {
	if limit <= 0 {
		return false
	}
	if *l == nil {
		*l = rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
	}
	return !(*l).AllowN(time.Now(), n)
}

// SetOutage starts or ends an outage. After an outage every lease has its full time to live.
func (s *StateService) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.end = time.Now().Add(l.ttl)
	}
}

// expire ends the leases that were not renewed in time.
func (s *StateService) expire() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[id]; !s.down && time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys.
func (s *StateService) endLease(id uint64) {
	delete(s.leases, id)
	var then []wire.Operation
	s.items.Scan(func(key string, it wire.KeyValue) bool {
		if it.Lease == id {
			then = append(then, wire.Operation{Delete: key})
		}
		return true
	})
	if len(then) > 0 {
		s.apply(then)
		s.writes -= len(then)
	}
}

// apply carries out the changes of a committed transaction.
func (s *StateService) apply(then []wire.Operation) {
	s.revision++
	s.writes += len(then)
	for _, c := range then {
		if c.Delete != "" {
			s.items.Delete(c.Delete)
			s.log = append(s.log, wire.Event{Delete: c.Delete, Version: s.revision})
			continue
		}
		it := wire.KeyValue{Key: c.Put, Value: wire.Encode(c.Value), Version: s.revision, Lease: c.Lease}
		s.items.Set(c.Put, it)
		s.log = append(s.log, wire.Event{Put: it.Key, Value: it.Value, Version: it.Version})
	}
	if kept := cmp.Or(s.Limits.RetainedChanges, 10_000); len(s.log) > 2*kept {
		s.compactedRevision = s.log[len(s.log)-kept-1].Version
		s.log = slices.Clone(s.log[len(s.log)-kept:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// txn is a transaction as received, with values left encoded.
type txn struct {
	If   []wire.Condition `cbor:"when"`
	Then []struct {
		Put    string   `cbor:"put"`
		Value  wire.Raw `cbor:"data"`
		Lease  uint64   `cbor:"tenure"`
		Delete string   `cbor:"drop"`
	} `cbor:"then"`
}

// puts returns the keys that are written.
func (t *txn) puts() (keys []string) {
	for _, c := range t.Then {
		if c.Put != "" {
			keys = append(keys, c.Put)
		}
	}
	return keys
}

// values returns the written values by key.
func (t *txn) values() map[string]wire.Raw {
	out := make(map[string]wire.Raw)
	for _, c := range t.Then {
		if c.Put != "" {
			out[c.Put] = c.Value
		}
	}
	return out
}

// ReleaseHeld carries out the transactions that were held back, and returns how many were
// committed.
func (s *StateService) ReleaseHeld() (taken int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.heldTxns {
		if status, _ := s.commit(t); status == 200 {
			taken++
		}
	}
	s.heldTxns = nil
	return taken
}

// malformed describes what of a transaction exceeds the limits, "" for nothing. Sizes are those of
// the JSON encoding.
func (s *StateService) malformed(t txn) string {
	ops, sum := s.Limits.TxnOps, 0
	if ops > 0 && (len(t.Then) > ops || len(t.If) > 4*ops) {
		return fmt.Sprintf("%d changes, %d conditions", len(t.Then), len(t.If))
	}
	for _, c := range t.If {
		if !validKey(c.Key) {
			return fmt.Sprintf("key %q", c.Key)
		}
	}
	for _, c := range t.Then {
		if key := c.Put + c.Delete; !validKey(key) || c.Put != "" && c.Delete != "" {
			return fmt.Sprintf("key %q", key)
		}
		size, err := jsonSize(c.Value)
		if err != nil {
			return err.Error()
		}
		if sum += size + len(c.Put) + len(c.Delete) + 30; s.Limits.ValueBytes > 0 && size > s.Limits.ValueBytes {
			return fmt.Sprintf("the value of %s takes %d bytes", c.Put, size)
		}
	}
	if s.Limits.ValueBytes > 0 && sum > maxTxnBytes {
		return fmt.Sprintf("the transaction takes %d bytes", sum)
	}
	return ""
}

func validKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && !strings.Contains(key, " ")
}

// jsonSize returns the size of a CBOR value as JSON, or an error for values that JSON cannot
// express.
func jsonSize(raw wire.Raw) (int, error) {
	if len(raw) == 0 {
		return 0, nil
	}
	var v any
	if err := wire.DecodeValue(raw, &v); err != nil {
		return 0, err
	}
	return sizeOf(v)
}

func sizeOf(v any) (n int, err error) {
	add := func(v any) {
		size, e := sizeOf(v)
		n, err = n+size+1, errors.Join(err, e)
	}
	switch v := v.(type) {
	case map[any]any:
		for k, e := range v {
			add(k)
			add(e)
		}
		return n + 2, err
	case []any:
		for _, e := range v {
			add(e)
		}
		return n + 2, err
	case []byte:
		return 0, errors.New("a value may hold nothing binary")
	}
	text, err := json.Marshal(v)
	return len(text), err
}

// Commit carries out a transaction at once, bypassing limits and faults.
func (s *StateService) Commit(t wire.Txn) (status int, result wire.TxnResult) {
	var in txn
	if err := wire.Decode(wire.Encode(t), &in); err != nil {
		panic(err) // the formats of wire always decode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body := s.commit(in)
	result, _ = body.(wire.TxnResult)
	return status, result
}

// Page lists keys, bypassing limits and faults.
func (s *StateService) Page(prefix, after string, limit int) *wire.KeyValueList {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.list(prefix, after, limit)
	return &l
}

// Since returns the changes after a revision, or false if they are no longer retained. It bypasses
// limits and faults.
func (s *StateService) Since(prefix string, from uint64) (*wire.WatchResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(prefix, from)
}

// commit evaluates a transaction's conditions and applies its changes. The lock is held.
func (s *StateService) commit(t txn) (int, any) {
	s.expire()
	if why := s.malformed(t); why != "" {
		return 400, wire.Failure{Error: why}
	}
	var then []wire.Operation
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return 400, wire.Failure{Error: "no such lease"}
		}
		then = append(then, wire.Operation{Put: c.Put, Value: c.Value, Lease: c.Lease, Delete: c.Delete})
	}
	var failed []string
	for _, c := range t.If {
		if it, _ := s.items.Get(c.Key); it.Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, wire.TxnResult{Failed: failed, Revision: s.revision}
	}
	if len(then) > 0 {
		s.apply(then)
		if s.OnCommit != nil {
			s.OnCommit(t.puts())
		}
	}
	return 200, wire.TxnResult{Failed: []string{}, Revision: s.revision}
}

// RefuseCaller answers one caller with 503 while the others are served, or ends that.
func (s *StateService) RefuseCaller(caller string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = make(map[string]bool)
	}
	s.refused[caller] = refuse
}

// Serve implements the protocol of the state service.
func (s *StateService) Serve() transport.ServeConn { return s.ServeCaller("") }

// ServeCaller implements the protocol for one caller, who can be refused by name.
func (s *StateService) ServeCaller(caller string) transport.ServeConn {
	return serveHTTP(func(method, path string, q map[string]string, body []byte) (int, any) {
		s.mu.Lock()
		delay := s.ResponseDelay
		s.mu.Unlock()
		if delay != nil {
			time.Sleep(delay())
		}
		s.mu.Lock()
		s.requests++
		if !s.down && exceeds(&s.rps, s.Limits.RPS, 1) {
			s.mu.Unlock()
			return 429, nil
		}
		if path == wire.PathWatch {
			s.mu.Unlock()
			return s.watch(caller, q)
		}
		defer s.mu.Unlock()
		if s.down || s.refused[caller] {
			return 503, nil
		}
		s.expire()
		switch {
		case path == wire.PathTxn:
			return s.serveTxn(body)
		case path == wire.PathKeys:
			limit, _ := strconv.Atoi(q["limit"])
			return 200, s.list(q["prefix"], q["from"], limit)
		case path == wire.PathLeases:
			return s.grantLease(body)
		}
		if key, ok := strings.CutPrefix(path, wire.PathKeys+"/"); ok {
			if it, found := s.items.Get(key); found {
				return 200, it
			}
			return 404, map[string]uint64{"era": s.revision}
		}
		return s.serveLease(method, strings.TrimPrefix(path, wire.PathLeases+"/"))
	})
}

// serveTxn answers a transaction, under the limits and the injected faults. The lock is held.
func (s *StateService) serveTxn(body []byte) (int, any) {
	var t txn
	if err := wire.Decode(body, &t); err != nil {
		return 400, wire.Failure{Error: err.Error()}
	}
	if why := s.malformed(t); why != "" {
		return 400, wire.Failure{Error: why}
	}
	if exceeds(&s.wps, s.Limits.WriteRPS, len(t.Then)) {
		return 429, nil
	}
	if s.HoldTxn != nil && s.HoldTxn(t.puts()) {
		s.heldTxns = append(s.heldTxns, t)
		return 0, nil
	}
	if s.FateOf != nil {
		if f := s.FateOf(t.values()); f != FateAnswered {
			return s.applyFate(t, f)
		}
	}
	if s.DelayedShare > 0 && s.Rand.Float64() < s.DelayedShare {
		return s.delayTxn(t)
	}
	if s.LostReplyShare > 0 && s.Rand.Float64() < s.LostReplyShare {
		if status, _ := s.commit(t); status == 200 {
			s.lostReplies++
		}
		return noAnswer, nil
	}
	if s.Rand.Float64() < s.LossShare {
		return s.loseReply(t)
	}
	return s.commit(t)
}

// grantLease answers the request for a new lease. The lock is held.
func (s *StateService) grantLease(body []byte) (int, any) {
	var g wire.LeaseGrantRequest
	if err := wire.Decode(body, &g); err != nil || g.TTLms < minTTLMS || g.TTLms > maxTTLMS {
		return 400, wire.Failure{Error: "ttl_ms: 100 to 600,000"}
	}
	s.revision++
	ttl := time.Duration(g.TTLms) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	return 200, wire.LeaseGrantResponse{Lease: s.revision}
}

// serveLease answers the renewal or the end of a lease; target is its number, and the word for a
// renewal. The lock is held.
func (s *StateService) serveLease(method, target string) (int, any) {
	num, word, _ := strings.Cut(target, "/")
	id, _ := strconv.ParseUint(num, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		return 404, wire.Failure{Error: "no such lease"}
	case method == "DELETE":
		s.endLease(id)
	case word == wire.RenewWord:
		l.end = time.Now().Add(l.ttl)
	}
	return 200, wire.LeaseGrantResponse{Lease: id}
}

// loseReply drops the answer to a transaction; half of those transactions are carried out late.
func (s *StateService) loseReply(t txn) (int, any) {
	if s.Rand.IntN(2) == 0 {
		s.commit(t)
		return 0, nil
	}
	time.AfterFunc(time.Duration(s.Rand.IntN(8000))*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.commit(t)
	})
	return 0, nil
}

// delayTxn carries a transaction out after newer ones, without an answer.
func (s *StateService) delayTxn(t txn) (int, any) {
	const least, most = 2 * time.Second, 12 * time.Second
	s.delayed++
	time.AfterFunc(least+time.Duration(s.Rand.Int64N(int64(most-least))), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if status, _ := s.commit(t); status == 200 {
			s.delayedCommitted++
		}
	})
	return noAnswer, nil
}

// DelayedCounts returns how many transactions were delayed, and how many of those were committed.
func (s *StateService) DelayedCounts() (late, taken int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delayed, s.delayedCommitted
}

// LostReplyCount returns how many transactions were committed without an answer.
func (s *StateService) LostReplyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostReplies
}

// list returns one page of keys. The lock is held.
func (s *StateService) list(prefix, after string, limit int) wire.KeyValueList {
	out := wire.KeyValueList{Items: []wire.KeyValue{}, Revision: s.revision}
	most := cmp.Or(s.Limits.PageItems, wire.MaxItems)
	if limit > 0 {
		most = min(most, limit)
	}
	bytes := 0
	s.items.Ascend(max(prefix, after), func(key string, it wire.KeyValue) bool {
		if !strings.HasPrefix(key, prefix) {
			return key < prefix
		}
		if key == after {
			return true
		}
		if bytes += len(key) + len(it.Value) + 40; len(out.Items) == most || len(out.Items) > 0 && bytes > maxPageBytes {
			out.More = true
			return false
		}
		out.Items = append(out.Items, it)
		return true
	})
	return out
}

// since returns the retained changes after a revision. The lock is held.
func (s *StateService) since(prefix string, from uint64) (*wire.WatchResponse, bool) {
	if from < s.compactedRevision {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(s.log, from+1, func(e wire.Event, v uint64) int { return cmp.Compare(e.Version, v) })
	out := &wire.WatchResponse{Revision: s.revision}
	for _, e := range s.log[i:] {
		if strings.HasPrefix(e.Put, prefix) && e.Put != "" || strings.HasPrefix(e.Delete, prefix) && e.Delete != "" {
			out.Events = append(out.Events, e)
		}
	}
	return out, true
}

// watch waits for changes after a revision.
func (s *StateService) watch(caller string, q map[string]string) (int, any) {
	from, _ := strconv.ParseUint(q["from"], 10, 64)
	wait, _ := strconv.Atoi(q["block_ms"])
	wait = min(wait, maxWatchMS)
	until := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		s.expire()
		down, changed := s.down || s.refused[caller], s.changed
		out, kept := s.since(q["prefix"], from)
		s.mu.Unlock()
		if !down && !kept {
			return 410, wire.Failure{Error: "too old"}
		}
		if down && wait == 0 {
			return 503, nil
		}
		if !down && (last || len(out.Events) > 0) {
			return 200, out
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-until:
			last = true
		}
	}
}

// StateSnapshot is the content of a state service as it is stored on disk.
type StateSnapshot struct {
	Revision uint64           `cbor:"era"`
	Items    []wire.KeyValue  `cbor:"items"`
	Leases   map[uint64]int64 `cbor:"holds"` // time to live in ms, by lease
}

// Snapshot returns the content, for another process to continue with.
func (s *StateService) Snapshot() StateSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := StateSnapshot{Revision: s.revision, Leases: map[uint64]int64{}}
	s.items.Scan(func(_ string, it wire.KeyValue) bool {
		k.Items = append(k.Items, it)
		return true
	})
	for id, l := range s.leases {
		k.Leases[id] = l.ttl.Milliseconds()
	}
	return k
}

// Resume loads content into an empty service. As after an outage every lease has its full time to
// live; earlier changes are not retained.
func (s *StateService) Resume(k StateSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compactedRevision = k.Revision, k.Revision
	for _, it := range k.Items {
		s.items.Set(it.Key, it)
	}
	for id, ms := range k.Leases {
		ttl := time.Duration(ms) * time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	}
}
