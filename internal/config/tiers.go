package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/tier"
)

// tierSection is the prefix of the names of sections that define a tier.
const tierSection = "tier "

// Tiers returns the priority tiers, in their order.
func (c *Config) Tiers() *tier.Set { return tier.New(c.Tuning.Tiers) }

// maxTierNameBytes is the maximum length of the name of a tier.
const maxTierNameBytes = 40

// reservedTierNames have a special meaning in lists of tiers, so that no tier can have them.
var reservedTierNames = []string{"all", "none", "rest"}

// readTier reads a section that defines a tier.
func (t *Tuning) readTier(errs *validationErrors, section *ini.Section) {
	name := strings.TrimSpace(strings.TrimPrefix(section.Name(), tierSection))
	field := "[" + section.Name() + "]"
	usable := name != "" && len(name) <= maxTierNameBytes && !strings.ContainsAny(name, " ,\t") && !slices.Contains(reservedTierNames, name)
	unique := !slices.ContainsFunc(t.Tiers, func(other tier.Tier) bool { return other.Name == name })
	errs.check(usable && unique, field, fmt.Sprintf("%q", name),
		"another name of up to 40 bytes without spaces and commas, but for all, none and rest")
	errs.check(section.HasKey("order"), field+".order", "none", "a count from 0 to 1000, the least is ahead")
	out := tier.Tier{Name: name, ReclaimWithin: tier.DefaultReclaimWithin}
	for _, key := range section.Keys() {
		readTierKey(errs, &out, field+"."+key.Name(), key)
	}
	t.Tiers = append(t.Tiers, out)
}

// readTierKey reads a key of a tier's section into out. The field names the key in errors. A card in these settings
// is a GPU.
func readTierKey(errs *validationErrors, out *tier.Tier, field string, key *ini.Key) {
	value := key.Value()
	if zone, ok := strings.CutPrefix(key.Name(), "cards."); ok {
		if out.Zones == nil {
			out.Zones = make(map[string]tier.Share)
		}
		out.Zones[zone] = parseShare(errs, field, value)
		return
	}
	switch key.Name() {
	case "order":
		n, err := key.Int()
		errs.check(err == nil && n >= 0 && n <= 1000, field, value, "a count from 0 to 1000, the least is ahead")
		out.Order = n
	case "priority":
		out.Priorities = key.Strings(",")
	case "class":
		out.Classes = key.Strings(",")
	case "team":
		out.Teams = key.Strings(",")
	case "in_team":
		v, err := key.Bool()
		errs.check(err == nil, field, value, "on or off")
		out.InTeam = v
	case "cards":
		out.Share = parseShare(errs, field, value)
	case "within":
		v, err := time.ParseDuration(value)
		errs.check(err == nil && v >= 10*time.Second && v <= maxDuration, field, value, "a duration from 10s to 10m")
		out.ReclaimWithin = v
	case "lend":
		out.LendsTo = parseLendsTo(out.LendsTo, key)
	default:
		errs.check(false, field, value, "one of order, priority, class, team, in_team, cards, cards.ZONE, within, lend")
	}
}

// parseLendsTo returns the tiers that idle cards are lent to: for all, the default that is passed in.
func parseLendsTo(all []string, key *ini.Key) []string {
	switch key.Value() {
	case "all":
		return all
	case "none":
		return []string{}
	}
	return key.Strings(",")
}

// parseShare parses a number of cards, or a percentage of the existing cards.
func parseShare(errs *validationErrors, field, value string) tier.Share {
	text, isPercentage := strings.CutSuffix(value, "%")
	n, err := strconv.ParseFloat(text, 64)
	errs.check(err == nil && n >= 0 && (n <= 100 || !isPercentage && n <= 1e6), field, value, "a number of cards from 0 to 1e6, or a share such as 20%")
	if isPercentage {
		return tier.Share{Fraction: n / 100}
	}
	return tier.Share{Cards: n}
}

// checkTiers checks the tiers against each other, and against the zones and teams of the platform's file.
func (c *Config) checkTiers() error {
	var errs validationErrors
	var names, teams []string
	for _, t := range c.Tuning.Tiers {
		names = append(names, t.Name)
	}
	for _, t := range c.Teams {
		teams = append(teams, t.Name)
	}
	checkNames := func(field string, listed, allowed []string) {
		for _, name := range listed {
			errs.check(slices.Contains(allowed, name), field, fmt.Sprintf("%q", name), "one of "+strings.Join(allowed, ", "))
		}
	}
	guaranteed := make(map[string]float64) // sum of the guaranteed fractions by zone; "" stands for the whole fleet
	for _, t := range c.Tuning.Tiers {
		prefix := "[" + tierSection + t.Name + "]."
		checkNames(prefix+"priority", t.Priorities, []string{"production", "high", "normal", "low"})
		checkNames(prefix+"team", t.Teams, teams)
		checkNames(prefix+"lend", t.LendsTo, append(slices.Clone(names), "rest")) // all and none are allowed only on their own
		guaranteed[""] += t.Share.Fraction
		for _, zone := range slices.Sorted(maps.Keys(t.Zones)) {
			checkNames(prefix+"cards."+zone, []string{zone}, c.Zones)
			guaranteed[zone] += t.Zones[zone].Fraction
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(guaranteed)) {
		errs.check(guaranteed[zone] <= 1+1e-9, strings.TrimSuffix("[tier ...].cards."+zone, "."), fmt.Sprintf("%.4g%%", guaranteed[zone]*100), "no more than 100% for all tiers together")
	}
	return errors.Join(errs...)
}
