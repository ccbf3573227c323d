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

// Bounds of durations and numbers in the operators' file, unless a key has bounds of its own.
const (
	minDuration = 100 * time.Millisecond
	maxDuration = 10 * time.Minute
	maxNumber   = 1e6
)

// parse reads the operators' file into t. The error joins all errors found.
func (t *Tuning) parse(text []byte) error {
	file, err := ini.Load(text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var errs validationErrors
	setters := t.setters()
	for _, section := range file.Sections() {
		if class, ok := strings.CutPrefix(section.Name(), spreadSection); ok {
			t.readSpreadRule(&errs, strings.TrimSpace(class), section)
			continue
		}
		if strings.HasPrefix(section.Name(), tierSection) {
			t.readTier(&errs, section)
			continue
		}
		applySection(&errs, setters, section)
	}
	errs.check(t.Reapi.Listen == "" || t.Reapi.CASAddr != "" && t.Reapi.Team != "", "reapi.listen", t.Reapi.Listen, "set together with reapi.cas and reapi.team")
	errs.check(t.RenewInterval*2 <= t.Lease, "claim.renew", t.RenewInterval, "at most half of claim.lease")
	return errors.Join(errs...)
}

// applySection applies the keys of a section. A key without a setter is an error.
func applySection(errs *validationErrors, setters map[string]setter, section *ini.Section) {
	for _, key := range section.Keys() {
		name := section.Name() + "." + key.Name()
		set := setters[name]
		if set == nil {
			errs.check(false, name, key.Value(), "one of "+strings.Join(slices.Sorted(maps.Keys(setters)), ", "))
			continue
		}
		set(errs, name, key)
	}
}

// setters returns the setter of each key of the operators' file, by section and key.
func (t *Tuning) setters() map[string]setter {
	return map[string]setter{
		"parts.by":    text(&t.Shards.By),
		"parts.types": list(&t.Shards.Types),

		"claim.lease":       duration(&t.Lease),
		"claim.renew":       duration(&t.RenewInterval),
		"round.window":      duration(&t.RoundWindow),
		"round.tasks":       count(&t.MaxRoundLaunches, 1, 500),
		"jobs.begin_within": duration(&t.MaxGangWait),
		"reports.keep":      count(&t.MaxDirectHeartbeats, 0, 1_000_000),
		"accept.writers":    count(&t.Writers, 0, 24),
		"machines.idle":     duration(&t.IdleTimeout),
		"machines.silence":  duration(&t.HeartbeatTimeout),

		"history.fold":     flag(&t.History.Compact),
		"history.every":    duration(&t.History.Interval),
		"history.wait":     duration(&t.History.MaxWait),
		"history.merge_at": count(&t.History.MergeThreshold, 1, 64),
		"history.cache_mb": count(&t.History.CacheMB, 1, 1024),
		"history.backlog":  count(&t.History.MaxBacklog, 100, 10_000_000),

		"reapi.listen":    address(&t.Reapi.Listen),
		"reapi.cas":       address(&t.Reapi.CASAddr),
		"reapi.calls":     count(&t.Reapi.MaxCalls, 1, 100_000),
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

// setter parses and stores the value of a key, and adds an error if the value is not allowed.
type setter func(errs *validationErrors, name string, key *ini.Key)

// duration returns a setter for a duration from minDuration to maxDuration.
func duration(d *time.Duration) setter {
	return func(errs *validationErrors, name string, key *ini.Key) {
		v, err := time.ParseDuration(key.Value())
		errs.check(err == nil && v >= minDuration && v <= maxDuration, name, key.Value(), "a duration from 100ms to 10m")
		*d = v
	}
}

// count returns a setter for an integer from lowest to highest.
func count(n *int, lowest, highest int) setter {
	return func(errs *validationErrors, name string, key *ini.Key) {
		v, err := key.Int()
		errs.check(err == nil && v >= lowest && v <= highest, name, key.Value(), fmt.Sprintf("a count from %d to %d", lowest, highest))
		*n = v
	}
}

// flag returns a setter for a Boolean value.
func flag(b *bool) setter {
	return func(errs *validationErrors, name string, key *ini.Key) {
		v, err := key.Bool()
		errs.check(err == nil, name, key.Value(), "on or off")
		*b = v
	}
}

// number returns a setter for a decimal number from 0 to maxNumber.
func number(n *float64) setter {
	return func(errs *validationErrors, name string, key *ini.Key) {
		v, err := key.Float64()
		errs.check(err == nil && v >= 0 && v <= maxNumber, name, key.Value(), "a number from 0 to 1e6")
		*n = v
	}
}

// address returns a setter for an IP address with a port.
func address(addr *string) setter {
	return func(errs *validationErrors, name string, key *ini.Key) {
		*addr = key.Value()
		errs.checkAddr(name, *addr)
	}
}

// text returns a setter for one of the allowed texts. If none are given, any text but an empty one is allowed.
func text(target *string, allowed ...string) setter {
	return func(errs *validationErrors, name string, key *ini.Key) {
		*target = key.Value()
		errs.check(*target != "" && (allowed == nil || slices.Contains(allowed, *target)), name, fmt.Sprintf("%q", *target), cmp.Or(strings.Join(allowed, ", "), "some text"))
	}
}

// list returns a setter for names that are separated by commas.
func list(names *[]string) setter {
	return func(_ *validationErrors, _ string, key *ini.Key) { *names = key.Strings(",") }
}
