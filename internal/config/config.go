// Package config reads and validates the two settings files: the platform's (JSON, unknown
// fields are ignored, since later versions of the platform may add some) and the operators'
// own (INI, unknown keys are refused, since they are misspelt). Every fault found in a file
// is reported at once.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"amberdeal.example/amberdeal/internal/writers"
)

// Config holds all settings of a controller.
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

// Team is a team with its guarantee (CPUs, GPUs) and its limit (CPUsMax, GPUsMax); a limit of
// 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective of the users.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// Workers holds the timing of the workers' protocol.
type Workers struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // that a controller's answer extends; tasks end when it expires
	GangWait          time.Duration // for which a gang's task waits for the others
	GangPeer          time.Duration // after which a gang's task ends that has lost the others
	Cancel            time.Duration // in which a confirmed cancellation must have taken effect
}

// MinCancelMargin is the least time between the expiry of a worker's lease and the time by
// which a cancellation must have taken effect.
const MinCancelMargin = 4 * time.Second

// MaxCancelStaleness is how old a controller's knowledge of cancellations may be when it
// answers a worker. The answer extends the lease of the worker's tasks. A cancellation that
// was confirmed just after that knowledge was read must still take effect in time, so that
// only the difference between Cancel and Lease is left, less the drift of two clocks over
// the whole time and a margin for timers that fire late.
func (w Workers) MaxCancelStaleness() time.Duration {
	margin := w.Cancel - w.Lease
	late := min(maxTimerDelay, margin/4)
	drift := w.Cancel / clockDriftDivisor
	return max(0, margin-late-drift)
}

// Bounds of what makes a worker's timer fire later than the controllers expect.
const (
	maxTimerDelay     = 5 * time.Second
	clockDriftDivisor = 1000 // two clocks differ by at most a thousandth of the time that passes
)

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

// Limits bounds the resources of this process.
type Limits struct {
	RAMBytes int64
	Files    int
}

// Writers returns the policy of which controllers write users' submissions.
func (c *Config) Writers() writers.Policy {
	return writers.PolicyFor(len(c.Peers)+1, c.Tuning.Writers)
}

// HeartbeatTimeout is the time without a heartbeat after which a machine counts as failed:
// somewhat more than the longest time between two heartbeats.
func (c *Config) HeartbeatTimeout() time.Duration {
	if c.Tuning.HeartbeatTimeout > 0 {
		return c.Tuning.HeartbeatTimeout
	}
	return c.Workers.HeartbeatInterval*5/4 + heartbeatGrace
}

// heartbeatGrace is how long a heartbeat may take to arrive beyond the longest interval, which
// is a quarter more than HeartbeatInterval.
const heartbeatGrace = 3250 * time.Millisecond

// Load reads the platform's file and, if it is named, the operators' file. The error joins
// every fault found.
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
