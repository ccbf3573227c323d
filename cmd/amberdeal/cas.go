package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"amberdeal.example/amberdeal/internal/cas"
)

type casCmd struct {
	Dir    string        `required:"" placeholder:"DIR" help:"Where blobs and results are kept; made if need be."`
	Listen string        `default:"127.0.0.1:8980" placeholder:"IP:PORT" help:"Address of the service."`
	MaxGB  float64       `name:"max-gb" default:"20" help:"Size of all blobs; the least recently used make room."`
	Keep   time.Duration `default:"15m" help:"For how long a blob that was used is not evicted."`
	Calls  int           `default:"1000" help:"Open calls and streams; more are refused at once."`
}

// newLogger returns a logger to standard error with the level of LOG_LEVEL, info by default.
func newLogger() (*slog.Logger, error) {
	level := slog.LevelInfo
	if text := os.Getenv("LOG_LEVEL"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return nil, settingsError{fmt.Errorf("LOG_LEVEL: %q: must be error, warn, info or debug", text)}
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// Run serves blobs until SIGTERM or SIGINT.
func (c casCmd) Run() error {
	log, err := newLogger()
	if err != nil {
		return err
	}
	switch {
	case c.MaxGB <= 0:
		return settingsError{fmt.Errorf("--max-gb: %v: must be above 0", c.MaxGB)}
	case c.Calls < 1:
		return settingsError{fmt.Errorf("--calls: %d: must be 1 or more", c.Calls)}
	case c.Keep < 0:
		return settingsError{fmt.Errorf("--keep: %v: must be 0 or more", c.Keep)}
	}
	disk, err := cas.Open(c.Dir, int64(c.MaxGB*(1<<30)), c.Keep)
	if err != nil {
		return err
	}
	lis, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	limits := cas.DefaultLimits
	limits.Calls = c.Calls
	server := cas.NewServer(disk, limits, log)
	cancelStop := context.AfterFunc(ctx, server.Stop)
	defer cancelStop()
	s := disk.Stats()
	log.Info("serving blobs", "dir", c.Dir, "addr", lis.Addr(), "blobs", s.Blobs, "bytes", s.Bytes, "limit", s.Limit)
	return server.Serve(lis)
}
