// Package config reads and checks the two files of settings: the platform's
// (JSON, unknown fields ignored) and the operators' own (INI, unknown keys
// refused).
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/tier"
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

// Tuning is what operators may set themselves.
type Tuning struct {
	Lease            time.Duration // of the claim on the state service
	Renew            time.Duration
	RoundTasks       int
	RoundWindow      time.Duration
	Idle             time.Duration // before an idle machine is returned
	BeginWithin      time.Duration // that even the largest gangs should have begun, where there is room for them
	HeartbeatTimeout time.Duration // before a silent machine is given up; 0 follows from the reports
	History          History
	DirectHeartbeats int // machines up to which the holder takes reports itself
	Shards           Shards
	Writers          int                              // controllers that write what users wait for, for all; writers.Auto follows from their number, 0 stands for each by itself
	Spread           map[string]*scheduler.SpreadRule // of services, by class
	Tiers            []tier.Tier                      // of work; none stands for the order without settings
	Metrics          string                           // address that metrics are served on, if any
	Reapi            Reapi
}

// Shards is how the fleet is divided among holders; it is one part by default.
type Shards struct {
	By    string   // off, zone, type, or a number of parts over which the zones are dealt out
	Types []string // the types that are parts, by type
}

// Sharding gives the parts of the fleet.
func (c *Config) Sharding() *fleet.Sharding {
	switch by := c.Tuning.Shards.By; by {
	case "", "off":
		return fleet.SingleShard()
	case "zone":
		return fleet.ByZones(len(c.Zones), c.Zones)
	case "type":
		return fleet.ByTypes(c.Tuning.Shards.Types)
	default:
		n, _ := strconv.Atoi(by)
		return fleet.ByZones(n, c.Zones)
	}
}

// checkShards finds what the operators' file says of parts and the platform's does not
// allow.
func (c *Config) checkShards() error {
	var f faults
	p := c.Tuning.Shards
	n, err := strconv.Atoi(p.By)
	switch {
	case p.By == "", p.By == "off", p.By == "zone", p.By == "type" && len(p.Types) > 0:
	case p.By == "type":
		f.check(false, "parts.types", `""`, "the machine types that are parts, separated by commas")
	default:
		f.check(err == nil && n >= 1 && n <= len(c.Zones), "parts.by", fmt.Sprintf("%q", p.By), fmt.Sprintf("off, zone, type, or a number from 1 to %d, that of the zones", len(c.Zones)))
	}
	if p.By == "" || p.By == "off" {
		return errors.Join(f...)
	}
	for field, names := range map[string][]string{"params.zones": c.Zones, "parts.types": p.Types} {
		for i, name := range names {
			f.check(name != "" && len(name) <= 60 && !strings.ContainsAny(name, " /\t\n") && !slices.Contains(names[:i], name), fmt.Sprintf("%s[%d]", field, i),
				fmt.Sprintf("%q", name), "another name of up to 60 bytes without spaces and slashes, since parts are called so")
		}
	}
	return errors.Join(f...)
}

// Writers gives how many controllers write what users wait for.
func (c *Config) Writers() writers.Policy {
	return writers.PolicyFor(len(c.Peers)+1, c.Tuning.Writers)
}

// Reapi is what operators set for build tools; it is off without an address.
type Reapi struct {
	Listen, Store string // addresses of the service, and of amberdeal cas
	Calls         int    // open calls and streams
	Team, Class   string
	Priority      string
	Image         string
	CPUs, GPUs    float64
	MemoryGB      float64
	Spot          bool
	Estimate      time.Duration
}

// History is what operators may set of the jobs that are over.
type History struct {
	Compact bool          // whether they leave their keys
	Every   time.Duration // how often the holder looks for some
	Wait    time.Duration // how long a few wait for others to be folded with
	MergeAt int           // full recent blocks before they go into the history
	CacheMB int           // of blocks in memory
	Backlog int           // of jobs that are over and not folded; no more jobs are accepted beyond it
}

// HeartbeatTimeout is how long a machine may be silent before it is given up: somewhat
// more than the longest time between two reports.
func (c *Config) HeartbeatTimeout() time.Duration {
	if c.Tuning.HeartbeatTimeout > 0 {
		return c.Tuning.HeartbeatTimeout
	}
	return c.Workers.HeartbeatInterval*5/4 + 3250*time.Millisecond
}

// DefaultTuning is used where the operators' file says nothing.
func DefaultTuning() Tuning {
	return Tuning{
		Lease: 9 * time.Second, Renew: 3 * time.Second,
		RoundTasks: 500, RoundWindow: 2 * time.Second,
		Idle: 25 * time.Second, BeginWithin: 4 * time.Minute, DirectHeartbeats: 200, Writers: writers.Auto,
		History: History{Compact: true, Every: time.Second, Wait: 15 * time.Second, MergeAt: 4, CacheMB: 8, Backlog: 20_000},
		Reapi:   Reapi{Calls: 500, Class: "action", Priority: "normal", Image: "none", CPUs: 1, MemoryGB: 1, Spot: true, Estimate: time.Minute},
	}
}

// platformFile is the platform's file as it is written.
type platformFile struct {
	Name       string `json:"host_name"`
	Zone       string `json:"location"`
	PublicAddr string `json:"public_addr"`
	PeerAddr   string `json:"mesh_addr"`
	Peers      []Peer `json:"siblings"`
	Endpoints  struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"endpoints"`
	Params struct {
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS   float64 `json:"report_s"`
			LeaseS    float64 `json:"lease_s"`
			GangWaitS float64 `json:"gang_wait_s"`
			GangPeerS float64 `json:"gang_peer_s"`
			CancelS   float64 `json:"cancel_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`
			WriteRPS float64 `json:"write_rps"`
			ValueKB  float64 `json:"value_kb"`
			TxnOps   int     `json:"txn_ops"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Limits struct {
			RAMMB float64 `json:"ram_mb"`
			Files int     `json:"fd_limit"`
		} `json:"limits"`
	} `json:"params"`
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

// faults gathers everything that is wrong with a file.
type faults []error

func (f *faults) check(ok bool, field string, value any, allowed string) {
	if !ok {
		*f = append(*f, fmt.Errorf("%s: %v: must be %s", field, value, allowed))
	}
}

func (f *faults) addr(field, value string) {
	_, err := netip.ParseAddrPort(value)
	f.check(err == nil, field, fmt.Sprintf("%q", value), "an IP address and a port, such as 10.0.0.1:8080")
}

func (f *faults) positive(field string, value float64) {
	f.check(value > 0 && !math.IsInf(value, 0), field, value, "a number above 0")
}

// Parse reads the platform's file. On a fault it still returns what it read,
// unless that is not JSON at all.
func Parse(text []byte) (*Config, error) {
	var p platformFile
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, fmt.Errorf("not a valid settings file: %w", err)
	}
	var f faults
	f.check(p.Name != "", "host_name", `""`, "the name of this controller")
	f.addr("public_addr", p.PublicAddr)
	f.addr("mesh_addr", p.PeerAddr)
	f.check(p.PublicAddr != p.PeerAddr, "mesh_addr", p.PeerAddr, "another address than public_addr")
	f.addr("endpoints.cloud", p.Endpoints.Cloud)
	f.addr("endpoints.state", p.Endpoints.State)
	names := []string{p.Name}
	for i, s := range p.Peers {
		f.check(s.Name != "" && !slices.Contains(names, s.Name), fmt.Sprintf("siblings[%d].host_name", i),
			fmt.Sprintf("%q", s.Name), "a name that no other controller has")
		names = append(names, s.Name)
		f.addr(fmt.Sprintf("siblings[%d].peer_addr", i), s.Addr)
	}
	f.check(len(p.Params.Zones) > 0, "params.zones", "none", "at least one zone")
	f.check(len(p.Params.Teams) > 0, "params.teams", "none", "at least one team")
	for i, t := range p.Params.Teams {
		at := fmt.Sprintf("params.teams[%d]", i)
		f.check(t.Name != "", at+".name", `""`, "the team's name")
		f.check(t.CPUs >= 0 && t.GPUs >= 0 && t.CPUsMax >= 0 && t.GPUsMax >= 0, at, t, "amounts of 0 or more")
		f.check(t.CPUsMax == 0 || t.CPUs <= t.CPUsMax, at+".cpus", t.CPUs, "no more than cpus_max")
		f.check(t.GPUsMax == 0 || t.GPUs <= t.GPUsMax, at+".gpus", t.GPUs, "no more than gpus_max")
	}
	w := p.Params.Workers
	f.positive("params.workers.report_s", w.ReportS)
	f.check(w.LeaseS > w.ReportS, "params.workers.lease_s", w.LeaseS, "more than report_s")
	f.positive("params.workers.gang_wait_s", w.GangWaitS)
	f.positive("params.workers.gang_peer_s", w.GangPeerS)
	f.check(w.CancelS >= w.LeaseS+MinCancelMargin.Seconds(), "params.workers.cancel_s", w.CancelS,
		fmt.Sprintf("lease_s and %v s more, or an answer could keep a cancelled task for longer", MinCancelMargin.Seconds()))
	s := p.Params.State
	f.positive("params.state.rps", s.RPS)
	f.positive("params.state.write_rps", s.WriteRPS)
	f.check(s.ValueKB >= 1, "params.state.value_kb", s.ValueKB, "1 or more")
	f.check(s.TxnOps >= 4, "params.state.txn_ops", s.TxnOps, "4 or more")
	f.positive("params.cloud.rps", p.Params.Cloud.RPS)
	f.check(p.Params.Cloud.ListLagS >= 0, "params.cloud.list_lag_s", p.Params.Cloud.ListLagS, "0 or more")
	f.check(p.Params.Limits.RAMMB >= 32, "params.limits.ram_mb", p.Params.Limits.RAMMB, "32 or more")
	f.check(p.Params.Limits.Files >= 64, "params.limits.fd_limit", p.Params.Limits.Files, "64 or more")

	return &Config{
		Name: p.Name, Zone: p.Zone, PublicAddr: p.PublicAddr, PeerAddr: p.PeerAddr, Peers: p.Peers,
		CloudAddr: p.Endpoints.Cloud, StoreAddr: p.Endpoints.State,
		Zones: p.Params.Zones, Teams: p.Params.Teams, Objectives: p.Params.Objectives,
		Workers: Workers{seconds(w.ReportS), seconds(w.LeaseS), seconds(w.GangWaitS), seconds(w.GangPeerS), seconds(w.CancelS)},
		// A transaction of more changes than a second's worth would never be taken, nor
		// one of several values that are each larger than half of what it may take.
		Store:  Store{s.RPS, s.WriteRPS, min(int(s.ValueKB*1024), maxValueBytes), min(s.TxnOps, max(2, int(s.WriteRPS)))},
		Cloud:  Cloud{p.Params.Cloud.RPS, seconds(p.Params.Cloud.ListLagS)},
		Limits: Limits{int64(p.Params.Limits.RAMMB * (1 << 20)), p.Params.Limits.Files},
		Tuning: DefaultTuning(),
	}, errors.Join(f...)
}

// maxValueBytes bounds the values that are written, however large they may be.
const maxValueBytes = 32 << 10

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// parse reads the operators' file into t.
func (t *Tuning) parse(text []byte) error {
	file, err := ini.Load(text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var f faults
	known := t.setters(&f)
	for _, sec := range file.Sections() {
		if class, ok := strings.CutPrefix(sec.Name(), "spread "); ok {
			t.readSpreadRule(&f, strings.TrimSpace(class), sec)
			continue
		}
		if strings.HasPrefix(sec.Name(), tierSection) {
			t.readTier(&f, sec)
			continue
		}
		for _, key := range sec.Keys() {
			name := sec.Name() + "." + key.Name()
			if set := known[name]; set != nil {
				set(name, key)
			} else {
				f.check(false, name, key.Value(), "one of "+strings.Join(slices.Sorted(maps.Keys(known)), ", "))
			}
		}
	}
	f.check(t.Reapi.Listen == "" || t.Reapi.Store != "" && t.Reapi.Team != "", "reapi.listen", t.Reapi.Listen, "set together with reapi.cas and reapi.team")
	f.check(t.Renew*2 <= t.Lease, "claim.renew", t.Renew, "at most half of claim.lease")
	return errors.Join(f...)
}

// setters tells for each key of the operators' file how its value is taken.
func (t *Tuning) setters(f *faults) map[string]func(name string, key *ini.Key) {
	duration := func(d *time.Duration) func(string, *ini.Key) {
		return func(name string, key *ini.Key) {
			v, err := time.ParseDuration(key.Value())
			f.check(err == nil && v >= 100*time.Millisecond && v <= 10*time.Minute, name, key.Value(), "a duration from 100ms to 10m")
			*d = v
		}
	}
	count := func(n *int, least, most int) func(string, *ini.Key) {
		return func(name string, key *ini.Key) {
			v, err := key.Int()
			f.check(err == nil && v >= least && v <= most, name, key.Value(), fmt.Sprintf("a count from %d to %d", least, most))
			*n = v
		}
	}
	flag := func(b *bool) func(string, *ini.Key) {
		return func(name string, key *ini.Key) {
			v, err := key.Bool()
			f.check(err == nil, name, key.Value(), "on or off")
			*b = v
		}
	}
	number := func(n *float64) func(string, *ini.Key) {
		return func(name string, key *ini.Key) {
			v, err := key.Float64()
			f.check(err == nil && v >= 0 && v <= 1e6, name, key.Value(), "a number from 0 to 1e6")
			*n = v
		}
	}
	address := func(text *string) func(string, *ini.Key) {
		return func(name string, key *ini.Key) {
			*text = key.Value()
			f.addr(name, *text)
		}
	}
	words := func(text *string, allowed ...string) func(string, *ini.Key) {
		return func(name string, key *ini.Key) {
			*text = key.Value()
			f.check(*text != "" && (allowed == nil || slices.Contains(allowed, *text)), name, fmt.Sprintf("%q", *text), cmp.Or(strings.Join(allowed, ", "), "some text"))
		}
	}
	list := func(names *[]string) func(string, *ini.Key) {
		return func(_ string, key *ini.Key) { *names = key.Strings(",") }
	}
	return map[string]func(string, *ini.Key){
		"parts.by": words(&t.Shards.By), "parts.types": list(&t.Shards.Types),
		"claim.lease": duration(&t.Lease), "claim.renew": duration(&t.Renew),
		"round.window": duration(&t.RoundWindow), "round.tasks": count(&t.RoundTasks, 1, 500),
		"jobs.begin_within": duration(&t.BeginWithin),
		"reports.keep":      count(&t.DirectHeartbeats, 0, 1_000_000),
		"accept.writers":    count(&t.Writers, 0, 24),
		"machines.idle":     duration(&t.Idle), "machines.silence": duration(&t.HeartbeatTimeout),
		"history.fold":  flag(&t.History.Compact),
		"history.every": duration(&t.History.Every), "history.wait": duration(&t.History.Wait),
		"history.merge_at": count(&t.History.MergeAt, 1, 64), "history.cache_mb": count(&t.History.CacheMB, 1, 1024), "history.backlog": count(&t.History.Backlog, 100, 10_000_000),
		"reapi.listen": address(&t.Reapi.Listen), "reapi.cas": address(&t.Reapi.Store), "reapi.calls": count(&t.Reapi.Calls, 1, 100_000),
		"reapi.team": words(&t.Reapi.Team), "reapi.class": words(&t.Reapi.Class), "reapi.image": words(&t.Reapi.Image),
		"reapi.priority": words(&t.Reapi.Priority, "production", "high", "normal", "low"),
		"reapi.cpus":     number(&t.Reapi.CPUs), "reapi.gpus": number(&t.Reapi.GPUs), "reapi.memory_gb": number(&t.Reapi.MemoryGB),
		"reapi.spot": flag(&t.Reapi.Spot), "reapi.estimate": duration(&t.Reapi.Estimate),
		"metrics.listen": address(&t.Metrics),
	}
}
