package emulator

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Fault is a fault to be injected at a time of a timeline, or at once. The meaning of its fields
// depends on the kind; docs/emulator.md has the table.
type Fault struct {
	Label  string        `json:"label,omitempty"`
	Kind   string        `json:"kind"`
	At     time.Duration `json:"at,omitempty"`
	For    time.Duration `json:"for,omitempty"`
	From   string        `json:"from,omitempty"`
	To     string        `json:"to,omitempty"`
	Mode   string        `json:"mode,omitempty"`
	OneWay bool          `json:"one_way,omitempty"`
	Delay  time.Duration `json:"delay,omitempty"`
	Share  float64       `json:"share,omitempty"`
	Count  int           `json:"count,omitempty"`
	Zone   string        `json:"zone,omitempty"`
	Notice time.Duration `json:"notice,omitempty"`
	Times  float64       `json:"times,omitempty"`
	Who    string        `json:"who,omitempty"`

	FromState bool `json:"from_state,omitempty"`
	FromPeers bool `json:"from_peers,omitempty"`

	AtOnce  bool          `json:"at_once,omitempty"`
	ForNext bool          `json:"for_next,omitempty"`
	Hang    time.Duration `json:"hang,omitempty"`
}

// fieldsByKind lists the kinds of faults, and for each the fields that it requires and allows beside at
// and for.
var fieldsByKind = map[string]struct{ needs, may []string }{
	"cut":             {[]string{"from", "to"}, []string{"mode", "one_way"}},
	"slow":            {[]string{"from", "to", "delay"}, []string{"one_way"}},
	"state_down":      {},
	"state_refuse":    {needs: []string{"who"}},
	"state_slow":      {needs: []string{"delay"}},
	"state_lose":      {needs: []string{"share"}},
	"state_late":      {[]string{"share"}, []string{"at_once"}},
	"state_forget":    {},
	"cloud_down":      {},
	"cloud_fewer":     {needs: []string{"share"}},
	"cloud_late":      {needs: []string{"delay"}},
	"boot_slow":       {needs: []string{"times"}},
	"boot_never":      {needs: []string{"share"}},
	"machine_die":     {may: []string{"count", "share", "zone"}},
	"machine_restart": {may: []string{"count", "share", "zone", "delay"}},
	"machine_hang":    {may: []string{"count", "share", "zone"}},
	"machine_deaf":    {may: []string{"count", "share", "zone"}},
	"machine_mute":    {may: []string{"count", "share", "zone"}},
	"report_late":     {[]string{"share"}, []string{"for_next"}},
	"cancel_now":      {[]string{"count"}, []string{"hang"}},
	"cancel_at_end":   {needs: []string{"share"}},
	"odd_requests":    {},
	"close_looks":     {},
	"spot_taken":      {may: []string{"count", "share", "zone", "notice"}},
	"controller_kill": {may: []string{"who", "delay"}},
	"controller_hang": {may: []string{"who"}},
	"controller_cut":  {[]string{"who"}, []string{"from_state", "from_peers", "mode"}},
}

// FaultKinds lists the kinds of faults.
func FaultKinds() (out []string) {
	for k := range fieldsByKind {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// parsers returns the parsers of a fault's keys.
func (f *Fault) parsers() fieldParsers {
	return fieldParsers{"kind": stringParser(&f.Kind, FaultKinds()...), "at": durationParser(&f.At, 0, 24*time.Hour), "for": durationParser(&f.For, 0, 24*time.Hour),
		"from": stringParser(&f.From), "to": stringParser(&f.To), "mode": stringParser(&f.Mode, "hold", "lose", "reset"), "one_way": booleanParser(&f.OneWay), "delay": durationParser(&f.Delay, time.Millisecond, time.Hour),
		"share": numberParser(&f.Share, 0, 1), "count": countParser(&f.Count, 1, 1_000_000), "zone": stringParser(&f.Zone), "notice": durationParser(&f.Notice, 0, time.Hour),
		"times": numberParser(&f.Times, 0.01, 1000), "who": stringParser(&f.Who),
		"from_state": booleanParser(&f.FromState), "from_peers": booleanParser(&f.FromPeers),
		"at_once": booleanParser(&f.AtOnce), "for_next": booleanParser(&f.ForNext), "hang": durationParser(&f.Hang, time.Millisecond, time.Hour)}
}

// acceptedFields lists the fields that a fault of this kind accepts.
func (f *Fault) acceptedFields() string {
	k := fieldsByKind[f.Kind]
	return strings.Join(slices.Concat([]string{"for"}, k.needs, k.may), ", ")
}

// fieldError is an error in one field.
type fieldError struct {
	field string
	error
}

// fieldOfError returns the field that an error is about, if any.
func fieldOfError(err error) string {
	var f *fieldError
	if errors.As(err, &f) {
		return f.field
	}
	return ""
}

// splitJoined returns the errors that errors.Join has combined.
func splitJoined(err error) []error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return []error{err}
}

// fieldErrors collects the errors in the fields of a fault.
type fieldErrors []error

// add records an error in a field; the message begins with the name of the field.
func (e *fieldErrors) add(field, format string, args ...any) {
	*e = append(*e, &fieldError{field, fmt.Errorf("%s: "+format, append([]any{field}, args...)...)})
}

// Check reports everything that is wrong with a fault in a cluster.
func (f *Fault) Check(c *Config) error {
	var wrong fieldErrors
	if _, ok := fieldsByKind[f.Kind]; !ok {
		wrong.add("kind", "%q: must be one of %s", f.Kind, strings.Join(FaultKinds(), ", "))
		return errors.Join(wrong...)
	}
	f.checkFields(&wrong)
	if f.Kind == "controller_cut" && !f.FromState && !f.FromPeers {
		wrong.add("from_state", "missing: controller_cut needs from_state = yes, from_peers = yes, or both")
	}
	if f.Kind == "machine_hang" && f.For == 0 {
		wrong.add("for", "missing: machine_hang needs it")
	}
	f.checkNames(c, &wrong)
	return errors.Join(wrong...)
}

// checkFields checks that the fields are set which the kind requires, and no others than it allows.
func (f *Fault) checkFields(wrong *fieldErrors) {
	k := fieldsByKind[f.Kind]
	set := map[string]bool{"from": f.From != "", "to": f.To != "", "mode": f.Mode != "", "one_way": f.OneWay, "delay": f.Delay > 0, "share": f.Share > 0,
		"count": f.Count > 0, "zone": f.Zone != "", "notice": f.Notice > 0, "times": f.Times > 0, "who": f.Who != "",
		"from_state": f.FromState, "from_peers": f.FromPeers, "at_once": f.AtOnce, "for_next": f.ForNext, "hang": f.Hang > 0}
	for _, name := range sortedNames(set) {
		needed := slices.Contains(k.needs, name)
		if needed && !set[name] {
			wrong.add(name, "missing: %s needs it", f.Kind)
		}
		if set[name] && !needed && !slices.Contains(k.may, name) {
			wrong.add(name, "means nothing to %s, which takes %s", f.Kind, f.acceptedFields())
		}
	}
}

// checkNames checks that the cluster has the zone, the controller and the endpoints that are named.
func (f *Fault) checkNames(c *Config, wrong *fieldErrors) {
	if f.Zone != "" && !slices.Contains(c.Zones, f.Zone) {
		wrong.add("zone", "%q: must be one of %s", f.Zone, strings.Join(c.Zones, ", "))
	}
	if f.Who != "" && !slices.Contains(c.controllerNames(), f.Who) {
		wrong.add("who", "%q: must be one of %s", f.Who, strings.Join(c.controllerNames(), ", "))
	}
	c.checkEndpoint("from", f.From, wrong)
	c.checkEndpoint("to", f.To, wrong)
}

// checkEndpoint checks that the cluster has an endpoint that a field names.
func (c *Config) checkEndpoint(field, name string, wrong *fieldErrors) {
	if name != "" && !c.hasEndpoint(name) {
		wrong.add(field, "%q: must be state, cloud, controllers, machines, all, zone:NAME, or one of %s", name, strings.Join(c.controllerNames(), ", "))
	}
}

func sortedNames(set map[string]bool) (names []string) {
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// controllerNames lists the controllers.
func (c *Config) controllerNames() (out []string) {
	for i := range c.Controllers {
		out = append(out, fmt.Sprint("c-", i))
	}
	return out
}

// hasEndpoint reports whether a name denotes an endpoint of the cluster's links.
func (c *Config) hasEndpoint(side string) bool {
	zone, isZone := strings.CutPrefix(side, "zone:")
	return slices.Contains([]string{"state", "cloud", "controllers", "machines", "all"}, side) || slices.Contains(c.controllerNames(), side) || isZone && slices.Contains(c.Zones, zone)
}

// describe returns a description of a fault in one line.
func (f *Fault) describe() string {
	var out []string
	add := func(name string, set bool, value any) {
		if set {
			out = append(out, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add("from", f.From != "", f.From)
	add("to", f.To != "", f.To)
	add("mode", f.Mode != "", f.Mode)
	add("one_way", f.OneWay, "yes")
	add("delay", f.Delay > 0, f.Delay)
	add("share", f.Share > 0, f.Share)
	add("count", f.Count > 0, f.Count)
	add("zone", f.Zone != "", f.Zone)
	add("notice", f.Notice > 0, f.Notice)
	add("times", f.Times > 0, f.Times)
	add("who", f.Who != "", f.Who)
	add("from_state", f.FromState, "yes")
	add("from_peers", f.FromPeers, "yes")
	add("at_once", f.AtOnce, "yes")
	add("for_next", f.ForNext, "yes")
	add("hang", f.Hang > 0, f.Hang)
	add("for", f.For > 0, f.For)
	return strings.TrimSpace(f.Kind + " " + strings.Join(out, " "))
}
