package snapshot

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// State reads and writes the state service.
type State interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.ItemList, error)
	Changes(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Changes, error)
	Txn(ctx context.Context, t wire.Txn) (uint64, error)
}

// tries is how often a call that failed is made again, with a pause.
const tries = 20

func again(ctx context.Context, call func() error) error {
	for try := 1; ; try++ {
		err := call()
		if err == nil || try == tries || ctx.Err() != nil || !errors.Is(err, store.ErrRefused) && !errors.Is(err, store.ErrUnknown) {
			return err
		}
		store.Pause(ctx, 500*time.Millisecond)
	}
}

// Take reads the whole state as it is at one revision: all pages, and the changes
// since the first. Progress is told after each page.
func Take(ctx context.Context, s State, progress func(keys int, at string)) ([]wire.Item, uint64, error) {
	for try := 0; ; try++ {
		items, revision, err := take(ctx, s, progress)
		if errors.Is(err, store.ErrTooOld) && try < 3 {
			continue // it has changed faster than it was read
		}
		return items, revision, err
	}
}

func take(ctx context.Context, s State, progress func(keys int, at string)) ([]wire.Item, uint64, error) {
	found := make(map[string]wire.Item)
	first := uint64(0)
	for after := ""; ; {
		var page *wire.ItemList
		err := again(ctx, func() (err error) { page, err = s.List(ctx, store.Stem, after, 0); return err })
		if err != nil {
			return nil, 0, fmt.Errorf("reading the keys after %q: %w", after, err)
		}
		if first == 0 {
			first = page.Revision
		}
		for _, it := range page.Items {
			found[it.Key] = it
			after = it.Key
		}
		progress(len(found), after)
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	var ch *wire.Changes
	err := again(ctx, func() (err error) { ch, err = s.Changes(ctx, store.Stem, first, 0); return err })
	if err != nil {
		return nil, 0, fmt.Errorf("reading the changes since revision %d: %w", first, err)
	}
	for _, e := range ch.Events {
		if e.Delete != "" {
			delete(found, e.Delete)
		} else {
			found[e.Put] = wire.Item{Key: e.Put, Value: e.Value, Version: e.Version}
		}
	}
	var items []wire.Item
	for _, it := range found {
		if ours(it.Key) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b wire.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, ch.Revision, nil
}

// ours leaves out the keys of others whose names begin alike.
func ours(key string) bool {
	return strings.HasPrefix(key, store.Root) || strings.HasPrefix(key, store.History)
}

// FormatOf gives the form that a state's marker names, 0 without one.
func FormatOf(items []wire.Item) int {
	var rec store.FormatRecord
	for _, it := range items {
		if it.Key == store.FormatKey {
			_ = wire.DecodeValue(it.Value, &rec)
		}
	}
	return rec.Format
}

// Errors of Restore.
var (
	// ErrNotEmpty means that the state service holds something already.
	ErrNotEmpty = errors.New("the state service is not empty")
	// ErrTooLarge means that a value does not fit the limits of the state service.
	ErrTooLarge = errors.New("a value is larger than the state service takes")
)

// TermMargin is by how much an import raises the counter of terms: workers obey
// the highest term that they have seen, which may have been given after the export.
const TermMargin = 1_000_000

// importing is the form of a state that is being put in: no version works on it.
const importing = 1 << 30

// Limits is what the state service takes.
type Limits struct{ ValueBytes, TxnOps int }

// Restore puts a state into an empty state service. One that was broken off goes
// on with the same file. Until it is through, every controller stands back.
func Restore(ctx context.Context, s State, items []wire.Item, sum string, lim Limits, progress func(done, all int)) (term uint64, err error) {
	there, mark, err := begin(ctx, s, sum)
	if err != nil {
		return 0, err
	}
	items = slices.Clone(items)
	// In the order of their versions, each at a revision of its own: the newest
	// slot of the ledger and the oldest home of a job count.
	slices.SortStableFunc(items, func(a, b wire.Item) int {
		return cmp.Or(cmp.Compare(since(a), since(b)), strings.Compare(a.Key, b.Key))
	})
	var txn wire.Txn
	bytes := 0
	flush := func() error {
		if len(txn.Then) == 0 {
			return nil
		}
		// A copy that comes late finds the marker written over: its keys may be absent again by
		// then, and a batch of jobs that were folded long ago must not come back.
		txn.If = append(txn.If, mark)
		err := put(ctx, s, txn)
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
			format = FormatOf([]wire.Item{it})
			continue
		case "term":
			if err := wire.DecodeValue(it.Value, &term); err != nil {
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
		if there[it.Key] {
			continue
		}
		if alone || len(txn.Then) >= lim.TxnOps || bytes+len(it.Value) > 40<<10 {
			if err := flush(); err != nil {
				return 0, err
			}
		}
		txn.If = append(txn.If, wire.Condition{Key: it.Key})
		txn.Then = append(txn.Then, wire.Change{Put: it.Key, Value: value})
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
	return term + TermMargin, finish(ctx, s, mark, format, term+TermMargin)
}

// since orders what is put in: a batch that was written again is as old as its
// first revision.
func since(it wire.Item) uint64 {
	var rec store.BatchRecord
	if store.Kind(it.Key) == "batch" && wire.DecodeValue(it.Value, &rec) == nil && rec.Since > 0 {
		return rec.Since
	}
	return it.Version
}

// begin marks an empty state service, or finds what an import that was broken off
// has left there. It gives the condition that the marker still stands.
func begin(ctx context.Context, s State, sum string) (there map[string]bool, mark wire.Condition, err error) {
	for marked := false; ; marked = true {
		items, _, err := Take(ctx, s, func(int, string) {})
		if err != nil {
			return nil, mark, err
		}
		there = make(map[string]bool)
		var m store.FormatRecord
		for _, it := range items {
			there[it.Key] = true
			if it.Key == store.FormatKey {
				_ = wire.DecodeValue(it.Value, &m)
				mark = wire.Condition{Key: it.Key, Version: it.Version}
			}
		}
		switch {
		case len(items) > 0 && (m.Format != importing || m.Import != sum), len(items) == 0 && marked:
			return nil, mark, fmt.Errorf("%w: it holds %d keys, the first is %s", ErrNotEmpty, len(items), first(items))
		case len(items) > 0:
			return there, mark, nil
		}
		// A state of version 1 has no marker once it is in, but every state has a counter of
		// terms from then on: a copy of this that comes late must not close a state in use.
		if err := put(ctx, s, wire.Txn{If: []wire.Condition{{Key: store.FormatKey}, {Key: store.TermKey}},
			Then: []wire.Change{{Put: store.FormatKey, Value: store.FormatRecord{Format: importing, Import: sum}}}}); err != nil {
			return nil, mark, err
		}
	}
}

func first(items []wire.Item) string {
	if len(items) == 0 {
		return "none"
	}
	return items[0].Key
}

// finish sets the counter of terms and opens the state to controllers, once: a copy that comes
// after they have begun to claim would set the counter back, and terms, attempts and names of
// rentals would come twice.
func finish(ctx context.Context, s State, mark wire.Condition, format int, term uint64) error {
	open := wire.Change{Put: store.FormatKey, Value: store.FormatRecord{Format: format}}
	if format == 0 { // of version 1, which had no marker
		open = wire.Change{Delete: store.FormatKey}
	}
	return put(ctx, s, wire.Txn{If: []wire.Condition{mark}, Then: []wire.Change{{Put: store.TermKey, Value: term}, open}})
}

// put makes a write. Nobody else writes, so that one without an answer can be made
// again, and a conflict after that on a key that it changes means that it was taken.
func put(ctx context.Context, s State, txn wire.Txn) error {
	unsure := false
	return again(ctx, func() error {
		_, err := s.Txn(ctx, txn)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && unsure && slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return slices.Contains(conflict.Failed, c.Put+c.Delete) }) {
			return nil
		}
		unsure = unsure || errors.Is(err, store.ErrUnknown)
		if err != nil {
			return fmt.Errorf("writing %s: %w", txn.Then[0].Put, err)
		}
		return nil
	})
}
