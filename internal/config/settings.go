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
)

// Bounds of the settings of one kind, wherever there is no special one.
const (
	minDuration = 100 * time.Millisecond
	maxDuration = 10 * time.Minute
	maxNumber   = 1e6
)

// parse reads the operators' file into t. The error joins every fault found.
func (t *Tuning) parse(text []byte) error {
	file, err := ini.Load(text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var f validationErrors
	setters := t.setters()
	for _, sec := range file.Sections() {
		if class, ok := strings.CutPrefix(sec.Name(), spreadSection); ok {
			t.readSpreadRule(&f, strings.TrimSpace(class), sec)
			continue
		}
		if strings.HasPrefix(sec.Name(), tierSection) {
			t.readTier(&f, sec)
			continue
		}
		applySection(&f, setters, sec)
	}
	f.check(t.Reapi.Listen == "" || t.Reapi.Store != "" && t.Reapi.Team != "", "reapi.listen", t.Reapi.Listen, "set together with reapi.cas and reapi.team")
	f.check(t.Renew*2 <= t.Lease, "claim.renew", t.Renew, "at most half of claim.lease")
	return errors.Join(f...)
}

// applySection applies the keys of a section.
func applySection(f *validationErrors, setters map[string]setter, sec *ini.Section) {
	for _, key := range sec.Keys() {
		name := sec.Name() + "." + key.Name()
		set := setters[name]
		if set == nil {
			f.check(false, name, key.Value(), "one of "+strings.Join(slices.Sorted(maps.Keys(setters)), ", "))
			continue
		}
		set(f, name, key)
	}
}

// setters returns, by its name, how each key of the operators' file is read.
func (t *Tuning) setters() map[string]setter {
	return map[string]setter{
		"parts.by":    text(&t.Shards.By),
		"parts.types": list(&t.Shards.Types),

		"claim.lease":       duration(&t.Lease),
		"claim.renew":       duration(&t.Renew),
		"round.window":      duration(&t.RoundWindow),
		"round.tasks":       count(&t.RoundTasks, 1, 500),
		"jobs.begin_within": duration(&t.BeginWithin),
		"reports.keep":      count(&t.DirectHeartbeats, 0, 1_000_000),
		"accept.writers":    count(&t.Writers, 0, 24),
		"machines.idle":     duration(&t.Idle),
		"machines.silence":  duration(&t.HeartbeatTimeout),

		"history.fold":     flag(&t.History.Compact),
		"history.every":    duration(&t.History.Every),
		"history.wait":     duration(&t.History.Wait),
		"history.merge_at": count(&t.History.MergeAt, 1, 64),
		"history.cache_mb": count(&t.History.CacheMB, 1, 1024),
		"history.backlog":  count(&t.History.Backlog, 100, 10_000_000),

		"reapi.listen":    address(&t.Reapi.Listen),
		"reapi.cas":       address(&t.Reapi.Store),
		"reapi.calls":     count(&t.Reapi.Calls, 1, 100_000),
		"reapi.team":      text(&t.Reapi.Team),
		"reapi.class":     text(&t.Reapi.Class),
		"reapi.image":     text(&t.Reapi.Image),
		"reapi.priority":  text(&t.Reapi.Priority, "production", "high", "normal", "low"),
		"reapi.cpus":      number(&t.Reapi.CPUs),
		"reapi.gpus":      number(&t.Reapi.GPUs),
		"reapi.memory_gb": number(&t.Reapi.MemoryGB),
		"reapi.spot":      flag(&t.Reapi.Spot),
		"reapi.estimate":  duration(&t.Reapi.Estimate),

		"metrics.listen": address(&t.Metrics),
	}
}

// setter reads the value of one key, and adds to the faults if it is not allowed.
type setter func(f *validationErrors, name string, key *ini.Key)

func duration(d *time.Duration) setter {
	return func(f *validationErrors, name string, key *ini.Key) {
		v, err := time.ParseDuration(key.Value())
		f.check(err == nil && v >= minDuration && v <= maxDuration, name, key.Value(), "a duration from 100ms to 10m")
		*d = v
	}
}

func count(n *int, least, most int) setter {
	return func(f *validationErrors, name string, key *ini.Key) {
		v, err := key.Int()
		f.check(err == nil && v >= least && v <= most, name, key.Value(), fmt.Sprintf("a count from %d to %d", least, most))
		*n = v
	}
}

func flag(b *bool) setter {
	return func(f *validationErrors, name string, key *ini.Key) {
		v, err := key.Bool()
		f.check(err == nil, name, key.Value(), "on or off")
		*b = v
	}
}

func number(n *float64) setter {
	return func(f *validationErrors, name string, key *ini.Key) {
		v, err := key.Float64()
		f.check(err == nil && v >= 0 && v <= maxNumber, name, key.Value(), "a number from 0 to 1e6")
		*n = v
	}
}

func address(addr *string) setter {
	return func(f *validationErrors, name string, key *ini.Key) {
		*addr = key.Value()
		f.checkAddr(name, *addr)
	}
}

// text reads one of the allowed words; without any, all text is allowed but the empty one.
func text(to *string, allowed ...string) setter {
	return func(f *validationErrors, name string, key *ini.Key) {
		*to = key.Value()
		f.check(*to != "" && (allowed == nil || slices.Contains(allowed, *to)), name, fmt.Sprintf("%q", *to), cmp.Or(strings.Join(allowed, ", "), "some text"))
	}
}

// list reads names that are separated by commas.
func list(names *[]string) setter {
	return func(_ *validationErrors, _ string, key *ini.Key) { *names = key.Strings(",") }
}
