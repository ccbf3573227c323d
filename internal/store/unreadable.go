package store

import (
	"log/slog"
	"maps"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// unreadableRecords holds the keys whose values could not be decoded, because they are damaged or
// were written by a newer version. It has no lock of its own; the lock of its View protects it.
type unreadableRecords struct {
	log  *slog.Logger
	errs map[string]error // by key
}

// decodeRecord decodes the value of a key. On failure, it logs the error and adds the key to u; on
// success, it removes the key from u.
func decodeRecord[T any](u *unreadableRecords, key string, raw wire.Raw) (T, bool) {
	var rec T
	if err := wire.DecodeValue(raw, &rec); err != nil {
		u.mark(key, err)
		return rec, false
	}
	delete(u.errs, key)
	return rec, true
}

func (u *unreadableRecords) mark(key string, err error) {
	u.log.Error("record not understood", "key", key, "err", err)
	u.errs[key] = err
}

// keys lists the keys of the unreadable records in order.
func (u *unreadableRecords) keys() []string { return slices.Sorted(maps.Keys(u.errs)) }

// mayHold returns the key and the error of the first unreadable record that may hold the job. The key is
// empty if there is none.
func (u *unreadableRecords) mayHold(job string) (key string, err error) {
	if len(u.errs) == 0 {
		return "", nil
	}
	for _, key := range u.keys() {
		switch Kind(key) {
		case KindBatch, KindRecent:
			return key, u.errs[key]
		case KindJob:
			if key == JobKey(job) {
				return key, u.errs[key]
			}
		}
	}
	return "", nil
}
