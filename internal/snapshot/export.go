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

// Service is a client of the state service.
type Service interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error)
	Changes(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.WatchResponse, error)
	Txn(ctx context.Context, t wire.Txn) (uint64, error)
}

const (
	// maxAttempts bounds the attempts of a call that is refused or gets no response.
	maxAttempts = 20
	// retryInterval is the mean delay between two attempts.
	retryInterval = 500 * time.Millisecond
	// maxExportAttempts bounds how often a state is read that changes so fast that the service
	// drops the changes since the first page before the last page is read.
	maxExportAttempts = 4
)

// retry repeats a call that is refused or gets no response, up to maxAttempts times. Other errors
// are returned at once.
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

// Export reads the whole state at one revision: it reads all pages and then applies the changes
// since the revision of the first page. It calls progress after each page.
func Export(ctx context.Context, s Service, progress func(keys int, at string)) ([]wire.KeyValue, uint64, error) {
	for attempt := 1; ; attempt++ {
		items, revision, err := exportOnce(ctx, s, progress)
		if errors.Is(err, store.ErrCompacted) && attempt < maxExportAttempts {
			continue // the service no longer has the changes since the first page
		}
		return items, revision, err
	}
}

// exportOnce makes one attempt of an export.
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

// readPages reads all pages of keys. It returns the keys and the revision of the first page.
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

// sortedOwnItems returns the sorted keys of amberdeal, without keys of other applications that
// share the common prefix.
func sortedOwnItems(found map[string]wire.KeyValue) (items []wire.KeyValue) {
	for _, item := range found {
		if strings.HasPrefix(item.Key, store.StatePrefix) || strings.HasPrefix(item.Key, store.ArchivePrefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// StateFormat returns the format in the format record of a state, or 0 if there is no such record.
func StateFormat(items []wire.KeyValue) int {
	var rec store.FormatRecord
	for _, item := range items {
		if item.Key == store.FormatKey {
			_ = wire.DecodeValue(item.Value, &rec) // a damaged format record counts as absent
		}
	}
	return rec.Format
}
