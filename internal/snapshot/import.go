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
func Import(ctx context.Context, s Service, items []wire.KeyValue, sum string, lim Limits, progress func(done, all int)) (token uint64, err error) {
	present, marker, err := beginImport(ctx, s, sum)
	if err != nil {
		return 0, err
	}
	w := &importer{service: s, limits: lim, present: present, marker: marker}
	items = sortForImport(items)
	for i, it := range items {
		written, err := w.add(ctx, it)
		if err != nil {
			return 0, err
		}
		if written {
			progress(i+1, len(items))
		}
	}
	if err := w.flush(ctx); err != nil {
		return 0, err
	}
	token = w.token + FencingTokenMargin
	return token, finishImport(ctx, s, marker, w.format, token)
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
func importRevision(it wire.KeyValue) uint64 {
	var rec store.BatchRecord
	if store.Kind(it.Key) == store.KindBatch && wire.DecodeValue(it.Value, &rec) == nil && rec.Since > 0 {
		return rec.Since
	}
	return it.Version
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
func (w *importer) add(ctx context.Context, it wire.KeyValue) (written bool, err error) {
	if len(it.Value) > w.limits.ValueBytes {
		return false, fmt.Errorf("%w: %s takes %d bytes, %d are allowed", ErrTooLarge, it.Key, len(it.Value), w.limits.ValueBytes)
	}
	switch kind := store.Kind(it.Key); kind {
	case store.KindLeader: // it is attached to a lease of the other state service
		return false, nil
	case store.KindFormat:
		w.format = StateFormat([]wire.KeyValue{it})
		return false, nil
	case store.KindFencingToken:
		if err := wire.DecodeValue(it.Value, &w.token); err != nil {
			return false, fmt.Errorf("decode %s: %w", it.Key, err)
		}
		return false, nil
	default:
		value, err := importedValue(kind, it)
		if err != nil || w.present[it.Key] {
			return false, err
		}
		return true, w.put(ctx, it, value, revisionOrderMatters(kind))
	}
}

// importedValue returns the value to write. A batch must not name a revision of the other
// state service.
func importedValue(kind string, it wire.KeyValue) (any, error) {
	if kind != store.KindBatch {
		return it.Value, nil
	}
	var rec store.BatchRecord
	if err := wire.DecodeValue(it.Value, &rec); err != nil {
		return nil, fmt.Errorf("decode %s: %w", it.Key, err)
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
func (w *importer) put(ctx context.Context, it wire.KeyValue, value any, alone bool) error {
	if alone || len(w.txn.Then) >= w.limits.TxnOps || w.bytes+len(it.Value) > maxTxnBytes {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	w.txn.If = append(w.txn.If, wire.Condition{Key: it.Key})
	w.txn.Then = append(w.txn.Then, wire.Operation{Put: it.Key, Value: value})
	w.bytes += len(it.Value)
	if alone {
		return w.flush(ctx)
	}
	return nil
}

// flush writes the transaction. A copy of it that arrives late finds another marker: its keys
// may be absent again by then, and a batch of jobs that were compacted long ago must not
// come back.
func (w *importer) flush(ctx context.Context) error {
	if len(w.txn.Then) == 0 {
		return nil
	}
	w.txn.If = append(w.txn.If, w.marker)
	err := commit(ctx, w.service, w.txn)
	w.txn, w.bytes = wire.Txn{}, 0
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
	for _, it := range items {
		if it.Key == store.FormatKey {
			_ = wire.DecodeValue(it.Value, &rec) // a damaged marker is none of an import
			unchanged = wire.Condition{Key: it.Key, Version: it.Version}
		}
	}
	return rec, unchanged
}

func keySet(items []wire.KeyValue) map[string]bool {
	keys := make(map[string]bool, len(items))
	for _, it := range items {
		keys[it.Key] = true
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
	unsure := false
	return retry(ctx, func() error {
		_, err := s.Txn(ctx, txn)
		var conflict *store.ConflictError
		if unsure && errors.As(err, &conflict) && conflictsOn(conflict, txn.Then) {
			return nil
		}
		unsure = unsure || errors.Is(err, store.ErrUnknownOutcome)
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
