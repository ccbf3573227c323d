package main

import (
	"fmt"
	"os"
	"time"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/agent"
	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/transport"
)

type agentCmd struct {
	Config string `required:"" placeholder:"FILE.ini" help:"The agent's settings (INI)."`
}

// Run runs the agent until SIGTERM or SIGINT, and then kills every task.
func (a agentCmd) Run() error {
	log, err := newLogger()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(a.Config)
	if err != nil {
		return settingsError{err}
	}
	cfg, err := agent.ParseConfig(text)
	if err != nil {
		return settingsError{fmt.Errorf("%s:\n%w", a.Config, err)}
	}
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return err
	}
	blobs, err := cas.Dial(cfg.Store, "")
	if err != nil {
		return err
	}
	defer blobs.Close()
	ctx, stop := interruptContext()
	defer stop()
	now := time.Now()
	// The start time in milliseconds is the incarnation: it differs from that of every earlier process of this
	// machine.
	core := agent.NewCore(cfg.Identity, cfg.Lease, uint64(now.UnixMilli()), now)
	log.Info("agent started", "machine", cfg.Identity.Machine, "addr", cfg.Listen, "controllers", len(cfg.Controllers))
	return (&agent.Agent{Core: core, Net: transport.TCPNetwork{Log: log}, Listen: cfg.Listen, Controllers: cfg.Controllers, HeartbeatInterval: cfg.HeartbeatInterval, Capacity: cfg.Capacity, Log: log,
		Actions: &action.Runner{Store: blobs, Dir: cfg.Dir, Worker: cfg.Identity.Machine, Limits: action.DefaultLimits}}).Run(ctx)
}
