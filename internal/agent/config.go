package agent

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Config is an agent's settings, an INI file.
type Config struct {
	Identity          Identity
	Listen            string
	Capacity          Resources
	Controllers       map[string]string
	HeartbeatInterval time.Duration
	Lease             time.Duration
	Store             string // address of the store of blobs
	Dir               string // where tasks run
}

// allowedKeys are the keys of the file.
var allowedKeys = map[string][]string{
	"machine":     {"name", "type", "zone", "spot", "listen", "cpus", "gpus", "memory_gb"},
	"controllers": nil, // names of controllers
	"workers":     {"report", "lease"},
	"actions":     {"cas", "dir"},
}

// ParseConfig reads an agent's settings. The error names every fault.
func ParseConfig(text []byte) (*Config, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var errs []error
	fault := func(ok bool, key string, value any, must string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %v: must be %s", key, value, must))
		}
	}
	for _, sec := range file.Sections() {
		keys, known := allowedKeys[sec.Name()]
		for _, key := range sec.Keys() {
			name := sec.Name() + "." + key.Name()
			fault(known && (keys == nil || slices.Contains(keys, key.Name())), name, key.Value(), "a key of [machine], [controllers], [workers] or [actions]: see docs/reapi.md")
		}
	}
	get := func(sec, key string) *ini.Key { return file.Section(sec).Key(key) }
	text1 := func(sec, key string) string {
		v := get(sec, key).Value()
		fault(v != "", sec+"."+key, `""`, "some text")
		return v
	}
	addr := func(name, v string) string {
		_, err := netip.ParseAddrPort(v)
		fault(err == nil, name, fmt.Sprintf("%q", v), "an IP address and a port")
		return v
	}
	amount := func(key string) float64 {
		v, err := get("machine", key).Float64()
		fault(err == nil && v >= 0, "machine."+key, get("machine", key).Value(), "a number of 0 or more")
		return v
	}
	duration := func(key string, otherwise time.Duration) time.Duration {
		if get("workers", key).Value() == "" {
			return otherwise
		}
		v, err := time.ParseDuration(get("workers", key).Value())
		fault(err == nil && v >= 100*time.Millisecond, "workers."+key, get("workers", key).Value(), "a duration of 100ms or more")
		return v
	}
	c := &Config{Listen: addr("machine.listen", get("machine", "listen").Value()), Controllers: map[string]string{},
		Capacity: Resources{amount("cpus"), amount("gpus"), amount("memory_gb")}, HeartbeatInterval: duration("report", 3*time.Second), Lease: duration("lease", 30*time.Second),
		Store: addr("actions.cas", get("actions", "cas").Value()), Dir: text1("actions", "dir")}
	c.Identity = Identity{Machine: text1("machine", "name"), Addr: c.Listen, Type: text1("machine", "type"), Zone: text1("machine", "zone")}
	fault(!strings.ContainsAny(c.Identity.Machine, " /"), "machine.name", c.Identity.Machine, "without spaces and /")
	if v := get("machine", "spot").Value(); v != "" {
		c.Identity.Spot, err = get("machine", "spot").Bool()
		fault(err == nil, "machine.spot", v, "on or off")
	}
	for _, key := range file.Section("controllers").Keys() {
		c.Controllers[key.Name()] = addr("controllers."+key.Name(), key.Value())
	}
	fault(len(c.Controllers) > 0, "controllers", "none", "one NAME = IP:PORT for each controller")
	fault(c.Lease > c.HeartbeatInterval, "workers.lease", c.Lease, "more than workers.report")
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return c, nil
}
