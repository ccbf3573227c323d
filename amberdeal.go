// Package amberdeal is a cluster scheduler that programs can embed: New creates a controller from
// its settings, and Run serves until the context is cancelled.
//
// Each controller serves users and workers. One controller at a time leads the fleet and decides
// which task runs on which machine. The leader is elected through a lease in the state service and
// identified by a fencing token that only increases. See docs/design.md.
package amberdeal

import (
	"context"
	"log/slog"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/controller"
	"amberdeal.example/amberdeal/internal/transport"
)

// Config holds the settings of a controller. Load reads and validates them.
type Config = config.Config

// Load reads the platform's settings file at path and, unless settingsPath is empty, the operators' INI file.
func Load(path, settingsPath string) (*Config, error) { return config.Load(path, settingsPath) }

// Service is one controller.
type Service struct{ controller *controller.Controller }

// New creates a controller. It opens no files or connections yet.
func New(cfg *Config, log *slog.Logger) *Service {
	return &Service{controller.New(transport.TCPNetwork{Log: log}, cfg, log)}
}

// Run serves until the context is cancelled.
func (s *Service) Run(ctx context.Context) error { return s.controller.Run(ctx) }
