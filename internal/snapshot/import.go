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

// What keeps a state from being imported.
var (
	// ErrNotEmpty means that the state service holds something already.
	ErrNotEmpty = errors.New("the state service is not empty")
	// ErrTooLarge means that a value exceeds the limits of the state service.
	ErrTooLarge = errors.New("a value is larger than the state service takes")
)

const (
	// FencingTokenMargin is by how much an import raises the counter of fencing tokens:
	// workers obey the highest token that they have seen, which may have been given after
	// the export.
	FencingTokenMargin = 1_000_000
	// formatImporting is the format of a state while it is imported: no version works on it.
	formatImporting = 1 << 30
	// maxTxnBytes bounds the values of one write together.
	maxTxnBytes = 40 << 10
)

// Limits are those of the state service.
type Limits struct{ ValueBytes, TxnOps int }

// Import puts a state into an empty state service, and returns the counter of fencing tokens
// that it begins with. An import that was interrupted is continued with the same file, which
// its sum identifies. Until it is complete no controller works on the state.
func Import(ctx context.Context, s Service, items []wire.KeyValue, sum string, limits Limits, progress func(done, all int)) (token uint64, err error) {
	present, marker, err := beginImport(ctx, s, sum)
	if err != nil {
		return 0, err
	}
	imp := &importer{service: s, limits: limits, present: present, marker: marker}
	items = sortForImport(items)
	for i, item := range items {
		written, err := imp.add(ctx, item)
		if err != nil {
			return 0, err
		}
		if written {
			progress(i+1, len(items))
		}
	}
	if err := imp.flush(ctx); err != nil {
		return 0, err
	}
	token = imp.token + FencingTokenMargin
	return token, finishImport(ctx, s, marker, imp.format, token)
}

// sortForImport orders keys by their versions: the newest segment of a ledger counts, and the
// oldest batch of a job, so that their order must be the same in the new state service.
func sortForImport(items []wire.KeyValue) []wire.KeyValue {
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b wire.KeyValue) int {
		return cmp.Or(cmp.Compare(importRevision(a), importRevision(b)), strings.Compare(a.Key, b.Key))
	})
	return items
}

// importRevision returns the version that a key is ordered by: a batch that was written again is
// as old as its first revision.
func importRevision(item wire.KeyValue) uint64 {
	var rec store.BatchRecord
	if store.Kind(item.Key) == store.KindBatch && wire.DecodeValue(item.Value, &rec) == nil && rec.Since > 0 {
		return rec.Since
	}
	return item.Version
}

// importer writes keys in transactions. Those whose order counts get a revision of their own.
type importer struct {
	service Service
	limits  Limits
	present map[string]bool // keys that an interrupted import has written
	marker  wire.Condition  // that the import has not ended

	txn    wire.Txn // not written yet
	bytes  int      // of its values
	format int      // of the state, for the end of the import
	token  uint64   // the counter of fencing tokens at the export
}

// add takes a key, and reports whether it belongs into the state now.
func (imp *importer) add(ctx context.Context, item wire.KeyValue) (written bool, err error) {
	if len(item.Value) > imp.limits.ValueBytes {
		return false, fmt.Errorf("%w: %s takes %d bytes, %d are allowed", ErrTooLarge, item.Key, len(item.Value), imp.limits.ValueBytes)
	}
	switch kind := store.Kind(item.Key); kind {
	case store.KindLeader: // it is attached to a lease of the other state service
		return false, nil
	case store.KindFormat:
		imp.format = StateFormat([]wire.KeyValue{item})
		return false, nil
	case store.KindFencingToken:
		if err := wire.DecodeValue(item.Value, &imp.token); err != nil {
			return false, fmt.Errorf("decode %s: %w", item.Key, err)
		}
		return false, nil
	default:
		value, err := importedValue(kind, item)
		if err != nil || imp.present[item.Key] {
			return false, err
		}
		return true, imp.put(ctx, item, value, revisionOrderMatters(kind))
	}
}

// importedValue returns the value to write. A batch must not name a revision of the other
// state service.
func importedValue(kind string, item wire.KeyValue) (any, error) {
	if kind != store.KindBatch {
		return item.Value, nil
	}
	var rec store.BatchRecord
	if err := wire.DecodeValue(item.Value, &rec); err != nil {
		return nil, fmt.Errorf("decode %s: %w", item.Key, err)
	}
	rec.Since = 0
	return rec, nil
}

// revisionOrderMatters reports whether the revisions of a kind's keys must be in the order of the export.
func revisionOrderMatters(kind string) bool {
	switch kind {
	case store.KindArchive, store.KindRecent, store.KindSubmissionFence, store.KindMachineTypes,
		store.KindSharding, store.KindQuotaGrant, store.KindTiers:
		return false
	}
	return true
}

// put adds a key to the transaction, and writes it alone if its order counts.
func (imp *importer) put(ctx context.Context, item wire.KeyValue, value any, alone bool) error {
	if alone || len(imp.txn.Then) >= imp.limits.TxnOps || imp.bytes+len(item.Value) > maxTxnBytes {
		if err := imp.flush(ctx); err != nil {
			return err
		}
	}
	imp.txn.If = append(imp.txn.If, wire.Condition{Key: item.Key})
	imp.txn.Then = append(imp.txn.Then, wire.Operation{Put: item.Key, Value: value})
	imp.bytes += len(item.Value)
	if alone {
		return imp.flush(ctx)
	}
	return nil
}

// flush writes the transaction. A copy of it that arrives late finds another marker: its keys
// may be absent again by then, and a batch of jobs that were compacted long ago must not
// come back.
func (imp *importer) flush(ctx context.Context) error {
	if len(imp.txn.Then) == 0 {
		return nil
	}
	imp.txn.If = append(imp.txn.If, imp.marker)
	err := commit(ctx, imp.service, imp.txn)
	imp.txn, imp.bytes = wire.Txn{}, 0
	return err
}

// beginImport marks an empty state service as being imported, or finds what an interrupted
// import of the same file has left there. It returns the condition that the marker is unchanged.
func beginImport(ctx context.Context, s Service, sum string) (present map[string]bool, marker wire.Condition, err error) {
	for marked := false; ; marked = true {
		items, _, err := Export(ctx, s, func(int, string) {})
		if err != nil {
			return nil, marker, err
		}
		found, unchanged := findFormatMarker(items)
		switch {
		case len(items) > 0 && (found.Format != formatImporting || found.Import != sum), len(items) == 0 && marked:
			return nil, marker, fmt.Errorf("%w: it holds %d keys, the first is %s", ErrNotEmpty, len(items), firstKey(items))
		case len(items) > 0:
			return keySet(items), unchanged, nil
		}
		// A state of format 1 has no marker once it is imported, but every state has a counter
		// of fencing tokens from then on: a late copy of this must not close a state in use.
		if err := commit(ctx, s, wire.Txn{If: []wire.Condition{{Key: store.FormatKey}, {Key: store.FencingTokenKey}},
			Then: []wire.Operation{{Put: store.FormatKey, Value: store.FormatRecord{Format: formatImporting, Import: sum}}}}); err != nil {
			return nil, marker, err
		}
	}
}

// findFormatMarker returns the format record of a state, and the condition that it is unchanged.
func findFormatMarker(items []wire.KeyValue) (rec store.FormatRecord, unchanged wire.Condition) {
	for _, item := range items {
		if item.Key == store.FormatKey {
			_ = wire.DecodeValue(item.Value, &rec) // a damaged marker is none of an import
			unchanged = wire.Condition{Key: item.Key, Version: item.Version}
		}
	}
	return rec, unchanged
}

func keySet(items []wire.KeyValue) map[string]bool {
	keys := make(map[string]bool, len(items))
	for _, item := range items {
		keys[item.Key] = true
	}
	return keys
}

func firstKey(items []wire.KeyValue) string {
	if len(items) == 0 {
		return "none"
	}
	return items[0].Key
}

// finishImport sets the counter of fencing tokens and opens the state to controllers, once. A
// copy that arrives after they have begun to elect leaders would set the counter back, and
// tokens, attempts and names of scale-outs would be given twice.
func finishImport(ctx context.Context, s Service, marker wire.Condition, format int, token uint64) error {
	open := wire.Operation{Put: store.FormatKey, Value: store.FormatRecord{Format: format}}
	if format == 0 { // of format 1, which has no marker
		open = wire.Operation{Delete: store.FormatKey}
	}
	return commit(ctx, s, wire.Txn{If: []wire.Condition{marker}, Then: []wire.Operation{{Put: store.FencingTokenKey, Value: token}, open}})
}

// commit makes a write. Nobody else writes, so that one without an answer can be made again;
// a conflict after that, on a key that it changes, means that it was committed.
func commit(ctx context.Context, s Service, txn wire.Txn) error {
	outcomeUnknown := false
	return retry(ctx, func() error {
		_, err := s.Txn(ctx, txn)
		var conflict *store.ConflictError
		if outcomeUnknown && errors.As(err, &conflict) && conflictsOn(conflict, txn.Then) {
			return nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, store.ErrUnknownOutcome)
		if err != nil {
			return fmt.Errorf("writing %s: %w", txn.Then[0].Put, err)
		}
		return nil
	})
}

// conflictsOn reports whether a conflict is on a key of one of the operations.
func conflictsOn(conflict *store.ConflictError, ops []wire.Operation) bool {
	return slices.ContainsFunc(ops, func(op wire.Operation) bool {
		return slices.Contains(conflict.Failed, op.Put+op.Delete)
	})
}
