package snapshot

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// fakeService is a simulated state service that may fail at one of its writes.
type fakeService struct {
	*simulator.StateService
	failAt    int    // number of the write that fails, counted from 1; 0 for none
	afterPage func() // called after each page
}

var errInterrupted = errors.New("interrupted")

func (s *fakeService) List(_ context.Context, prefix, after string, limit int) (*wire.KeyValueList, error) {
	page := s.Page(prefix, after, limit)
	if s.afterPage != nil {
		s.afterPage()
	}
	return page, nil
}

func (s *fakeService) Changes(_ context.Context, prefix string, from uint64, _ time.Duration) (*wire.WatchResponse, error) {
	ch, ok := s.Since(prefix, from)
	if !ok {
		return nil, store.ErrCompacted
	}
	return ch, nil
}

func (s *fakeService) Txn(_ context.Context, t wire.Txn) (uint64, error) {
	if s.failAt--; s.failAt == 0 {
		return 0, errInterrupted
	}
	status, res := s.Commit(t)
	switch status {
	case 200:
		return res.Revision, nil
	case 409:
		return 0, &store.ConflictError{Keys: res.Failed}
	}
	return 0, fmt.Errorf("status %d", status)
}

func newFakeService() *fakeService {
	return &fakeService{StateService: simulator.NewStateService(1, 0)}
}

func (s *fakeService) put(t *testing.T, key string, v any) {
	t.Helper()
	if status, _ := s.Commit(wire.Txn{Then: []wire.Operation{{Put: key, Value: v}}}); status != 200 {
		t.Fatalf("%s: %d", key, status)
	}
}

// pending returns the record of a pending job.
func pending(id string) store.JobRecord {
	return store.JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
}

// newSampleState returns a state service with many kinds of keys. Segments and batches were not
// written in the order of their names.
func newSampleState(t *testing.T) *fakeService {
	s := newFakeService()
	s.put(t, store.FormatKey, store.FormatRecord{Format: store.Format})
	s.put(t, store.FencingTokenKey, uint64(41))
	s.put(t, store.BatchKey("z"), store.BatchRecord{Jobs: map[string]store.JobRecord{"wk-1": pending("wk-1")}})
	s.put(t, store.BatchKey("a"), store.BatchRecord{Jobs: map[string]store.JobRecord{"wk-1": pending("wk-1"), "wk-2": pending("wk-2")}})
	s.put(t, store.SegmentKey("fleet", 1), store.SegmentRecord{FencingToken: 40, Round: 1, Entries: map[string]wire.Raw{}})
	s.put(t, store.SegmentKey("fleet", 0), store.SegmentRecord{FencingToken: 41, Round: 2, Entries: map[string]wire.Raw{}})
	s.put(t, store.BatchKey("z"), store.BatchRecord{Since: 3, Jobs: map[string]store.JobRecord{"wk-1": pending("wk-1")}}) // updated
	s.put(t, store.LeaderKey("fleet"), store.LeaderRecord{Leader: "c-0", FencingToken: 41, Format: store.Format})
	s.put(t, store.RecentKey(0), jobblock.Pack("", []jobblock.Entry{{ID: "wk-8", Stage: wire.Done, Tasks: 1}}))
	for i := range 40 {
		to, from := fmt.Sprintf("02%02d", i+10), fmt.Sprintf("02%02d", i+9)
		if i == 0 {
			from = ""
		}
		if i == 39 {
			to = "~"
		}
		s.put(t, store.ArchivePrefix+to, jobblock.Pack(from, nil))
	}
	return s
}

func noExportProgress(int, string) {}
func noImportProgress(int, int)    {}

// TestExportAndImport exports a state and imports it into an empty service, with an interruption.
// All keys except the leader record must be present, in the same order, with a fencing token
// counter above all tokens that workers may have seen.
func TestExportAndImport(t *testing.T) {
	from, to := newSampleState(t), newFakeService()
	items, revision, err := Export(t.Context(), from, noExportProgress)
	if err != nil {
		t.Fatal(err)
	}
	var file bytes.Buffer
	if err := Write(&file, Header{StateFormat: StateFormat(items), Revision: revision, TakenAtUnix: 1e9}, items); err != nil {
		t.Fatal(err)
	}
	h, read, sum, err := Read(bytes.NewReader(file.Bytes()))
	if err != nil || h.StateFormat != store.Format || h.Revision != revision || len(read) != len(items) {
		t.Fatalf("%+v, %d of %d keys, %v", h, len(read), len(items), err)
	}
	limits := Limits{ValueBytes: 8192, TxnOps: 12}
	to.failAt = 5
	if _, err := Import(t.Context(), to, read, sum, limits, noImportProgress); !errors.Is(err, errInterrupted) {
		t.Fatalf("interrupted import: %v", err)
	}
	if f := StateFormat(to.Page(store.StatePrefix, "", 0).Items); f <= store.Format {
		t.Errorf("an incomplete import has format %d: a controller would work on it", f)
	}
	if _, err := Import(t.Context(), to, read, "another", limits, noImportProgress); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("import of another file after the interruption: %v", err)
	}
	token, err := Import(t.Context(), to, read, sum, limits, noImportProgress)
	if err != nil || token != 41+FencingTokenMargin {
		t.Fatalf("token %d, %v", token, err)
	}
	got := map[string]wire.KeyValue{}
	for _, item := range to.Page(store.CommonPrefix, "", 0).Items {
		got[item.Key] = item
	}
	if _, led := got[store.LeaderKey("fleet")]; led || len(got) != len(items)-1 {
		t.Errorf("leader record present: %v; %d keys imported of %d", led, len(got), len(items))
	}
	if got[store.BatchKey("z")].Version >= got[store.BatchKey("a")].Version || got[store.SegmentKey("fleet", 1)].Version >= got[store.SegmentKey("fleet", 0)].Version {
		t.Error("the revision order was lost: another batch of a job or an old segment would take precedence")
	}
	var rec store.BatchRecord
	if err := wire.DecodeValue(got[store.BatchKey("z")].Value, &rec); err != nil || rec.Since != 0 {
		t.Errorf("a batch refers to revision %d of the old service", rec.Since)
	}
	if _, err := Import(t.Context(), to, read, sum, limits, noImportProgress); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("import into a service that is not empty: %v", err)
	}
}

// TestExportIsConsistent changes keys between two pages, and lets the service drop its history of
// changes once. The export must be the state at one revision, and must start again when the history
// is gone.
func TestExportIsConsistent(t *testing.T) {
	s := newSampleState(t)
	s.Limits.PageItems = 9
	n := 0
	s.afterPage = func() {
		if n++; n == 2 {
			s.put(t, store.BatchKey("a"), store.BatchRecord{})
			s.Commit(wire.Txn{Then: []wire.Operation{{Delete: store.RecentKey(0)}}})
		}
		if n == 3 {
			s.DropHistory()
		}
	}
	items, revision, err := Export(t.Context(), s, noExportProgress)
	if err != nil {
		t.Fatal(err)
	}
	s.Limits.PageItems = 0
	want := s.Page(store.CommonPrefix, "", 0)
	if n < 8 || len(items) != len(want.Items) || revision != want.Revision {
		t.Errorf("%d pages, %d of %d keys at %d", n, len(items), len(want.Items), revision)
	}
}

// TestDamagedFileIsRejected truncates an export and changes a byte of it at every position. No
// truncated file may be read, and no changed one to another state. The error for a file without a
// trailer has the last key.
func TestDamagedFileIsRejected(t *testing.T) {
	items := newSampleState(t).Page(store.CommonPrefix, "", 0).Items
	var file bytes.Buffer
	if err := Write(&file, Header{StateFormat: store.Format}, items); err != nil {
		t.Fatal(err)
	}
	complete := file.Bytes()
	for i := range complete {
		if _, _, _, err := Read(bytes.NewReader(complete[:i])); err == nil {
			t.Fatalf("a file truncated to %d bytes was read", i)
		}
		changed := bytes.Clone(complete)
		changed[i] ^= 0x55
		if h, got, _, err := Read(bytes.NewReader(changed)); err == nil {
			for k := range got {
				if got[k].Key != items[k].Key || !bytes.Equal(got[k].Value, items[k].Value) || h.StateFormat != store.Format {
					t.Fatalf("byte changed at %d: read as another state", i)
				}
			}
		}
	}
	if _, _, _, err := Read(bytes.NewReader([]byte("amberdeal-state 2\n"))); !errors.Is(err, ErrNewer) {
		t.Errorf("file in a newer format: %v", err)
	}
	if _, _, _, err := Read(bytes.NewReader([]byte("something\n"))); !errors.Is(err, ErrNotExport) {
		t.Errorf("file that is not an export: %v", err)
	}
	// A file whose compressed stream is valid, but has no trailer.
	err := readWithoutTrailer(t, items)
	if !errors.Is(err, ErrDamaged) || !bytes.Contains([]byte(err.Error()), []byte(items[3].Key)) {
		t.Errorf("file without a trailer: %v", err)
	}
}

// readWithoutTrailer writes the first four keys without a trailer, and returns the error of reading
// them.
func readWithoutTrailer(t *testing.T, items []wire.KeyValue) error {
	t.Helper()
	var file bytes.Buffer
	if err := write(&file, Header{}, items[:4], false); err != nil {
		t.Fatal(err)
	}
	_, _, _, err := Read(&file)
	return err
}

// recordingService records every transaction of an import.
type recordingService struct {
	*fakeService
	sent []wire.Txn
}

func (r *recordingService) Txn(ctx context.Context, t wire.Txn) (uint64, error) {
	r.sent = append(r.sent, t)
	return r.fakeService.Txn(ctx, t)
}

// TestLateImportWritesAreRejected repeats each write of an import after controllers have worked on
// the state: the fencing token counter has increased, and imported batches and segments are
// deleted. None of the late writes may be committed, also for a state of format 1, which has no
// format record.
func TestLateImportWritesAreRejected(t *testing.T) {
	for name, prepare := range map[string]func(s *fakeService){
		"format 2": func(*fakeService) {},
		"format 1": func(s *fakeService) {
			s.Commit(wire.Txn{Then: []wire.Operation{{Delete: store.FormatKey}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			from, to := newSampleState(t), &recordingService{fakeService: newFakeService()}
			prepare(from)
			items, _, err := Export(t.Context(), from, noExportProgress)
			if err != nil {
				t.Fatal(err)
			}
			token, err := Import(t.Context(), to, items, "sum", Limits{ValueBytes: 8192, TxnOps: 12}, noImportProgress)
			if err != nil {
				t.Fatal(err)
			}
			to.put(t, store.FencingTokenKey, token+1)
			for _, item := range to.Page(store.StatePrefix, "", 0).Items {
				if kind := store.Kind(item.Key); kind == store.KindBatch || kind == store.KindLedger {
					to.Commit(wire.Txn{Then: []wire.Operation{{Delete: item.Key}}})
				}
			}
			for _, txn := range to.sent {
				if status, _ := to.Commit(txn); status != 409 {
					t.Errorf("late copy of the write of %s: status %d", txn.Then[0].Put, status)
				}
			}
		})
	}
}
