// Package config reads and checks the two files of settings: the platform's
// (JSON, unknown fields ignored) and the operators' own (INI, unknown keys
// refused).
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"amberdeal.example/amberdeal/internal/writers"
)

// Config is everything that a controller is told when it starts.
type Config struct {
	Name, Zone           string
	PublicAddr, PeerAddr string
	Peers                []Peer
	CloudAddr, StoreAddr string
	Zones                []string
	Teams                []Team
	Objectives           []Objective
	Workers              Workers
	Store                Store
	Cloud                Cloud
	Limits               Limits
	Tuning               Tuning
}

// Peer is another controller.
type Peer struct {
	Name string `json:"host_name"`
	Zone string `json:"location"`
	Addr string `json:"peer_addr"`
}

// Team is a team with what it is guaranteed and what it may use at most.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective repeats an aim of the users.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// Workers holds the timing of the workers' protocol.
type Workers struct {
	HeartbeatInterval, Lease, GangWait, GangPeer, Cancel time.Duration
}

// MinCancelMargin is what must lie between a worker's lease and the time for a cancellation.
const MinCancelMargin = 4 * time.Second

// MaxCancelStaleness is how old what a controller knows of cancellations may be when it answers a
// worker. The answer lets tasks live for another lease, so that a cancellation that was
// confirmed just after is kept within its time by what is left of that: less the drift of two
// clocks over the whole, and a margin for timers that fire late.
func (w Workers) MaxCancelStaleness() time.Duration {
	margin := w.Cancel - w.Lease
	return max(0, margin-min(5*time.Second, margin/4)-w.Cancel/1000)
}

// Store holds the limits of the state service.
type Store struct {
	RPS, WriteRPS float64
	ValueBytes    int
	TxnOps        int
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS     float64
	ListLag time.Duration
}

// Limits bounds this process.
type Limits struct {
	RAMBytes int64
	Files    int
}

// Writers gives how many controllers write what users wait for.
func (c *Config) Writers() writers.Policy {
	return writers.PolicyFor(len(c.Peers)+1, c.Tuning.Writers)
}

// HeartbeatTimeout is how long a machine may be silent before it is given up: somewhat
// more than the longest time between two reports.
func (c *Config) HeartbeatTimeout() time.Duration {
	if c.Tuning.HeartbeatTimeout > 0 {
		return c.Tuning.HeartbeatTimeout
	}
	return c.Workers.HeartbeatInterval*5/4 + 3250*time.Millisecond
}

// Load reads the platform's file and, where named, the operators' file. The
// error joins every fault found.
func Load(path, settings string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(b)
	if c == nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if settings != "" {
		text, rerr := os.ReadFile(settings)
		if rerr == nil {
			rerr = errors.Join(c.Tuning.parse(text), c.checkShards(), c.checkGrants(), c.checkSpread(), c.checkTiers())
		}
		err = errors.Join(err, rerr)
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}
