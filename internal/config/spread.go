package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/scheduler"
)

// spreadSection begins the names of the sections that say how services are spread.
const spreadSection = "spread "

// readSpreadRule reads the section that says how the services of a class are spread over the
// zones.
func (t *Tuning) readSpreadRule(f *validationErrors, class string, sec *ini.Section) {
	var r scheduler.SpreadRule
	for _, key := range sec.Keys() {
		name, err := sec.Name()+"."+key.Name(), error(nil)
		switch key.Name() {
		case "even":
			r.Even, err = key.Bool()
			f.check(err == nil, name, key.Value(), "yes or no")
		case "survive":
			r.Survive, err = key.Float64()
			f.check(err == nil && r.Survive >= 0 && r.Survive < 1, name, key.Value(), "a share from 0 to below 1")
		case "zones":
			r.Zones = key.Strings(",")
		default:
			f.check(false, name, key.Value(), "one of even, survive, zones")
		}
	}
	f.check(class != "", sec.Name(), "", "named after a class of jobs")
	if t.Spread == nil {
		t.Spread = make(map[string]*scheduler.SpreadRule)
	}
	t.Spread[class] = &r
}

// checkSpread checks the spread rules against the zones of the platform's file.
func (c *Config) checkSpread() error {
	var f validationErrors
	for class, r := range c.Tuning.Spread {
		at := spreadSection + class
		for _, zone := range r.Zones {
			f.check(slices.Contains(c.Zones, zone), at+".zones", fmt.Sprintf("%q", zone), "of "+strings.Join(c.Zones, ", "))
		}
		zones := len(r.Zones)
		if zones == 0 {
			zones = len(c.Zones)
		}
		most := 1 - 1/float64(zones)
		f.check(r.Survive <= most+1e-9, at+".survive", r.Survive, fmt.Sprintf("at most %.3g, with %d zones", most, zones))
	}
	slices.SortFunc(f, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(f...)
}
