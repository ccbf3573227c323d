// Command amberdeal runs a controller of the amberdeal cluster scheduler, its agents and its blob store, and is the
// client of a running service.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"amberdeal.example/amberdeal"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type cli struct {
	Dev     devCmd     `cmd:"" help:"Run a small cluster on loopback to try things out: needs no files and no root."`
	Emulate emulateCmd `cmd:"" help:"Emulate a state service, a cloud and machines on loopback, for controllers to run against."`
	Fault   faultCmd   `cmd:"" help:"Inject faults into a cluster that emulate or dev runs."`
	Load    loadCmd    `cmd:"" help:"Put open-loop load on a running service, and check its answers."`
	Serve   serveCmd   `cmd:"" help:"Run a controller until SIGTERM or SIGINT."`
	Check   checkCmd   `cmd:"" help:"Check settings and print every fault, without opening a connection."`
	Cas     casCmd     `cmd:"" help:"Store blobs and action results for build tools and their workers."`
	Agent   agentCmd   `cmd:"" help:"Run the agent of a machine: send heartbeats to the controllers and execute the actions of build tools."`
	Reapi   reapiCmd   `cmd:"" help:"Execute commands through the Remote Execution API."`
	Version versionCmd `cmd:"" help:"Print the version."`
	Submit  submitCmd  `cmd:"" help:"Submit a job to a running service."`
	Status  statusCmd  `cmd:"" help:"Print the status of a job."`
	Abort   abortCmd   `cmd:"" help:"Cancel a job."`
	Top     topCmd     `cmd:"" help:"Show the status of a running fleet, from the controllers' metrics addresses."`
	State   stateCmd   `cmd:"" help:"Inspect, export, verify and import the content of the state service."`
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("amberdeal"), kong.UsageOnError(),
		kong.Description("A scheduler for clusters of rented machines: jobs in, tasks on machines out."))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		fmt.Fprintln(os.Stderr, "Run amberdeal --help for usage.")
		os.Exit(exitSettings)
	}
	if err := ctx.Run(); err != nil {
		var exit commandExitError
		if errors.As(err, &exit) {
			os.Exit(exit.code)
		}
		fmt.Fprintf(os.Stderr, "amberdeal: %v\n", err)
		if errors.As(err, new(settingsError)) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

// settingsError reports invalid settings or flags. The program then exits with exitSettings.
type settingsError struct{ error }

// settingsFlags name the settings files of a controller.
type settingsFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings (JSON)."`
	Settings string `placeholder:"FILE.ini" help:"The operators' own settings (INI)."`
}

func (f settingsFlags) load() (*amberdeal.Config, error) {
	cfg, err := amberdeal.Load(f.Config, f.Settings)
	if err != nil {
		return nil, settingsError{fmt.Errorf("settings:\n%w", err)}
	}
	return cfg, nil
}

type serveCmd struct{ settingsFlags }

// Run runs a controller until SIGTERM or SIGINT.
func (s serveCmd) Run() error {
	cfg, err := s.load()
	if err != nil {
		return err
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // a controller is allotted a fraction of one core
	debug.SetMemoryLimit(cfg.Limits.RAMBytes * 6 / 10)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return amberdeal.New(cfg, log).Run(ctx)
}

type checkCmd struct{ settingsFlags }

// Run checks the settings and prints a summary of valid ones.
func (c checkCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("settings of %s are valid: %d siblings, %d teams, %d zones\n", cfg.Name, len(cfg.Peers), len(cfg.Teams), len(cfg.Zones))
	return nil
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				version += " " + s.Value
			}
		}
	}
	fmt.Println("amberdeal", version)
	return nil
}
