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

// Config holds an agent's settings, read from an INI file.
type Config struct {
	Identity          Identity
	Listen            string
	Capacity          Resources
	Controllers       map[string]string // public addresses by name
	HeartbeatInterval time.Duration
	Lease             time.Duration
	Store             string // address of the content-addressable store
	Dir               string // directory in which tasks run
}

// Default values and bounds of settings.
const (
	defaultHeartbeatInterval = 3 * time.Second
	defaultLease             = 30 * time.Second
	minDuration              = 100 * time.Millisecond
)

// allowedKeys lists the keys that the settings file may have, by section. A nil list allows any key.
var allowedKeys = map[string][]string{
	"machine":     {"name", "type", "zone", "spot", "listen", "cpus", "gpus", "memory_gb"},
	"controllers": nil, // names of controllers
	"workers":     {"report", "lease"},
	"actions":     {"cas", "dir"},
}

// ParseConfig parses an agent's settings. It returns all errors found, joined into one.
func ParseConfig(text []byte) (*Config, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &configReader{file: file}
	r.checkKeys()
	c := &Config{
		Listen:            r.addr("machine.listen", r.value("machine", "listen")),
		Controllers:       map[string]string{},
		Capacity:          Resources{r.amount("cpus"), r.amount("gpus"), r.amount("memory_gb")},
		HeartbeatInterval: r.duration("report", defaultHeartbeatInterval),
		Lease:             r.duration("lease", defaultLease),
		Store:             r.addr("actions.cas", r.value("actions", "cas")),
		Dir:               r.text("actions", "dir"),
	}
	c.Identity = Identity{Machine: r.text("machine", "name"), Addr: c.Listen, Type: r.text("machine", "type"), Zone: r.text("machine", "zone")}
	r.check(!strings.ContainsAny(c.Identity.Machine, " /"), "machine.name", c.Identity.Machine, "without spaces and /")
	c.Identity.Spot = r.spot()
	for _, key := range file.Section("controllers").Keys() {
		c.Controllers[key.Name()] = r.addr("controllers."+key.Name(), key.Value())
	}
	r.check(len(c.Controllers) > 0, "controllers", "none", "one NAME = IP:PORT for each controller")
	r.check(c.Lease > c.HeartbeatInterval, "workers.lease", c.Lease, "more than workers.report")
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	return c, nil
}

// configReader reads values from a settings file and collects the errors found.
type configReader struct {
	file *ini.File
	errs []error
}

// check adds an error unless ok holds. The error names the key, its value and the requirement.
func (r *configReader) check(ok bool, key string, value any, requirement string) {
	if !ok {
		r.errs = append(r.errs, fmt.Errorf("%s: %v: must be %s", key, value, requirement))
	}
}

// checkKeys adds an error for each key that is not in allowedKeys.
func (r *configReader) checkKeys() {
	for _, section := range r.file.Sections() {
		keys, known := allowedKeys[section.Name()]
		for _, key := range section.Keys() {
			ok := known && (keys == nil || slices.Contains(keys, key.Name()))
			r.check(ok, section.Name()+"."+key.Name(), key.Value(), "a key of [machine], [controllers], [workers] or [actions]: see docs/reapi.md")
		}
	}
}

func (r *configReader) value(section, key string) string {
	return r.file.Section(section).Key(key).Value()
}

func (r *configReader) text(section, key string) string {
	v := r.value(section, key)
	r.check(v != "", section+"."+key, `""`, "some text")
	return v
}

func (r *configReader) addr(name, v string) string {
	_, err := netip.ParseAddrPort(v)
	r.check(err == nil, name, fmt.Sprintf("%q", v), "an IP address and a port")
	return v
}

// amount reads a non-negative number from section machine.
func (r *configReader) amount(key string) float64 {
	v, err := r.file.Section("machine").Key(key).Float64()
	r.check(err == nil && v >= 0, "machine."+key, r.value("machine", key), "a number of 0 or more")
	return v
}

// duration reads a duration from section workers.
func (r *configReader) duration(key string, defaultValue time.Duration) time.Duration {
	text := r.value("workers", key)
	if text == "" {
		return defaultValue
	}
	v, err := time.ParseDuration(text)
	r.check(err == nil && v >= minDuration, "workers."+key, text, "a duration of 100ms or more")
	return v
}

// spot reads whether the machine is a spot instance. The default is false.
func (r *configReader) spot() bool {
	text := r.value("machine", "spot")
	if text == "" {
		return false
	}
	v, err := r.file.Section("machine").Key("spot").Bool()
	r.check(err == nil, "machine.spot", text, "on or off")
	return v
}
