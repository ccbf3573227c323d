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
	StateDelay      time.Duration // delay of each response of the state service
	Cloud           config.Cloud
	Limits          config.Limits
	Teams           []config.Team
	Types           []wire.MachineType
	CapacityByOffer map[simulator.Offer]int
	SharedFetchRate bool // concurrent image fetches of a machine share its fetch rate
	Timeline        []Fault
}

// MaxControllers is the maximum number of controllers of a cluster.
const MaxControllers = 24

// DefaultConfig returns the smallest useful cluster: three controllers, two zones, and machines that boot in 1 s.
func DefaultConfig() *Config {
	t := wire.MachineType{Name: "dev-4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBps: 10, Price: 4, SpotPrice: 1.5, BootS: 1, Zones: []string{"a", "b"}}
	c := &Config{Seed: 1, Controllers: 3, Zones: t.Zones, Types: []wire.MachineType{t}, CapacityByOffer: map[simulator.Offer]int{},
		Workers: config.Workers{HeartbeatInterval: time.Second, Lease: 10 * time.Second, GangStartTimeout: 10 * time.Second, GangPeerTimeout: 3 * time.Second, CancelTimeout: 30 * time.Second},
		State:   config.Store{RPS: 200, WriteRPS: 60, ValueBytes: 16 << 10, TxnOps: 24}, Cloud: config.Cloud{RPS: 10, ListLag: 500 * time.Millisecond},
		Limits: config.Limits{RAMBytes: 200 << 20, OpenFiles: 1000}, Teams: []config.Team{{Name: "red"}, {Name: "blue", GPUs: 4, GPUsMax: 16}}}
	for _, z := range t.Zones {
		c.CapacityByOffer[simulator.Offer{Type: t.Name, Zone: z, Spot: true}] = 2
		c.CapacityByOffer[simulator.Offer{Type: t.Name, Zone: z}] = 2
	}
	return c
}

// configParser parses a world file and collects all errors, each with its line number.
type configParser struct {
	lines []string
	errs  []error
}

// reject records that the value of a key is rejected and which values are allowed.
func (r *configParser) reject(section, key, value, allowed string) {
	r.errs = append(r.errs, fmt.Errorf("line %d: [%s] %s: %q: must be %s", r.lineOf(section, key), section, key, value, allowed))
}

// lineOf returns the line number of a key, or of its section header if the section lacks the key.
func (r *configParser) lineOf(section, key string) int {
	inSection, header := section == ini.DefaultSection, 0
	for i, text := range r.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			if inSection = text == "["+section+"]"; inSection {
				header = i + 1
			}
		} else if name, _, ok := strings.Cut(text, "="); inSection && ok && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return header
}

// fieldParsers maps each key of a section to its parser. A parser that rejects a value returns a description of the
// allowed values, otherwise an empty string.
type fieldParsers map[string]func(value string) (allowed string)

func durationParser(d *time.Duration, minimum, maximum time.Duration) func(string) string {
	return func(text string) string {
		v, err := time.ParseDuration(text)
		if *d = v; err != nil || v < minimum || v > maximum {
			return fmt.Sprintf("a duration from %v to %v", minimum, maximum)
		}
		return ""
	}
}

func numberParser(n *float64, minimum, maximum float64) func(string) string {
	return func(text string) string {
		if _, err := fmt.Sscanf(text, "%g", n); err != nil || *n < minimum || *n > maximum || math.IsNaN(*n) {
			return fmt.Sprintf("a number from %g to %g", minimum, maximum)
		}
		return ""
	}
}

func countParser(n *int, minimum, maximum int) func(string) string {
	return func(text string) string {
		if _, err := fmt.Sscanf(text, "%d", n); err != nil || *n < minimum || *n > maximum || fmt.Sprint(*n) != text {
			return fmt.Sprintf("a count from %d to %d", minimum, maximum)
		}
		return ""
	}
}

func nameListParser(list *[]string) func(string) string {
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

func stringParser(text *string, allowed ...string) func(string) string {
	return func(v string) string {
		if *text = v; len(allowed) > 0 && !slices.Contains(allowed, v) {
			return "one of " + strings.Join(allowed, ", ")
		}
		return ""
	}
}

func booleanParser(b *bool) func(string) string {
	return func(v string) string {
		if *b = v == "yes"; !*b && v != "no" {
			return "yes or no"
		}
		return ""
	}
}

// parseSection parses the keys of a section and returns the keys whose name or value it rejected.
func (r *configParser) parseSection(sec *ini.Section, parsers fieldParsers) (rejected []string) {
	for _, key := range sec.Keys() {
		parse := parsers[key.Name()]
		if parse == nil {
			r.reject(sec.Name(), key.Name(), key.Value(), "left out; known are "+strings.Join(sortedKeys(parsers), ", "))
			rejected = append(rejected, key.Name())
		} else if allowed := parse(key.Value()); allowed != "" {
			r.reject(sec.Name(), key.Name(), key.Value(), allowed)
			rejected = append(rejected, key.Name())
		}
	}
	return rejected
}

// sortedKeys lists the keys that a section accepts.
func sortedKeys(parsers fieldParsers) (names []string) {
	for name := range parsers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Parse parses a world file. Settings that it lacks have the values of DefaultConfig; the first [type NAME] and the
// first [team NAME] replace the default machine types and teams.
func Parse(text []byte) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, text)
	if err != nil {
		return nil, fmt.Errorf("not a world file: %w", err)
	}
	c := DefaultConfig()
	r := &configParser{lines: strings.Split(string(text), "\n")}
	hasTypes, hasTeams := false, false
	for _, sec := range file.Sections() {
		kind, name, named := strings.Cut(sec.Name(), " ")
		switch {
		case sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0:
		case sec.Name() == "world":
			r.parseSection(sec, c.worldParsers())
		case kind == "type" && named:
			if !hasTypes {
				c.Types, c.CapacityByOffer, hasTypes = nil, map[simulator.Offer]int{}, true
			}
			r.parseMachineType(c, sec, name)
		case kind == "team" && named:
			if !hasTeams {
				c.Teams, hasTeams = nil, true
			}
			r.parseTeam(c, sec, name)
		case kind == "fault" && named:
			r.parseFault(c, sec, name)
		default:
			r.errs = append(r.errs, fmt.Errorf("line %d: [%s]: must be world, type NAME, team NAME or fault NAME", r.lineOf(sec.Name(), ""), sec.Name()))
		}
	}
	r.checkConsistency(c, hasTypes)
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	sort.SliceStable(c.Timeline, func(i, k int) bool { return c.Timeline[i].At < c.Timeline[k].At })
	return c, nil
}

// worldParsers returns the parsers for the keys of the section [world].
func (c *Config) worldParsers() fieldParsers {
	seed, value, files, ram := int(c.Seed), 16.0, c.Limits.OpenFiles, 200.0
	return fieldParsers{
		"seed":        func(v string) string { s := countParser(&seed, 0, math.MaxInt32)(v); c.Seed = uint64(seed); return s },
		"controllers": countParser(&c.Controllers, 1, MaxControllers), "zones": nameListParser(&c.Zones),
		"report": durationParser(&c.Workers.HeartbeatInterval, 100*time.Millisecond, time.Minute), "lease": durationParser(&c.Workers.Lease, time.Second, 10*time.Minute),
		"gang_wait": durationParser(&c.Workers.GangStartTimeout, time.Second, 10*time.Minute), "gang_peer": durationParser(&c.Workers.GangPeerTimeout, 100*time.Millisecond, time.Minute),
		"cancel":    durationParser(&c.Workers.CancelTimeout, time.Second, 20*time.Minute),
		"state_rps": numberParser(&c.State.RPS, 1, 1e6), "state_write_rps": numberParser(&c.State.WriteRPS, 1, 1e6), "state_delay": durationParser(&c.StateDelay, 0, 10*time.Second),
		"value_kb": func(v string) string {
			s := numberParser(&value, 1, 1024)(v)
			c.State.ValueBytes = int(value * 1024)
			return s
		},
		"fetch_shared": booleanParser(&c.SharedFetchRate),
		"txn_ops":      countParser(&c.State.TxnOps, 4, 1000),
		"cloud_rps":    numberParser(&c.Cloud.RPS, 0.1, 1e6), "list_lag": durationParser(&c.Cloud.ListLag, 0, time.Minute),
		"ram_mb": func(v string) string {
			s := numberParser(&ram, 32, 1e6)(v)
			c.Limits.RAMBytes = int64(ram * (1 << 20))
			return s
		},
		"fd_limit": func(v string) string {
			s := countParser(&files, 64, 1_000_000)(v)
			c.Limits.OpenFiles = files
			return s
		},
	}
}

// parseMachineType adds the machine type of a section [type NAME] and its capacity in each zone.
func (r *configParser) parseMachineType(c *Config, sec *ini.Section, name string) {
	t := wire.MachineType{Name: name, CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBps: 1, Price: 4, SpotPrice: 1.5, BootS: 5}
	onDemand, spot := 4, 0
	boot := 5 * time.Second
	r.parseSection(sec, fieldParsers{"cpus": numberParser(&t.CPUs, 0.1, 1e5), "gpus": numberParser(&t.GPUs, 0, 1e4), "memory_gb": numberParser(&t.MemoryGB, 0.1, 1e6), "cache_gb": numberParser(&t.CacheGB, 0, 1e6),
		"fetch_gb_per_s": numberParser(&t.FetchGBps, 0.001, 1e4), "price": numberParser(&t.Price, 0, 1e6), "spot_price": numberParser(&t.SpotPrice, 0, 1e6),
		"boot": durationParser(&boot, 0, time.Hour), "zones": nameListParser(&t.Zones), "count": countParser(&onDemand, 0, 100_000), "spot": countParser(&spot, 0, 100_000)})
	if t.BootS = boot.Seconds(); len(t.Zones) == 0 {
		t.Zones = c.Zones
	}
	for _, z := range t.Zones {
		c.CapacityByOffer[simulator.Offer{Type: name, Zone: z}], c.CapacityByOffer[simulator.Offer{Type: name, Zone: z, Spot: true}] = onDemand, spot
	}
	c.Types = append(c.Types, t)
}

// parseTeam adds the team of a section [team NAME].
func (r *configParser) parseTeam(c *Config, sec *ini.Section, name string) {
	t := config.Team{Name: name}
	r.parseSection(sec, fieldParsers{"cpus": numberParser(&t.CPUs, 0, 1e9), "cpus_max": numberParser(&t.CPUsMax, 0, 1e9), "gpus": numberParser(&t.GPUs, 0, 1e9), "gpus_max": numberParser(&t.GPUsMax, 0, 1e9)})
	if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
		r.reject(sec.Name(), "cpus", fmt.Sprint(t.CPUs), "no more than cpus_max")
	}
	if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
		r.reject(sec.Name(), "gpus", fmt.Sprint(t.GPUs), "no more than gpus_max")
	}
	c.Teams = append(c.Teams, t)
}

// parseFault adds the fault of a section [fault NAME] to the timeline.
func (r *configParser) parseFault(c *Config, sec *ini.Section, name string) {
	f := Fault{Label: name}
	rejected := r.parseSection(sec, f.fieldParsers())
	if err := f.Check(c); err != nil {
		for _, e := range splitJoined(err) {
			if slices.Contains(rejected, fieldOfError(e)) {
				continue // reported by parseSection already, with the allowed values
			}
			r.errs = append(r.errs, fmt.Errorf("line %d: [%s]: %w", r.lineOf(sec.Name(), cmp.Or(fieldOfError(e), "kind")), sec.Name(), e))
		}
	}
	c.Timeline = append(c.Timeline, f)
}

// checkConsistency checks settings that depend on several keys or sections. Without a [type NAME] in the file it
// offers the default machine types in all zones.
func (r *configParser) checkConsistency(c *Config, hasTypes bool) {
	check := func(ok bool, key, value, allowed string) {
		if !ok {
			r.reject("world", key, value, allowed)
		}
	}
	check(c.Workers.Lease > c.Workers.HeartbeatInterval, "lease", c.Workers.Lease.String(), "more than report")
	check(c.Workers.CancelTimeout > c.Workers.Lease, "cancel", c.Workers.CancelTimeout.String(), "more than lease")
	for i := range c.Types {
		t := &c.Types[i]
		if !hasTypes {
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
