// Command amberdeal-lab compares settings of amberdeal in emulated clusters, and measures its resource usage as
// they grow. It is a separate program because its libraries for plots and tables would increase the memory usage
// of every controller.
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

// Exit codes, the same as those of amberdeal.
const (
	exitFailed   = 1
	exitSettings = 2
)

// settingsError reports invalid settings or flags. The program then exits with exitSettings.
type settingsError struct{ error }

type cli struct {
	Experiment experimentCmd `cmd:"" help:"Compare settings in emulated clusters with faults, over several seeds, and write a report."`
	Scale      scaleCmd      `cmd:"" help:"Measure the cost of each role as a site grows, and predict that of a larger site."`
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("amberdeal-lab"), kong.UsageOnError(), kong.Description("Experiments with amberdeal in emulated clusters."))
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
	File    string `arg:"" optional:"" help:"The experiment (INI, as deploy/experiment/experiment.ini); by default only the report is written."`
	Out     string `required:"" placeholder:"DIR" help:"Directory of the outcomes, the columnar files and the report. Outcomes that exist are not run again."`
	Program string `placeholder:"FILE" help:"Path of amberdeal, whose controllers are run; by default beside this program."`
	Against string `placeholder:"DIR" help:"Outcomes of another run, to compare with."`
}

// Run runs or resumes an experiment and writes its report. Without a file it only writes the report
// of the outcomes that exist.
func (e experimentCmd) Run() error {
	var outcomes, against []*experiment.Outcome
	var err error
	if e.File == "" {
		if outcomes, err = experiment.Read(e.Out); err != nil {
			return settingsError{err}
		}
	} else if outcomes, err = e.run(); err != nil {
		return err
	}
	if e.Against != "" {
		if against, err = experiment.Read(e.Against); err != nil {
			return settingsError{err}
		}
	}
	report := filepath.Join(e.Out, "report.html")
	if err := experiment.Report(report, outcomes, against); err != nil {
		return err
	}
	fmt.Println(report)
	failures := 0
	for _, o := range outcomes {
		failures += len(o.Result.Violations) + len(o.Result.Open)
	}
	if failures > 0 {
		return fmt.Errorf("%d rules were violated or jobs have not ended: see the report", failures)
	}
	return nil
}

// findProgram returns the path of the amberdeal binary: the given path, or the one in the directory of this program.
func findProgram(path string) (string, error) {
	if path == "" {
		executable, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(executable), "amberdeal")
	}
	if _, err := os.Stat(path); err != nil {
		return "", settingsError{fmt.Errorf("--program: %w", err)}
	}
	return path, nil
}

// run runs the cells of the experiment that have no outcome yet, and returns all outcomes.
func (e experimentCmd) run() ([]*experiment.Outcome, error) {
	plan, err := experiment.Parse(e.File)
	if err != nil {
		return nil, settingsError{fmt.Errorf("%s:\n%w", e.File, err)}
	}
	if e.Program, err = findProgram(e.Program); err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	bar := progressbar.NewOptions(len(plan.Cells()), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("cells"), progressbar.OptionShowCount())
	_ = bar.RenderBlank()
	r := experiment.Runner{Plan: plan, Out: e.Out, Program: e.Program, Log: slog.New(slog.DiscardHandler), Progress: func(_ experiment.Cell, completed, _ int, _ bool) {
		_ = bar.Set(completed)
	}}
	outcomes, err := r.Run(ctx)
	fmt.Fprintln(os.Stderr)
	return outcomes, err
}
