package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/schollz/progressbar/v3"

	"amberdeal.example/amberdeal/internal/scale"
)

type scaleCmd struct {
	File    string `arg:"" optional:"" help:"The steps (INI, as deploy/scale.ini); by default those of that file."`
	Out     string `required:"" placeholder:"DIR" help:"Directory of the outcomes, the columnar file and the tables. Steps that exist are not run again."`
	Program string `placeholder:"FILE" help:"Path of amberdeal, whose controllers and agents are run; by default beside this program."`
	Port    int    `default:"8100" help:"The first of the cluster's ports on 127.0.0.1."`
	JSON    bool   `name:"json" help:"Print the outcomes as JSON instead of tables."`
}

// Run runs or resumes a scale run, and prints its outcomes.
func (s scaleCmd) Run() error {
	plan, err := s.plan()
	if err != nil {
		return err
	}
	if s.Program, err = findProgram(s.Program); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	bar := progressbar.NewOptions(len(plan.Steps()), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("steps"), progressbar.OptionShowCount())
	_ = bar.RenderBlank()
	runner := scale.Runner{Plan: plan, Out: s.Out, Program: s.Program, Port: s.Port, Progress: func(scale.Point, bool) { _ = bar.Add(1) }}
	outcomes, err := runner.Run(ctx)
	fmt.Fprintln(os.Stderr)
	return errors.Join(err, s.report(plan, outcomes), violations(outcomes))
}

// plan reads the plan, and rejects it if a step requires more than this machine has.
func (s scaleCmd) plan() (*scale.Plan, error) {
	plan := scale.DefaultPlan()
	if s.File != "" {
		var err error
		if plan, err = scale.Parse(s.File); err != nil {
			return nil, settingsError{fmt.Errorf("%s:\n%w", s.File, err)}
		}
	}
	limits, err := scale.ReadHostLimits()
	if err != nil {
		return nil, err
	}
	if err := plan.CheckResources(limits); err != nil {
		return nil, settingsError{fmt.Errorf("this machine lacks the resources for:\n%w", err)}
	}
	return plan, nil
}

// report writes the tables to scale.md, and prints them, or the outcomes as JSON.
func (s scaleCmd) report(plan *scale.Plan, outcomes []*scale.Outcome) error {
	tables := scale.Report(plan, outcomes)
	if err := os.WriteFile(filepath.Join(s.Out, "scale.md"), []byte(tables), 0o644); err != nil {
		return err
	}
	if !s.JSON {
		fmt.Print(tables)
		return nil
	}
	text, err := json.MarshalIndent(outcomes, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

// maxViolations is the number of violated rules that are listed for each step; the outcomes contain all of them.
const maxViolations = 10

// violations returns an error if a rule was violated in any step.
func violations(outcomes []*scale.Outcome) error {
	var errs []error
	for _, o := range outcomes {
		for _, violation := range o.Violations[:min(maxViolations, len(o.Violations))] {
			errs = append(errs, fmt.Errorf("%v: %s", o.Step, violation))
		}
		if more := len(o.Violations) - maxViolations; more > 0 {
			errs = append(errs, fmt.Errorf("%v: %d more rules were violated", o.Step, more))
		}
	}
	return errors.Join(errs...)
}
