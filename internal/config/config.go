// Package config reads and validates the two settings files. The platform's file is JSON; unknown
// fields are ignored, since later versions of the platform may add some. The operators' file is
// INI; unknown keys are rejected, since they are probably misspelt. All errors found in a file are
// reported together.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"amberdeal.example/amberdeal/internal/writers"
)

// Config holds all settings of a controller, of both files.
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

// Team is a team with its guaranteed resources (CPUs, GPUs) and its limits (CPUsMax, GPUsMax). A
// limit of 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective (SLO) of the users.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// Workers holds the timing of the worker protocol.
type Workers struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // of a worker; responses to its heartbeats renew it, and its tasks end when it expires
	GangStartTimeout  time.Duration // for which a task of a gang waits for the others to start
	GangPeerTimeout   time.Duration // after which a task of a gang that has lost the others ends
	CancelTimeout     time.Duration // within which a confirmed cancellation must take effect
}

// MinCancelMargin is the minimum difference between Workers.Cancel and Workers.Lease, the time from
// the expiry of a worker's lease to the time by which a cancellation must have taken effect.
const MinCancelMargin = 4 * time.Second

// MaxCancelStaleness is the maximum age of a controller's information about cancellations when it
// responds to a worker. The response renews the lease of the worker's tasks. A cancellation that
// was confirmed just after the information was read must still take effect within Cancel. This
// leaves the difference between Cancel and Lease, minus the drift between two clocks over the
// whole time and a margin for timers that fire late.
func (w Workers) MaxCancelStaleness() time.Duration {
	difference := w.CancelTimeout - w.Lease
	timerDelay := min(maxTimerDelay, difference/4)
	drift := w.CancelTimeout / clockDriftDivisor
	return max(0, difference-timerDelay-drift)
}

// Bounds of the effects that make a worker's timer fire later than the controllers expect.
const (
	maxTimerDelay     = 5 * time.Second
	clockDriftDivisor = 1000 // two clocks drift apart by at most a thousandth of the elapsed time
)

// Store holds the limits of the state service: requests and writes per second, bytes per value, and operations
// per transaction.
type Store struct {
	RPS, WriteRPS float64
	ValueBytes    int
	TxnOps        int
}

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS     float64       // calls per second
	ListLag time.Duration // by which machine lists may be out of date
}

// Limits holds the resource limits of this process.
type Limits struct {
	RAMBytes  int64
	OpenFiles int // open file descriptors
}

// Writers returns the policy that determines which controllers write users' submissions.
func (c *Config) Writers() writers.Policy {
	return writers.PolicyFor(len(c.Peers)+1, c.Tuning.Writers)
}

// HeartbeatTimeout returns the time without a heartbeat after which a machine counts as failed. It
// is somewhat longer than the longest interval between two heartbeats.
func (c *Config) HeartbeatTimeout() time.Duration {
	if c.Tuning.HeartbeatTimeout > 0 {
		return c.Tuning.HeartbeatTimeout
	}
	return c.Workers.HeartbeatInterval*5/4 + heartbeatGrace
}

// heartbeatGrace is the extra time for a heartbeat to arrive after the longest interval, which is a
// quarter longer than HeartbeatInterval.
const heartbeatGrace = 3250 * time.Millisecond

// Load reads the platform's file at path and, if settingsPath is not empty, the operators' file at
// settingsPath. The error joins all errors found.
func Load(path, settingsPath string) (*Config, error) {
	platformText, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(platformText)
	if c == nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if settingsPath != "" {
		text, settingsErr := os.ReadFile(settingsPath)
		if settingsErr == nil {
			settingsErr = errors.Join(c.Tuning.parse(text), c.checkShards(), c.checkGrants(), c.checkSpread(), c.checkTiers())
		}
		err = errors.Join(err, settingsErr)
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}
