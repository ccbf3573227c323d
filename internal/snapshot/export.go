package snapshot

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Service reads and writes the state service.
type Service interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error)
	Changes(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.WatchResponse, error)
	Txn(ctx context.Context, t wire.Txn) (uint64, error)
}

// maxAttempts is how often a call that failed is made again, with a pause.
const maxAttempts = 20

func retry(ctx context.Context, call func() error) error {
	for try := 1; ; try++ {
		err := call()
		if err == nil || try == maxAttempts || ctx.Err() != nil || !errors.Is(err, store.ErrRefused) && !errors.Is(err, store.ErrUnknownOutcome) {
			return err
		}
		store.Backoff(ctx, 500*time.Millisecond)
	}
}

// Export reads the whole state as it is at one revision: all pages, and the changes
// since the first. Progress is told after each page.
func Export(ctx context.Context, s Service, progress func(keys int, at string)) ([]wire.KeyValue, uint64, error) {
	for try := 0; ; try++ {
		items, revision, err := exportOnce(ctx, s, progress)
		if errors.Is(err, store.ErrCompacted) && try < 3 {
			continue // it has changed faster than it was read
		}
		return items, revision, err
	}
}

func exportOnce(ctx context.Context, s Service, progress func(keys int, at string)) ([]wire.KeyValue, uint64, error) {
	found := make(map[string]wire.KeyValue)
	first := uint64(0)
	for after := ""; ; {
		var page *wire.KeyValueList
		err := retry(ctx, func() (err error) { page, err = s.List(ctx, store.CommonPrefix, after, 0); return err })
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
	var ch *wire.WatchResponse
	err := retry(ctx, func() (err error) { ch, err = s.Changes(ctx, store.CommonPrefix, first, 0); return err })
	if err != nil {
		return nil, 0, fmt.Errorf("reading the changes since revision %d: %w", first, err)
	}
	for _, e := range ch.Events {
		if e.Delete != "" {
			delete(found, e.Delete)
		} else {
			found[e.Put] = wire.KeyValue{Key: e.Put, Value: e.Value, Version: e.Version}
		}
	}
	var items []wire.KeyValue
	for _, it := range found {
		if isOwnKey(it.Key) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items, ch.Revision, nil
}

// isOwnKey leaves out the keys of others whose names begin alike.
func isOwnKey(key string) bool {
	return strings.HasPrefix(key, store.StatePrefix) || strings.HasPrefix(key, store.ArchivePrefix)
}

// StateFormat gives the form that a state's marker names, 0 without one.
func StateFormat(items []wire.KeyValue) int {
	var rec store.FormatRecord
	for _, it := range items {
		if it.Key == store.FormatKey {
			_ = wire.DecodeValue(it.Value, &rec)
		}
	}
	return rec.Format
}

func firstKey(items []wire.KeyValue) string {
	if len(items) == 0 {
		return "none"
	}
	return items[0].Key
}
