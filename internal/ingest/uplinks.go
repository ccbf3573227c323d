package ingest

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Edges are the edges of a controller, one to each sibling: where the fleet is in several
// parts, each of them may hold some.
type Edges struct {
	Edges map[string]*Edge
	// Holder names the sibling that holds a machine's part, empty for none.
	Holder func(r *wire.Report) string
}

// Open names the siblings that reports can be passed on to, in order.
func (w *Edges) Open() []string {
	var out []string
	for name, e := range w.Edges {
		if e.Passes() != "" {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Passes names the first sibling that reports can be passed on to, empty for none.
func (w *Edges) Passes() (first string) {
	for name, e := range w.Edges { // asked for with each report
		if (first == "" || name < first) && e.Passes() != "" {
			first = name
		}
	}
	return first
}

// Pass gives a report to the holder of its machine's part, as Edge.Pass does.
func (w *Edges) Pass(ctx context.Context, r *wire.Report) (v worker.Verdict, ok bool) {
	if e := w.Edges[w.Holder(r)]; e != nil {
		return e.Pass(ctx, r)
	}
	return worker.Verdict{}, false
}

// Lately reports whether a way to a holder is expected to open soon.
func (w *Edges) Lately() bool {
	for _, e := range w.Edges {
		if e.Lately() {
			return true
		}
	}
	return false
}

// Counts sums what the edges have done.
func (w *Edges) Counts() (sum Counts) {
	for _, e := range w.Edges {
		c := e.Counts()
		sum.Passed += c.Passed
		sum.Lost += c.Lost
	}
	return sum
}

// Run keeps the ways until the context ends.
func (w *Edges) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range w.Edges {
		g.Go(func() error { return e.Run(ctx) })
	}
	return g.Wait()
}
