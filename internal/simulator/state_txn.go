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

// apply carries out the changes of a committed transaction.
func (s *StateService) apply(then []wire.Operation) {
	s.revision++
	s.committedChanges += len(then)
	for _, c := range then {
		if c.Delete != "" {
			s.items.Delete(c.Delete)
			s.history = append(s.history, wire.Event{Delete: c.Delete, Version: s.revision})
			continue
		}
		it := wire.KeyValue{Key: c.Put, Value: wire.Encode(c.Value), Version: s.revision, Lease: c.Lease}
		s.items.Set(c.Put, it)
		s.history = append(s.history, wire.Event{Put: it.Key, Value: it.Value, Version: it.Version})
	}
	if kept := cmp.Or(s.Limits.RetainedChanges, 10_000); len(s.history) > 2*kept {
		s.compactedRevision = s.history[len(s.history)-kept-1].Version
		s.history = slices.Clone(s.history[len(s.history)-kept:])
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

// invalidReason describes what of a transaction exceeds the limits, "" for nothing. Sizes are those of
// the JSON encoding.
func (s *StateService) invalidReason(t txn) string {
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

// commit evaluates a transaction's conditions and applies its changes. The lock is held.
func (s *StateService) commit(t txn) (int, any) {
	s.expireLeases()
	if why := s.invalidReason(t); why != "" {
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

// serveTxn answers a transaction, under the limits and the injected faults. The lock is held.
func (s *StateService) serveTxn(body []byte) (int, any) {
	var t txn
	if err := wire.Decode(body, &t); err != nil {
		return 400, wire.Failure{Error: err.Error()}
	}
	if why := s.invalidReason(t); why != "" {
		return 400, wire.Failure{Error: why}
	}
	if exceedsRate(&s.writeLimiter, s.Limits.WriteRPS, len(t.Then)) {
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
		return statusNoAnswer, nil
	}
	if s.Rand.Float64() < s.LossShare {
		return s.loseReply(t)
	}
	return s.commit(t)
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
	return statusNoAnswer, nil
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
