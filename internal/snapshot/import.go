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

// Errors of Import.
var (
	// ErrNotEmpty means that the state service already has keys that are not from an interrupted
	// import of the same file.
	ErrNotEmpty = errors.New("the state service is not empty")
	// ErrTooLarge means that a value exceeds the limits of the state service.
	ErrTooLarge = errors.New("a value exceeds the limit of the state service")
)

const (
	// FencingTokenMargin is how far an import raises the fencing token counter. Workers only obey
	// the highest token that they have seen, which may have been issued after the export.
	FencingTokenMargin = 1_000_000
	// formatImporting is the format of a state during an import. It is newer than any that a
	// controller accepts, so that no controller works on the state.
	formatImporting = 1 << 30
	// maxTxnBytes bounds the total size of the values in one transaction.
	maxTxnBytes = 40 << 10
)

// Limits are the limits of the state service for the bytes of a value and the operations of a
// transaction.
type Limits struct{ ValueBytes, TxnOps int }

// Import writes a state to an empty state service. It returns the value that it sets the fencing
// token counter to. A second call with the same file, which is identified by its sum, continues an
// interrupted import. No controller works on the state until the import is complete.
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

// sortForImport returns the items sorted by their versions. The newest segment of a ledger and the
// oldest batch of a job take precedence, so the new state service must commit them in the same
// order.
func sortForImport(items []wire.KeyValue) []wire.KeyValue {
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b wire.KeyValue) int {
		return cmp.Or(cmp.Compare(importRevision(a), importRevision(b)), strings.Compare(a.Key, b.Key))
	})
	return items
}

// importRevision returns the revision by which an item is sorted: for a batch that was updated, the
// revision of its first write, otherwise the version of the key.
func importRevision(item wire.KeyValue) uint64 {
	var rec store.BatchRecord
	if store.Kind(item.Key) == store.KindBatch && wire.DecodeValue(item.Value, &rec) == nil && rec.Since > 0 {
		return rec.Since
	}
	return item.Version
}

// importer writes keys in transactions. Keys whose revision order matters are written one per
// transaction.
type importer struct {
	service Service
	limits  Limits
	present map[string]bool // keys that an interrupted import has already written
	marker  wire.Condition  // condition that the import marker is unchanged

	txn    wire.Txn // collected operations, not yet written
	bytes  int      // total size of the values in txn
	format int      // format of the state, written at the end of the import
	token  uint64   // fencing token counter at the export
}

// add adds a key to the import. It reports whether the key has to be written now: leader records
// and keys that are present already are skipped, and format and fencing token are written at the
// end.
func (imp *importer) add(ctx context.Context, item wire.KeyValue) (written bool, err error) {
	if len(item.Value) > imp.limits.ValueBytes {
		return false, fmt.Errorf("%w: %s has %d bytes, the limit is %d", ErrTooLarge, item.Key, len(item.Value), imp.limits.ValueBytes)
	}
	switch kind := store.Kind(item.Key); kind {
	case store.KindLeader: // it is attached to a lease of the old state service
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

// importedValue returns the value to write for a key. In a batch, it clears the revision of the
// first write, which refers to the old state service.
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

// revisionOrderMatters reports whether the keys of a kind must be committed in the order of their
// revisions at the export.
func revisionOrderMatters(kind string) bool {
	switch kind {
	case store.KindArchive, store.KindRecent, store.KindSubmissionFence, store.KindMachineTypes,
		store.KindSharding, store.KindQuotaGrant, store.KindTiers:
		return false
	}
	return true
}

// put adds a key to the transaction, and flushes before if it would exceed the limits. If alone is
// set, the key gets a transaction of its own.
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

// flush writes the transaction, on the condition that the import marker is unchanged. A late copy
// of it fails on that condition. The absence of the keys alone would not reject the copy: they may
// have been deleted again by then, and a batch whose jobs were compacted long ago must not
// reappear.
func (imp *importer) flush(ctx context.Context) error {
	if len(imp.txn.Then) == 0 {
		return nil
	}
	imp.txn.If = append(imp.txn.If, imp.marker)
	err := commit(ctx, imp.service, imp.txn)
	imp.txn, imp.bytes = wire.Txn{}, 0
	return err
}

// beginImport writes the import marker, a format record, to an empty state service, or finds the
// marker and the keys that an interrupted import of the same file has written. It returns these
// keys and the condition that the marker is unchanged.
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
		// The condition on the fencing token counter keeps a late copy of this write from marking a
		// state in use as being imported: a state of format 1 has no format record after the
		// import, but every imported state has the counter.
		if err := commit(ctx, s, wire.Txn{If: []wire.Condition{{Key: store.FormatKey}, {Key: store.FencingTokenKey}},
			Then: []wire.Operation{{Put: store.FormatKey, Value: store.FormatRecord{Format: formatImporting, Import: sum}}}}); err != nil {
			return nil, marker, err
		}
	}
}

// findFormatMarker returns the format record of a state and the condition that it is unchanged.
func findFormatMarker(items []wire.KeyValue) (rec store.FormatRecord, unchanged wire.Condition) {
	for _, item := range items {
		if item.Key == store.FormatKey {
			_ = wire.DecodeValue(item.Value, &rec) // a damaged format record is not an import marker
			unchanged = wire.Condition{Key: item.Key, Version: item.Version}
		}
	}
	return rec, unchanged
}

// keySet returns the set of the keys of items.
func keySet(items []wire.KeyValue) map[string]bool {
	keys := make(map[string]bool, len(items))
	for _, item := range items {
		keys[item.Key] = true
	}
	return keys
}

// firstKey returns the key of the first item, for an error message.
func firstKey(items []wire.KeyValue) string {
	if len(items) == 0 {
		return "none"
	}
	return items[0].Key
}

// finishImport sets the fencing token counter and replaces the import marker, so that controllers
// work on the state. The condition on the marker lets this happen only once: a late copy that is
// committed after controllers have elected leaders would reset the counter, so that fencing tokens,
// attempts and names of scale-outs would be issued twice.
func finishImport(ctx context.Context, s Service, marker wire.Condition, format int, token uint64) error {
	setFormat := wire.Operation{Put: store.FormatKey, Value: store.FormatRecord{Format: format}}
	if format == 0 { // format 1 has no format record
		setFormat = wire.Operation{Delete: store.FormatKey}
	}
	return commit(ctx, s, wire.Txn{If: []wire.Condition{marker}, Then: []wire.Operation{{Put: store.FencingTokenKey, Value: token}, setFormat}})
}

// commit sends a transaction, with retries. There is no other writer during an import, so a
// transaction without a response can be sent again. If it then conflicts on a key that it changes,
// an earlier attempt was committed.
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

// conflictsOn reports whether a conflict concerns a key that one of the operations changes.
func conflictsOn(conflict *store.ConflictError, ops []wire.Operation) bool {
	return slices.ContainsFunc(ops, func(op wire.Operation) bool {
		return slices.Contains(conflict.Keys, op.Put+op.Delete)
	})
}
