package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// Config is the content of a world file, which describes a cluster and its timeline of faults.
type Config struct {
	Seed            uint64
	Controllers     int
	Zones           []string
	Workers         config.Workers
	State           config.Store
	StateDelay      time.Duration // of each answer
	Cloud           config.Cloud
	Limits          config.Limits
	Teams           []config.Team
	Types           []wire.MachineType
	CapacityByOffer map[simulator.Offer]int
	SharedFetchRate bool // concurrent image fetches of a machine share its rate
	Timeline        []Fault
}

// MaxControllers bounds the controllers of a cluster.
const MaxControllers = 24

// DefaultConfig is the smallest useful cluster: three controllers, two zones, machines that boot
// at once.
func DefaultConfig() *Config {
	t := wire.MachineType{Name: "dev-4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBps: 10, Price: 4, SpotPrice: 1.5, BootS: 1, Zones: []string{"a", "b"}}
	c := &Config{Seed: 1, Controllers: 3, Zones: t.Zones, Types: []wire.MachineType{t}, CapacityByOffer: map[simulator.Offer]int{},
		Workers: config.Workers{HeartbeatInterval: time.Second, Lease: 10 * time.Second, GangWait: 10 * time.Second, GangPeer: 3 * time.Second, Cancel: 30 * time.Second},
		State:   config.Store{RPS: 200, WriteRPS: 60, ValueBytes: 16 << 10, TxnOps: 24}, Cloud: config.Cloud{RPS: 10, ListLag: 500 * time.Millisecond},
		Limits: config.Limits{RAMBytes: 200 << 20, Files: 1000}, Teams: []config.Team{{Name: "red"}, {Name: "blue", GPUs: 4, GPUsMax: 16}}}
	for _, z := range t.Zones {
		c.CapacityByOffer[simulator.Offer{Type: t.Name, Zone: z, Spot: true}] = 2
		c.CapacityByOffer[simulator.Offer{Type: t.Name, Zone: z}] = 2
	}
	return c
}

// reader parses a world file and collects all errors, each with its line.
type reader struct {
	lines  []string
	faults []error
}

// reject records that a value is not allowed, and what is.
func (r *reader) reject(section, key, value, allowed string) {
	r.faults = append(r.faults, fmt.Errorf("line %d: [%s] %s: %q: must be %s", r.line(section, key), section, key, value, allowed))
}

// line returns the line of a key, or of its section.
func (r *reader) line(section, key string) int {
	in, at := section == ini.DefaultSection, 0
	for i, text := range r.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			if in = text == "["+section+"]"; in {
				at = i + 1
			}
		} else if name, _, ok := strings.Cut(text, "="); in && ok && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return at
}

// fields maps each key of a section to its parser, which returns what is allowed if it rejects the
// value.
type fields map[string]func(value string) (allowed string)

func duration(d *time.Duration, least, most time.Duration) func(string) string {
	return func(text string) string {
		v, err := time.ParseDuration(text)
		if *d = v; err != nil || v < least || v > most {
			return fmt.Sprintf("a duration from %v to %v", least, most)
		}
		return ""
	}
}

func number(n *float64, least, most float64) func(string) string {
	return func(text string) string {
		if _, err := fmt.Sscanf(text, "%g", n); err != nil || *n < least || *n > most || math.IsNaN(*n) {
			return fmt.Sprintf("a number from %g to %g", least, most)
		}
		return ""
	}
}

func count(n *int, least, most int) func(string) string {
	return func(text string) string {
		if _, err := fmt.Sscanf(text, "%d", n); err != nil || *n < least || *n > most || fmt.Sprint(*n) != text {
			return fmt.Sprintf("a count from %d to %d", least, most)
		}
		return ""
	}
}

func words(list *[]string) func(string) string {
	return func(text string) string {
		*list = nil
		for _, w := range strings.Split(text, ",") {
			if w = strings.TrimSpace(w); w == "" || strings.ContainsAny(w, " /:") || slices.Contains(*list, w) {
				return "names separated by commas, each once"
			}
			*list = append(*list, w)
		}
		return ""
	}
}

func word(text *string, allowed ...string) func(string) string {
	return func(v string) string {
		if *text = v; len(allowed) > 0 && !slices.Contains(allowed, v) {
			return "one of " + strings.Join(allowed, ", ")
		}
		return ""
	}
}

func boolean(b *bool) func(string) string {
	return func(v string) string {
		if *b = v == "yes"; !*b && v != "no" {
			return "yes or no"
		}
		return ""
	}
}

// section parses the keys of a section and returns those that it rejected.
func (r *reader) section(sec *ini.Section, f fields) (bad []string) {
	for _, key := range sec.Keys() {
		take := f[key.Name()]
		if take == nil {
			r.reject(sec.Name(), key.Name(), key.Value(), "left out; known are "+strings.Join(keysOf(f), ", "))
			bad = append(bad, key.Name())
		} else if allowed := take(key.Value()); allowed != "" {
			r.reject(sec.Name(), key.Name(), key.Value(), allowed)
			bad = append(bad, key.Name())
		}
	}
	return bad
}

// keysOf lists the keys that a section accepts.
func keysOf(f fields) (names []string) {
	for name := range f {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Parse reads a world file. What it does not set is as in DefaultConfig.
func Parse(text []byte) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, text)
	if err != nil {
		return nil, fmt.Errorf("not a world file: %w", err)
	}
	c := DefaultConfig()
	r := &reader{lines: strings.Split(string(text), "\n")}
	types, teams := false, false
	for _, sec := range file.Sections() {
		kind, name, named := strings.Cut(sec.Name(), " ")
		switch {
		case sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0:
		case sec.Name() == "world":
			r.section(sec, c.clusterFields())
		case kind == "type" && named:
			if !types {
				c.Types, c.CapacityByOffer, types = nil, map[simulator.Offer]int{}, true
			}
			r.machineType(c, sec, name)
		case kind == "team" && named:
			if !teams {
				c.Teams, teams = nil, true
			}
			r.team(c, sec, name)
		case kind == "fault" && named:
			r.fault(c, sec, name)
		default:
			r.faults = append(r.faults, fmt.Errorf("line %d: [%s]: must be world, type NAME, team NAME or fault NAME", r.line(sec.Name(), ""), sec.Name()))
		}
	}
	r.checkConsistency(c, types)
	if err := errors.Join(r.faults...); err != nil {
		return nil, err
	}
	sort.SliceStable(c.Timeline, func(i, k int) bool { return c.Timeline[i].At < c.Timeline[k].At })
	return c, nil
}

// clusterFields returns the parsers of the section [world].
func (c *Config) clusterFields() fields {
	seed, value, files, ram := int(c.Seed), 16.0, c.Limits.Files, 200.0
	return fields{
		"seed":        func(v string) string { s := count(&seed, 0, math.MaxInt32)(v); c.Seed = uint64(seed); return s },
		"controllers": count(&c.Controllers, 1, MaxControllers), "zones": words(&c.Zones),
		"report": duration(&c.Workers.HeartbeatInterval, 100*time.Millisecond, time.Minute), "lease": duration(&c.Workers.Lease, time.Second, 10*time.Minute),
		"gang_wait": duration(&c.Workers.GangWait, time.Second, 10*time.Minute), "gang_peer": duration(&c.Workers.GangPeer, 100*time.Millisecond, time.Minute),
		"cancel":    duration(&c.Workers.Cancel, time.Second, 20*time.Minute),
		"state_rps": number(&c.State.RPS, 1, 1e6), "state_write_rps": number(&c.State.WriteRPS, 1, 1e6), "state_delay": duration(&c.StateDelay, 0, 10*time.Second),
		"value_kb": func(v string) string {
			s := number(&value, 1, 1024)(v)
			c.State.ValueBytes = int(value * 1024)
			return s
		},
		"fetch_shared": boolean(&c.SharedFetchRate),
		"txn_ops":      count(&c.State.TxnOps, 4, 1000),
		"cloud_rps":    number(&c.Cloud.RPS, 0.1, 1e6), "list_lag": duration(&c.Cloud.ListLag, 0, time.Minute),
		"ram_mb": func(v string) string {
			s := number(&ram, 32, 1e6)(v)
			c.Limits.RAMBytes = int64(ram * (1 << 20))
			return s
		},
		"fd_limit": func(v string) string { s := count(&files, 64, 1_000_000)(v); c.Limits.Files = files; return s },
	}
}

func (r *reader) machineType(c *Config, sec *ini.Section, name string) {
	t := wire.MachineType{Name: name, CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBps: 1, Price: 4, SpotPrice: 1.5, BootS: 5}
	ordinary, spot := 4, 0
	boot := 5 * time.Second
	r.section(sec, fields{"cpus": number(&t.CPUs, 0.1, 1e5), "gpus": number(&t.GPUs, 0, 1e4), "memory_gb": number(&t.MemoryGB, 0.1, 1e6), "cache_gb": number(&t.CacheGB, 0, 1e6),
		"fetch_gb_per_s": number(&t.FetchGBps, 0.001, 1e4), "price": number(&t.Price, 0, 1e6), "spot_price": number(&t.SpotPrice, 0, 1e6),
		"boot": duration(&boot, 0, time.Hour), "zones": words(&t.Zones), "count": count(&ordinary, 0, 100_000), "spot": count(&spot, 0, 100_000)})
	if t.BootS = boot.Seconds(); len(t.Zones) == 0 {
		t.Zones = c.Zones
	}
	for _, z := range t.Zones {
		c.CapacityByOffer[simulator.Offer{Type: name, Zone: z}], c.CapacityByOffer[simulator.Offer{Type: name, Zone: z, Spot: true}] = ordinary, spot
	}
	c.Types = append(c.Types, t)
}

func (r *reader) team(c *Config, sec *ini.Section, name string) {
	t := config.Team{Name: name}
	r.section(sec, fields{"cpus": number(&t.CPUs, 0, 1e9), "cpus_max": number(&t.CPUsMax, 0, 1e9), "gpus": number(&t.GPUs, 0, 1e9), "gpus_max": number(&t.GPUsMax, 0, 1e9)})
	if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
		r.reject(sec.Name(), "cpus", fmt.Sprint(t.CPUs), "no more than cpus_max")
	}
	if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
		r.reject(sec.Name(), "gpus", fmt.Sprint(t.GPUs), "no more than gpus_max")
	}
	c.Teams = append(c.Teams, t)
}

func (r *reader) fault(c *Config, sec *ini.Section, name string) {
	f := Fault{Label: name}
	bad := r.section(sec, f.fields())
	if err := f.Check(c); err != nil {
		for _, e := range splitJoined(err) {
			if slices.Contains(bad, fieldOf(e)) {
				continue // it was named, with what is allowed
			}
			r.faults = append(r.faults, fmt.Errorf("line %d: [%s]: %w", r.line(sec.Name(), cmp.Or(fieldOf(e), "kind")), sec.Name(), e))
		}
	}
	c.Timeline = append(c.Timeline, f)
}

// checkConsistency checks what depends on several sections.
func (r *reader) checkConsistency(c *Config, types bool) {
	check := func(ok bool, key, value, allowed string) {
		if !ok {
			r.reject("world", key, value, allowed)
		}
	}
	check(c.Workers.Lease > c.Workers.HeartbeatInterval, "lease", c.Workers.Lease.String(), "more than report")
	check(c.Workers.Cancel > c.Workers.Lease, "cancel", c.Workers.Cancel.String(), "more than lease")
	for i := range c.Types {
		t := &c.Types[i]
		if !types {
			t.Zones = c.Zones
			for _, z := range c.Zones {
				c.CapacityByOffer[simulator.Offer{Type: t.Name, Zone: z}], c.CapacityByOffer[simulator.Offer{Type: t.Name, Zone: z, Spot: true}] = 2, 2
			}
		}
		for _, z := range t.Zones {
			if !slices.Contains(c.Zones, z) {
				r.reject("type "+t.Name, "zones", z, "one of the world's zones, "+strings.Join(c.Zones, ", "))
			}
		}
	}
}
