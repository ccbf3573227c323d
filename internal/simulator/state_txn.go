package simulator

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TxnOutcome determines how a transaction is handled.
type TxnOutcome int

// The fates of transactions. The caller gets an answer only with TxnAnswered and TxnMalformed.
const (
	TxnAnswered  TxnOutcome = iota // carried out and answered as usual
	TxnDropped                     // never carried out
	TxnDelayed                     // carried out one second later
	TxnReplyLost                   // carried out at once
	TxnMalformed                   // never carried out, and answered as malformed
)

// applyFate applies a fate other than TxnAnswered to a transaction. The caller holds the lock, which is
// released for a moment.
func (s *StateService) applyFate(t txn, fate TxnOutcome) (int, any) {
	switch fate {
	case TxnMalformed:
		return 400, wire.Failure{Error: "malformed"}
	case TxnReplyLost:
		s.commit(t)
	case TxnDelayed:
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

// apply applies the operations of a committed transaction under a new revision, records them in the
// history, and wakes the watches. The caller holds the lock.
func (s *StateService) apply(operations []wire.Operation) {
	s.revision++
	s.committedChanges += len(operations)
	for _, op := range operations {
		if op.Delete != "" {
			s.items.Delete(op.Delete)
			s.history = append(s.history, wire.Event{Delete: op.Delete, Version: s.revision})
			continue
		}
		item := wire.KeyValue{Key: op.Put, Value: wire.Encode(op.Value), Version: s.revision, Lease: op.Lease}
		s.items.Set(op.Put, item)
		s.history = append(s.history, wire.Event{Put: item.Key, Value: item.Value, Version: item.Version})
	}
	if retained := cmp.Or(s.Limits.RetainedChanges, 10_000); len(s.history) > 2*retained {
		s.compactedRevision = s.history[len(s.history)-retained-1].Version
		s.history = slices.Clone(s.history[len(s.history)-retained:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// txn is a received transaction, whose values are left encoded.
type txn struct {
	If   []wire.Condition `cbor:"when"`
	Then []struct {
		Put    string   `cbor:"put"`
		Value  wire.Raw `cbor:"data"`
		Lease  uint64   `cbor:"tenure"`
		Delete string   `cbor:"drop"`
	} `cbor:"then"`
}

// puts returns the keys that the transaction writes.
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

// ReleaseHeld carries out the transactions that HoldTxn has withheld and returns how many of them were
// committed.
func (s *StateService) ReleaseHeld() (committed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.heldTxns {
		if status, _ := s.commit(t); status == 200 {
			committed++
		}
	}
	s.heldTxns = nil
	return committed
}

// invalidReason describes why a transaction is malformed or exceeds the limits, or returns "" if it is
// valid. Sizes are those of the JSON encoding.
func (s *StateService) invalidReason(t txn) string {
	maxOps, total := s.Limits.TxnOps, 0
	if maxOps > 0 && (len(t.Then) > maxOps || len(t.If) > 4*maxOps) {
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
		if total += size + len(c.Put) + len(c.Delete) + 30; s.Limits.ValueBytes > 0 && size > s.Limits.ValueBytes {
			return fmt.Sprintf("the value of %s takes %d bytes", c.Put, size)
		}
	}
	if s.Limits.ValueBytes > 0 && total > maxTxnBytes {
		return fmt.Sprintf("the transaction takes %d bytes", total)
	}
	return ""
}

// validKey reports whether a key is not empty, not too long and without spaces.
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

// sizeOf returns the size of a decoded CBOR value as JSON, with its separators.
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

// commit evaluates a transaction's conditions and, if all hold, applies its changes. The caller holds the
// lock.
func (s *StateService) commit(t txn) (int, any) {
	s.expireLeases()
	if reason := s.invalidReason(t); reason != "" {
		return 400, wire.Failure{Error: reason}
	}
	var operations []wire.Operation
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return 400, wire.Failure{Error: "no such lease"}
		}
		operations = append(operations, wire.Operation{Put: c.Put, Value: c.Value, Lease: c.Lease, Delete: c.Delete})
	}
	var failed []string
	for _, c := range t.If {
		if item, _ := s.items.Get(c.Key); item.Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, wire.TxnResult{Failed: failed, Revision: s.revision}
	}
	if len(operations) > 0 {
		s.apply(operations)
		if s.OnCommit != nil {
			s.OnCommit(t.puts())
		}
	}
	return 200, wire.TxnResult{Failed: []string{}, Revision: s.revision}
}

// serveTxn handles a transaction, subject to the limits and the injected faults. The caller holds the lock.
func (s *StateService) serveTxn(body []byte) (int, any) {
	var t txn
	if err := wire.Decode(body, &t); err != nil {
		return 400, wire.Failure{Error: err.Error()}
	}
	if reason := s.invalidReason(t); reason != "" {
		return 400, wire.Failure{Error: reason}
	}
	if exceedsRate(&s.writeLimiter, s.Limits.WriteRPS, len(t.Then)) {
		return 429, nil
	}
	if s.HoldTxn != nil && s.HoldTxn(t.puts()) {
		s.heldTxns = append(s.heldTxns, t)
		return 0, nil
	}
	if s.OutcomeOf != nil {
		if fate := s.OutcomeOf(t.values()); fate != TxnAnswered {
			return s.applyFate(t, fate)
		}
	}
	if s.DelayedShare > 0 && s.Rand.Float64() < s.DelayedShare {
		return s.delayTxn(t)
	}
	if s.LostReplyShare > 0 && s.Rand.Float64() < s.LostReplyShare {
		if status, _ := s.commit(t); status == 200 {
			s.lostReplies++
		}
		return statusNoAnswer, nil
	}
	if s.Rand.Float64() < s.LossShare {
		return s.loseReply(t)
	}
	return s.commit(t)
}

// loseReply handles a transaction without answering it: half of these transactions are carried out at
// once, the others up to 8 s later.
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

// delayTxn carries out a transaction 2 to 12 s later, after newer ones, without answering it.
func (s *StateService) delayTxn(t txn) (int, any) {
	const minDelay, maxDelay = 2 * time.Second, 12 * time.Second
	s.delayed++
	time.AfterFunc(minDelay+time.Duration(s.Rand.Int64N(int64(maxDelay-minDelay))), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if status, _ := s.commit(t); status == 200 {
			s.delayedCommitted++
		}
	})
	return statusNoAnswer, nil
}

// DelayedCounts returns how many transactions were delayed by DelayedShare, and how many of those were
// committed.
func (s *StateService) DelayedCounts() (delayed, committed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delayed, s.delayedCommitted
}

// LostReplyCount returns how many transactions were committed without an answer by LostReplyShare.
func (s *StateService) LostReplyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostReplies
}
