package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/scheduler"
)

// spreadSection is the prefix of the names of sections that hold the spread rule of a class.
const spreadSection = "spread "

// readSpreadRule reads a section with the rule by which the services of a class are spread over the zones.
func (t *Tuning) readSpreadRule(errs *validationErrors, class string, section *ini.Section) {
	var rule scheduler.SpreadRule
	for _, key := range section.Keys() {
		name, err := section.Name()+"."+key.Name(), error(nil)
		switch key.Name() {
		case "even":
			rule.Even, err = key.Bool()
			errs.check(err == nil, name, key.Value(), "yes or no")
		case "survive":
			rule.Survive, err = key.Float64()
			errs.check(err == nil && rule.Survive >= 0 && rule.Survive < 1, name, key.Value(), "a share from 0 to below 1")
		case "zones":
			rule.Zones = key.Strings(",")
		default:
			errs.check(false, name, key.Value(), "one of even, survive, zones")
		}
	}
	errs.check(class != "", section.Name(), "", "named after a class of jobs")
	if t.Spread == nil {
		t.Spread = make(map[string]*scheduler.SpreadRule)
	}
	t.Spread[class] = &rule
}

// checkSpread checks the spread rules against the zones of the platform's file.
func (c *Config) checkSpread() error {
	var errs validationErrors
	for class, rule := range c.Tuning.Spread {
		field := spreadSection + class
		for _, zone := range rule.Zones {
			errs.check(slices.Contains(c.Zones, zone), field+".zones", fmt.Sprintf("%q", zone), "of "+strings.Join(c.Zones, ", "))
		}
		zones := len(rule.Zones)
		if zones == 0 {
			zones = len(c.Zones)
		}
		maxShare := 1 - 1/float64(zones)
		errs.check(rule.Survive <= maxShare+1e-9, field+".survive", rule.Survive, fmt.Sprintf("at most %.3g, with %d zones", maxShare, zones))
	}
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}
