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

// maxShardNameBytes is the maximum length of the name of a zone or machine type that is a shard.
const maxShardNameBytes = 60

// checkShards checks the settings of shards against the zones of the platform's file.
func (c *Config) checkShards() error {
	var errs validationErrors
	shards := c.Tuning.Shards
	n, err := strconv.Atoi(shards.By)
	switch {
	case shards.By == "", shards.By == "off", shards.By == "zone", shards.By == "type" && len(shards.Types) > 0:
	case shards.By == "type":
		errs.check(false, "parts.types", `""`, "the machine types that are parts, separated by commas")
	default:
		errs.check(err == nil && n >= 1 && n <= len(c.Zones), "parts.by", fmt.Sprintf("%q", shards.By), fmt.Sprintf("off, zone, type, or a number from 1 to %d, that of the zones", len(c.Zones)))
	}
	if shards.By == "" || shards.By == "off" {
		return errors.Join(errs...)
	}
	errs.checkShardNames("params.zones", c.Zones)
	errs.checkShardNames("parts.types", shards.Types)
	return errors.Join(errs...)
}

// checkShardNames checks that the names of a list are unique and can be used as names of shards.
func (errs *validationErrors) checkShardNames(field string, names []string) {
	for i, name := range names {
		usable := name != "" && len(name) <= maxShardNameBytes && !strings.ContainsAny(name, " /\t\n")
		unique := !slices.Contains(names[:i], name)
		errs.check(usable && unique, fmt.Sprintf("%s[%d]", field, i),
			fmt.Sprintf("%q", name), "another name of up to 60 bytes without spaces and slashes, since parts are called so")
	}
}
