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

// tierSection begins the names of the sections that set tiers.
const tierSection = "tier "

// Tiers returns the tiers of work, in their order.
func (c *Config) Tiers() *tier.Set { return tier.New(c.Tuning.Tiers) }

// maxTierNameBytes bounds the name of a tier, in bytes.
const maxTierNameBytes = 40

// reservedTierNames have a meaning of their own in lists of tiers.
var reservedTierNames = []string{"all", "none", "rest"}

// readTier reads a section that sets a tier.
func (t *Tuning) readTier(f *validationErrors, sec *ini.Section) {
	name := strings.TrimSpace(strings.TrimPrefix(sec.Name(), tierSection))
	at := "[" + sec.Name() + "]"
	usable := name != "" && len(name) <= maxTierNameBytes && !strings.ContainsAny(name, " ,\t") && !slices.Contains(reservedTierNames, name)
	unique := !slices.ContainsFunc(t.Tiers, func(o tier.Tier) bool { return o.Name == name })
	f.check(usable && unique, at, fmt.Sprintf("%q", name),
		"another name of up to 40 bytes without spaces and commas, but for all, none and rest")
	f.check(sec.HasKey("order"), at+".order", "none", "a count from 0 to 1000, the least is ahead")
	out := tier.Tier{Name: name, ReclaimWithin: tier.DefaultReclaimWithin}
	for _, key := range sec.Keys() {
		readTierKey(f, &out, at+"."+key.Name(), key)
	}
	t.Tiers = append(t.Tiers, out)
}

// readTierKey reads one key of a tier's section; field is its name in messages.
func readTierKey(f *validationErrors, out *tier.Tier, field string, key *ini.Key) {
	value := key.Value()
	if zone, ok := strings.CutPrefix(key.Name(), "cards."); ok {
		if out.Zones == nil {
			out.Zones = make(map[string]tier.Share)
		}
		out.Zones[zone] = parseShare(f, field, value)
		return
	}
	switch key.Name() {
	case "order":
		n, err := key.Int()
		f.check(err == nil && n >= 0 && n <= 1000, field, value, "a count from 0 to 1000, the least is ahead")
		out.Order = n
	case "priority":
		out.Priorities = key.Strings(",")
	case "class":
		out.Classes = key.Strings(",")
	case "team":
		out.Teams = key.Strings(",")
	case "in_team":
		v, err := key.Bool()
		f.check(err == nil, field, value, "on or off")
		out.InTeam = v
	case "cards":
		out.Share = parseShare(f, field, value)
	case "within":
		v, err := time.ParseDuration(value)
		f.check(err == nil && v >= 10*time.Second && v <= maxDuration, field, value, "a duration from 10s to 10m")
		out.ReclaimWithin = v
	case "lend":
		out.LendsTo = parseLendsTo(out.LendsTo, key)
	default:
		f.check(false, field, value, "one of order, priority, class, team, in_team, cards, cards.ZONE, within, lend")
	}
}

// parseLendsTo reads to which tiers idle cards are lent: before means all, as without the key.
func parseLendsTo(before []string, key *ini.Key) []string {
	switch key.Value() {
	case "all":
		return before
	case "none":
		return []string{}
	}
	return key.Strings(",")
}

// parseShare reads a number of cards, or a part of those that there are.
func parseShare(f *validationErrors, field, value string) tier.Share {
	text, part := strings.CutSuffix(value, "%")
	n, err := strconv.ParseFloat(text, 64)
	f.check(err == nil && n >= 0 && (n <= 100 || !part && n <= 1e6), field, value, "a number of cards from 0 to 1e6, or a share such as 20%")
	if part {
		return tier.Share{Fraction: n / 100}
	}
	return tier.Share{Cards: n}
}

// checkTiers checks the tiers against each other and against the platform's file.
func (c *Config) checkTiers() error {
	var f validationErrors
	var names, teams []string
	for _, t := range c.Tuning.Tiers {
		names = append(names, t.Name)
	}
	for _, t := range c.Teams {
		teams = append(teams, t.Name)
	}
	listed := func(field string, list, allowed []string) {
		for _, name := range list {
			f.check(slices.Contains(allowed, name), field, fmt.Sprintf("%q", name), "one of "+strings.Join(allowed, ", "))
		}
	}
	guaranteed := make(map[string]float64) // that are guaranteed, by zone, "" for all
	for _, t := range c.Tuning.Tiers {
		at := "[" + tierSection + t.Name + "]."
		listed(at+"priority", t.Priorities, []string{"production", "high", "normal", "low"})
		listed(at+"team", t.Teams, teams)
		listed(at+"lend", t.LendsTo, append(slices.Clone(names), "rest")) // all and none stand alone
		guaranteed[""] += t.Share.Fraction
		for _, zone := range slices.Sorted(maps.Keys(t.Zones)) {
			listed(at+"cards."+zone, []string{zone}, c.Zones)
			guaranteed[zone] += t.Zones[zone].Fraction
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(guaranteed)) {
		f.check(guaranteed[zone] <= 1+1e-9, strings.TrimSuffix("[tier ...].cards."+zone, "."), fmt.Sprintf("%.4g%%", guaranteed[zone]*100), "no more than 100% for all tiers together")
	}
	return errors.Join(f...)
}
