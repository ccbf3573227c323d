package scale

import (
	"context"
	"fmt"
	"os"

	"amberdeal.example/amberdeal/internal/outcomefile"
)

// Runner runs a plan.
type Runner struct {
	Plan    *Plan
	Out     string // directory of the results
	Program string // path of the amberdeal binary
	Port    int    // first port of a cluster
	// Progress is called when a step is over, with whether an earlier run had completed it.
	Progress func(step Point, before bool)
}

// Run runs every step that is not complete yet, and returns the outcomes of all complete steps. If
// the context ends or a step fails these are kept, and returned with the error.
func (r *Runner) Run(ctx context.Context) ([]*Outcome, error) {
	if err := os.MkdirAll(r.Out, 0o755); err != nil {
		return nil, fmt.Errorf("making the directory of the results: %w", err)
	}
	var all []*Outcome
	for _, step := range r.Plan.Steps() {
		o, before, err := r.step(ctx, step)
		if err != nil {
			return all, fmt.Errorf("%v: %w", step, err)
		}
		all = append(all, o)
		r.Progress(step, before)
	}
	return all, writeTable(r.Out, all)
}

func (r *Runner) step(ctx context.Context, step Point) (o *Outcome, before bool, err error) {
	if o, err = loadOutcome(r.Out, step); o != nil || err != nil {
		return o, true, err
	}
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	if o, err = runStep(ctx, r.Plan, step, r.Program, r.Port); err != nil {
		return nil, false, err
	}
	return o, false, outcomefile.Save(outcomeFile(r.Out, step), o)
}
