// Command amberdeal-lab compares settings of amberdeal in emulated worlds, and measures what it costs
// as they grow. It is a program of its own, since what draws its plots and writes its tables would cost every controller memory.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"

	"amberdeal.example/amberdeal/internal/experiment"
)

// Exit codes, as amberdeal's.
const (
	exitFailed   = 1
	exitSettings = 2
)

// settingsError is a fault of what was asked for.
type settingsError struct{ error }

type cli struct {
	Experiment experimentCmd `cmd:"" help:"Compare settings in worlds with faults, over seeds, and report."`
	Scale      scaleCmd      `cmd:"" help:"Measure what each role costs as a site grows, and predict a larger one."`
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("amberdeal-lab"), kong.UsageOnError(), kong.Description("Experiments with amberdeal in emulated worlds."))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(exitSettings)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "amberdeal-lab: %v\n", err)
		if errors.As(err, new(settingsError)) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

type experimentCmd struct {
	File    string `arg:"" optional:"" help:"What is played (INI, as deploy/experiment/experiment.ini)."`
	Out     string `required:"" placeholder:"DIR" help:"Where the outcomes, the columnar files and the report go. What is there was played already."`
	Program string `placeholder:"FILE" help:"Path of amberdeal, whose controllers take part; by default beside this program."`
	Against string `placeholder:"DIR" help:"Outcomes of another run, to be shown beside."`
}

// Run plays an experiment, or goes on with one, and writes its report. Without a file it only
// writes the report of what is there.
func (e experimentCmd) Run() error {
	var all, against []*experiment.Outcome
	var err error
	if e.File == "" {
		if all, err = experiment.Read(e.Out); err != nil {
			return settingsError{err}
		}
	} else if all, err = e.play(); err != nil {
		return err
	}
	if e.Against != "" {
		if against, err = experiment.Read(e.Against); err != nil {
			return settingsError{err}
		}
	}
	report := filepath.Join(e.Out, "report.html")
	if err := experiment.Report(report, all, against); err != nil {
		return err
	}
	fmt.Println(report)
	broken := 0
	for _, o := range all {
		broken += len(o.Result.Violations) + len(o.Result.Open)
	}
	if broken > 0 {
		return fmt.Errorf("%d rules were broken or jobs not over: see the report", broken)
	}
	return nil
}

// programAt gives the path of amberdeal: the one that is named, or that beside this program.
func programAt(named string) (string, error) {
	if named == "" {
		me, err := os.Executable()
		if err != nil {
			return "", err
		}
		named = filepath.Join(filepath.Dir(me), "amberdeal")
	}
	if _, err := os.Stat(named); err != nil {
		return "", settingsError{fmt.Errorf("--program: %w", err)}
	}
	return named, nil
}

func (e experimentCmd) play() ([]*experiment.Outcome, error) {
	plan, err := experiment.Parse(e.File)
	if err != nil {
		return nil, settingsError{fmt.Errorf("%s:\n%w", e.File, err)}
	}
	if e.Program, err = programAt(e.Program); err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	bar := progressbar.NewOptions(len(plan.Cells()), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("cells"), progressbar.OptionShowCount())
	_ = bar.RenderBlank()
	r := experiment.Runner{Plan: plan, Out: e.Out, Program: e.Program, Log: slog.New(slog.DiscardHandler), Progress: func(_ experiment.Cell, over, _ int, _ bool) {
		_ = bar.Set(over)
	}}
	all, err := r.Run(ctx)
	fmt.Fprintln(os.Stderr)
	return all, err
}
