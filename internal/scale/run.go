package scale

import (
	"context"
	"fmt"
	"os"

	"amberdeal.example/amberdeal/internal/outcomefile"
)

// Runner runs the steps of a plan.
type Runner struct {
	Plan    *Plan
	Out     string // directory of the outcomes and tables
	Program string // path of the amberdeal binary
	Port    int    // first of the cluster's ports on 127.0.0.1
	// Progress is called after each step. resumed says that an earlier run had completed the step.
	Progress func(step Point, resumed bool)
}

// Run runs every step that has no outcome yet, and returns the outcomes of all complete steps. If the context
// ends or a step fails, the outcomes so far are kept on disk and returned with the error.
func (r *Runner) Run(ctx context.Context) ([]*Outcome, error) {
	if err := os.MkdirAll(r.Out, 0o755); err != nil {
		return nil, fmt.Errorf("creating the output directory: %w", err)
	}
	var outcomes []*Outcome
	for _, step := range r.Plan.Steps() {
		o, resumed, err := r.step(ctx, step)
		if err != nil {
			return outcomes, fmt.Errorf("%v: %w", step, err)
		}
		outcomes = append(outcomes, o)
		r.Progress(step, resumed)
	}
	return outcomes, writeTable(r.Out, outcomes)
}

// step returns the outcome of a step, from an earlier run if there is one.
func (r *Runner) step(ctx context.Context, step Point) (o *Outcome, resumed bool, err error) {
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
