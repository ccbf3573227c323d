package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/internal/fleet"
)

// Sharding returns how the fleet is divided into shards.
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

// maxShardNameBytes bounds the names of zones and machine types that are shards, in bytes.
const maxShardNameBytes = 60

// checkShards checks the division into shards against the zones of the platform's file.
func (c *Config) checkShards() error {
	var f validationErrors
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
	f.checkShardNames("params.zones", c.Zones)
	f.checkShardNames("parts.types", p.Types)
	return errors.Join(f...)
}

// checkShardNames checks the names of a list that shards may be called by.
func (f *validationErrors) checkShardNames(field string, names []string) {
	for i, name := range names {
		usable := name != "" && len(name) <= maxShardNameBytes && !strings.ContainsAny(name, " /\t\n")
		unique := !slices.Contains(names[:i], name)
		f.check(usable && unique, fmt.Sprintf("%s[%d]", field, i),
			fmt.Sprintf("%q", name), "another name of up to 60 bytes without spaces and slashes, since parts are called so")
	}
}
