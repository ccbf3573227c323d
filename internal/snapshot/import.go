package snapshot

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Errors of Restore.
var (
	// ErrNotEmpty means that the state service holds something already.
	ErrNotEmpty = errors.New("the state service is not empty")
	// ErrTooLarge means that a value does not fit the limits of the state service.
	ErrTooLarge = errors.New("a value is larger than the state service takes")
)

// FencingTokenMargin is by how much an import raises the counter of terms: workers obey
// the highest term that they have seen, which may have been given after the export.
const FencingTokenMargin = 1_000_000

// formatImporting is the form of a state that is being put in: no version works on it.
const formatImporting = 1 << 30

// Limits is what the state service takes.
type Limits struct{ ValueBytes, TxnOps int }

// Import puts a state into an empty state service. One that was broken off goes
// on with the same file. Until it is through, every controller stands back.
func Import(ctx context.Context, s Service, items []wire.KeyValue, sum string, lim Limits, progress func(done, all int)) (token uint64, err error) {
	present, marker, err := beginImport(ctx, s, sum)
	if err != nil {
		return 0, err
	}
	items = slices.Clone(items)
	// In the order of their versions, each at a revision of its own: the newest
	// slot of the ledger and the oldest home of a job count.
	slices.SortStableFunc(items, func(a, b wire.KeyValue) int {
		return cmp.Or(cmp.Compare(importOrder(a), importOrder(b)), strings.Compare(a.Key, b.Key))
	})
	var txn wire.Txn
	bytes := 0
	flush := func() error {
		if len(txn.Then) == 0 {
			return nil
		}
		// A copy that comes late finds the marker written over: its keys may be absent again by
		// then, and a batch of jobs that were folded long ago must not come back.
		txn.If = append(txn.If, marker)
		err := commit(ctx, s, txn)
		txn, bytes = wire.Txn{}, 0
		return err
	}
	format := 0
	for i, it := range items {
		if len(it.Value) > lim.ValueBytes {
			return 0, fmt.Errorf("%w: %s takes %d bytes, %d are allowed", ErrTooLarge, it.Key, len(it.Value), lim.ValueBytes)
		}
		alone := true
		var value any = it.Value
		switch store.Kind(it.Key) {
		case "part": // held by a lease of the other service
			continue
		case "format":
			format = StateFormat([]wire.KeyValue{it})
			continue
		case "term":
			if err := wire.DecodeValue(it.Value, &token); err != nil {
				return 0, fmt.Errorf("%s: %w", it.Key, err)
			}
			continue
		case "batch": // its revisions are those of the other service
			var rec store.BatchRecord
			if err := wire.DecodeValue(it.Value, &rec); err != nil {
				return 0, fmt.Errorf("%s: %w", it.Key, err)
			}
			rec.Since = 0
			value = rec
		case "history", "recent", "gate", "types", "grouping", "grant", "tiers":
			alone = false
		}
		if present[it.Key] {
			continue
		}
		if alone || len(txn.Then) >= lim.TxnOps || bytes+len(it.Value) > 40<<10 {
			if err := flush(); err != nil {
				return 0, err
			}
		}
		txn.If = append(txn.If, wire.Condition{Key: it.Key})
		txn.Then = append(txn.Then, wire.Operation{Put: it.Key, Value: value})
		bytes += len(it.Value)
		if alone {
			if err := flush(); err != nil {
				return 0, err
			}
		}
		progress(i+1, len(items))
	}
	if err := flush(); err != nil {
		return 0, err
	}
	return token + FencingTokenMargin, finishImport(ctx, s, marker, format, token+FencingTokenMargin)
}

// importOrder orders what is put in: a batch that was written again is as old as its
// first revision.
func importOrder(it wire.KeyValue) uint64 {
	var rec store.BatchRecord
	if store.Kind(it.Key) == "batch" && wire.DecodeValue(it.Value, &rec) == nil && rec.Since > 0 {
		return rec.Since
	}
	return it.Version
}

// beginImport marks an empty state service, or finds what an import that was broken off
// has left there. It gives the condition that the marker still stands.
func beginImport(ctx context.Context, s Service, sum string) (present map[string]bool, marker wire.Condition, err error) {
	for marked := false; ; marked = true {
		items, _, err := Export(ctx, s, func(int, string) {})
		if err != nil {
			return nil, marker, err
		}
		present = make(map[string]bool)
		var m store.FormatRecord
		for _, it := range items {
			present[it.Key] = true
			if it.Key == store.FormatKey {
				_ = wire.DecodeValue(it.Value, &m)
				marker = wire.Condition{Key: it.Key, Version: it.Version}
			}
		}
		switch {
		case len(items) > 0 && (m.Format != formatImporting || m.Import != sum), len(items) == 0 && marked:
			return nil, marker, fmt.Errorf("%w: it holds %d keys, the first is %s", ErrNotEmpty, len(items), firstKey(items))
		case len(items) > 0:
			return present, marker, nil
		}
		// A state of version 1 has no marker once it is in, but every state has a counter of
		// terms from then on: a copy of this that comes late must not close a state in use.
		if err := commit(ctx, s, wire.Txn{If: []wire.Condition{{Key: store.FormatKey}, {Key: store.FencingTokenKey}},
			Then: []wire.Operation{{Put: store.FormatKey, Value: store.FormatRecord{Format: formatImporting, Import: sum}}}}); err != nil {
			return nil, marker, err
		}
	}
}

// finishImport sets the counter of terms and opens the state to controllers, once: a copy that comes
// after they have begun to claim would set the counter back, and terms, attempts and names of
// rentals would come twice.
func finishImport(ctx context.Context, s Service, marker wire.Condition, format int, token uint64) error {
	open := wire.Operation{Put: store.FormatKey, Value: store.FormatRecord{Format: format}}
	if format == 0 { // of version 1, which had no marker
		open = wire.Operation{Delete: store.FormatKey}
	}
	return commit(ctx, s, wire.Txn{If: []wire.Condition{marker}, Then: []wire.Operation{{Put: store.FencingTokenKey, Value: token}, open}})
}

// commit makes a write. Nobody else writes, so that one without an answer can be made
// again, and a conflict after that on a key that it changes means that it was taken.
func commit(ctx context.Context, s Service, txn wire.Txn) error {
	unsure := false
	return retry(ctx, func() error {
		_, err := s.Txn(ctx, txn)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && unsure && slices.ContainsFunc(txn.Then, func(c wire.Operation) bool { return slices.Contains(conflict.Failed, c.Put+c.Delete) }) {
			return nil
		}
		unsure = unsure || errors.Is(err, store.ErrUnknownOutcome)
		if err != nil {
			return fmt.Errorf("writing %s: %w", txn.Then[0].Put, err)
		}
		return nil
	})
}
