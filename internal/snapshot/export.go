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

const (
	// maxAttempts is how often a call is made that was refused or had no answer.
	maxAttempts = 20
	// retryInterval is the mean pause between two attempts.
	retryInterval = 500 * time.Millisecond
	// maxExportAttempts is how often a state is read that changes faster than it is read.
	maxExportAttempts = 4
)

// retry makes a call until it succeeds, or fails otherwise than by a refusal or without an answer.
func retry(ctx context.Context, call func() error) error {
	for attempt := 1; ; attempt++ {
		err := call()
		transient := errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnknownOutcome)
		if !transient || attempt == maxAttempts || ctx.Err() != nil {
			return err
		}
		store.Backoff(ctx, retryInterval)
	}
}

// Export reads the whole state as it is at one revision: all pages, and the changes since the
// first. After each page progress is called.
func Export(ctx context.Context, s Service, progress func(keys int, at string)) ([]wire.KeyValue, uint64, error) {
	for attempt := 1; ; attempt++ {
		items, revision, err := exportOnce(ctx, s, progress)
		if errors.Is(err, store.ErrCompacted) && attempt < maxExportAttempts {
			continue // the service no longer knows the changes since the first page
		}
		return items, revision, err
	}
}

func exportOnce(ctx context.Context, s Service, progress func(keys int, at string)) ([]wire.KeyValue, uint64, error) {
	found, first, err := readPages(ctx, s, progress)
	if err != nil {
		return nil, 0, err
	}
	var changes *wire.WatchResponse
	err = retry(ctx, func() (err error) {
		changes, err = s.Changes(ctx, store.CommonPrefix, first, 0)
		return err
	})
	if err != nil {
		return nil, 0, fmt.Errorf("reading the changes since revision %d: %w", first, err)
	}
	for _, e := range changes.Events {
		if e.Delete != "" {
			delete(found, e.Delete)
		} else {
			found[e.Put] = wire.KeyValue{Key: e.Put, Value: e.Value, Version: e.Version}
		}
	}
	return sortedOwnItems(found), changes.Revision, nil
}

// readPages reads all keys, and returns the revision of the first page.
func readPages(ctx context.Context, s Service, progress func(keys int, at string)) (found map[string]wire.KeyValue, first uint64, err error) {
	found = make(map[string]wire.KeyValue)
	for after := ""; ; {
		var page *wire.KeyValueList
		err := retry(ctx, func() (err error) {
			page, err = s.List(ctx, store.CommonPrefix, after, 0)
			return err
		})
		if err != nil {
			return nil, 0, fmt.Errorf("reading the keys after %q: %w", after, err)
		}
		if first == 0 {
			first = page.Revision
		}
		for _, item := range page.Items {
			found[item.Key] = item
			after = item.Key
		}
		progress(len(found), after)
		if !page.More || len(page.Items) == 0 {
			return found, first, nil
		}
	}
}

// sortedOwnItems lists amberdeal's keys in order, without those of others that begin alike.
func sortedOwnItems(found map[string]wire.KeyValue) (items []wire.KeyValue) {
	for _, item := range found {
		if strings.HasPrefix(item.Key, store.StatePrefix) || strings.HasPrefix(item.Key, store.ArchivePrefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// StateFormat returns the format that a state's marker names, 0 without one.
func StateFormat(items []wire.KeyValue) int {
	var rec store.FormatRecord
	for _, item := range items {
		if item.Key == store.FormatKey {
			_ = wire.DecodeValue(item.Value, &rec) // a damaged marker is no marker
		}
	}
	return rec.Format
}
