// Package amberdeal is a cluster scheduler that programs can embed: New makes
// a controller from its settings, Run serves until the context ends.
//
// Each controller answers users and workers; one of them at a time holds the
// fleet, through a lease on the state service and a fencing token that only rises, and
// decides what runs where. See docs/design.md.
package amberdeal

import (
	"context"
	"log/slog"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/controller"
	"amberdeal.example/amberdeal/internal/transport"
)

// Config is what a controller is told; Load reads and checks it.
type Config = config.Config

// Load reads the platform's file and, where named, the operators' INI file.
func Load(path, settings string) (*Config, error) { return config.Load(path, settings) }

// Service is one controller.
type Service struct{ controller *controller.Controller }

// New makes a controller; it opens nothing yet.
func New(cfg *Config, log *slog.Logger) *Service {
	return &Service{controller.New(transport.Sockets{Log: log}, cfg, log)}
}

// Run serves until the context ends.
func (s *Service) Run(ctx context.Context) error { return s.controller.Run(ctx) }
