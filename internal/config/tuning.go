package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/writers"
)

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
