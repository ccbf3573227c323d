package archive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// world is a state service and a controller that folds, driven step by step. It
// implements what a Folder and a Reader need of a store.
type world struct {
	t       testing.TB
	store   *simulator.Store
	view    *store.View
	reader  *Reader
	folder  *Folder
	ending  map[string]bool
	held    []wire.Txn // on their way, to be delivered late
	fate    string     // of the next writes of the folder
	left    int        // writes of the folder until it crashes, below 0 for none
	refused error      // what the state service answers, if it is set
	claims  int
	writes  []string
	told    map[string]wire.Stage
}

var errCrash = errors.New("crashed")

func newWorld(t testing.TB, lim Limits) *world {
	w := &world{t: t, store: simulator.NewStore(1, 0), ending: map[string]bool{}, left: -1, told: map[string]wire.Stage{}}
	w.store.Limits = simulator.Limits{ValueBytes: lim.ValueBytes, TxnOps: lim.TxnOps}
	w.start(lim)
	return w
}

// start begins the controller anew: its view is read, and it claims the fleet.
func (w *world) start(lim Limits) {
	log := slog.New(slog.DiscardHandler)
	w.claims++
	w.must(wire.Txn{Then: []wire.Change{{Put: store.PartKey("fleet"), Value: store.PartRecord{Holder: "me", Term: uint64(w.claims), Format: store.Format}}}})
	w.reader = NewReader(w, 64, log)
	w.view = store.NewView(log)
	w.view.Blocks = w.reader
	page := w.store.Page(store.Root, "", 0)
	w.view.Load(page.Items, page.Revision, &wire.Changes{Revision: page.Revision})
	part, _ := w.view.Part("fleet")
	w.folder = &Folder{Store: w, View: w.view, Follow: w, Reader: w.reader, Limits: lim, Log: log,
		Fence: wire.Condition{Key: store.PartKey("fleet"), Version: part.Version}, Every: time.Microsecond, MergeAt: 4,
		Ending: func() (map[string]bool, bool) { return w.ending, true }, Valid: func() bool { return true }}
}

func (w *world) must(txn wire.Txn) uint64 {
	status, res := w.store.Commit(txn)
	if status != 200 {
		w.t.Fatalf("%d, failed %v", status, res.Failed)
	}
	return res.Revision
}

// Barrier brings the view up to date.
func (w *world) Barrier(context.Context) error {
	ch, ok := w.store.Since(store.Stem, w.view.Revision())
	if !ok {
		w.t.Fatal("a watch is too old")
	}
	w.view.Apply(ch)
	return nil
}

func (w *world) Spare(context.Context, int) error { return nil }
func (w *world) Burst() int                       { return 2 * w.folder.Limits.TxnOps }

func (w *world) List(_ context.Context, prefix, after string, limit int) (*wire.ItemList, error) {
	if w.refused != nil {
		return nil, w.refused
	}
	return w.store.Page(prefix, after, limit), nil
}

// Txn takes a write of the folder.
func (w *world) Txn(_ context.Context, txn wire.Txn) (uint64, error) {
	if w.refused != nil {
		return 0, w.refused
	}
	w.writes = append(w.writes, describe(txn)...)
	switch {
	case w.left == 0 && w.fate == "taken": // it is taken, and the folder never hears of it
		w.left = -1
		w.store.Commit(txn)
		return 0, errCrash
	case w.left == 0 && w.fate == "lost": // no answer, and it is sent again
		w.left = -1
		w.held = append(w.held, txn)
		return 0, store.ErrUnknown
	case w.left == 0:
		w.left = -1
		w.held = append(w.held, txn)
		return 0, errCrash
	case w.left > 0:
		w.left--
	}
	status, res := w.store.Commit(txn)
	switch status {
	case 200:
		return res.Revision, nil
	case 409:
		w.writes = append(w.writes, "refused on "+strings.Join(short(res.Failed), ", "))
		return 0, &store.ConflictError{Failed: res.Failed}
	}
	w.t.Fatalf("status %d for %v", status, describe(txn))
	return 0, nil
}

func short(keys []string) (out []string) {
	for _, k := range keys {
		out = append(out, strings.TrimPrefix(strings.TrimPrefix(k, store.Root), store.Stem+"-"))
	}
	slices.Sort(out)
	return out
}

func describe(txn wire.Txn) (out []string) {
	for _, c := range txn.Then {
		switch rec := c.Value.(type) {
		case jobblock.Record:
			line := fmt.Sprintf("put %s with %d jobs", short([]string{c.Put})[0], rec.Count)
			if rec.From != "" {
				line += " from " + rec.From
			}
			out = append(out, line)
		default:
			if c.Delete != "" {
				out = append(out, "drop "+short([]string{c.Delete})[0])
			} else {
				out = append(out, "put "+short([]string{c.Put})[0])
			}
		}
	}
	return out
}

// submission gives the transaction of a batch, with the gate as the view has it.
func (w *world) submission(name string, ids ...string) wire.Txn {
	rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
	for _, id := range ids {
		rec.Jobs[id] = store.JobRecord{Stage: wire.Pending, Tasks: 2, Job: &wire.Job{ID: id, Tasks: 2, Team: "red"}}
	}
	return wire.Txn{If: []wire.Condition{{Key: store.BatchKey(name)}, {Key: store.GateKey, Version: w.view.Gate().Version}},
		Then: []wire.Change{{Put: store.BatchKey(name), Value: rec}}}
}

// own gives a job a key of its own, as version 1 did.
func (w *world) own(id string, stage wire.Stage) wire.Txn {
	rec := store.JobRecord{Stage: wire.Pending, Tasks: 2, Job: &wire.Job{ID: id, Tasks: 2, Team: "red"}}
	if stage.Final() {
		rec = rec.End(stage, time.Unix(1e9, 0))
	}
	return wire.Txn{Then: []wire.Change{{Put: store.JobKey(id), Value: rec}}}
}

// end gives the transaction that ends a live job.
func (w *world) end(id string, stage wire.Stage) wire.Txn {
	l, ok := w.view.Live(id)
	if !ok {
		w.t.Fatalf("%s is not live", id)
	}
	r := l.Home.Rewrite()
	r.End(id, stage, time.Unix(1e9, 0))
	return wire.Txn{If: []wire.Condition{r.If()}, Then: []wire.Change{r.Change()}}
}

// ask tells what a user is answered about a job, as every controller finds it.
func (w *world) ask(id string) string {
	if rec, known := w.view.Job(id); known {
		return string(rec.Stage)
	}
	doubt, _ := w.view.Doubt(id)
	e, known, err := w.reader.Find(context.Background(), id)
	switch {
	case err != nil:
		return "come back: " + strings.TrimPrefix(err.Error(), store.Stem+"-")
	case !known && doubt != "":
		return "come back: " + short([]string{doubt})[0]
	case !known:
		return "not known"
	}
	return string(e.Stage)
}
