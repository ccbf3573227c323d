package emulator

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Fault is a fault to be injected, at a time of the timeline or immediately. The meaning of its fields depends on the
// kind; docs/emulator.md has the table.
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

// fieldsByKind lists the kinds of faults, each with the fields that it requires and those that it also allows. All
// kinds allow at and for.
var fieldsByKind = map[string]struct{ required, optional []string }{
	"cut":             {[]string{"from", "to"}, []string{"mode", "one_way"}},
	"slow":            {[]string{"from", "to", "delay"}, []string{"one_way"}},
	"state_down":      {},
	"state_refuse":    {required: []string{"who"}},
	"state_slow":      {required: []string{"delay"}},
	"state_lose":      {required: []string{"share"}},
	"state_late":      {[]string{"share"}, []string{"at_once"}},
	"state_forget":    {},
	"cloud_down":      {},
	"cloud_fewer":     {required: []string{"share"}},
	"cloud_late":      {required: []string{"delay"}},
	"boot_slow":       {required: []string{"times"}},
	"boot_never":      {required: []string{"share"}},
	"machine_die":     {optional: []string{"count", "share", "zone"}},
	"machine_restart": {optional: []string{"count", "share", "zone", "delay"}},
	"machine_hang":    {optional: []string{"count", "share", "zone"}},
	"machine_deaf":    {optional: []string{"count", "share", "zone"}},
	"machine_mute":    {optional: []string{"count", "share", "zone"}},
	"report_late":     {[]string{"share"}, []string{"for_next"}},
	"command_late":    {required: []string{"share"}},
	"jobs_mistaken":   {required: []string{"share"}},
	"cancel_now":      {[]string{"count"}, []string{"hang"}},
	"cancel_at_end":   {required: []string{"share"}},
	"odd_requests":    {},
	"close_looks":     {},
	"spot_taken":      {optional: []string{"count", "share", "zone", "notice"}},
	"controller_kill": {optional: []string{"who", "delay"}},
	"controller_hang": {optional: []string{"who"}},
	"controller_cut":  {[]string{"who"}, []string{"from_state", "from_peers", "mode"}},
}

// FaultKinds returns the kinds of faults in alphabetical order.
func FaultKinds() (out []string) {
	for k := range fieldsByKind {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// fieldParsers returns the parsers for the keys of a section [fault NAME].
func (f *Fault) fieldParsers() fieldParsers {
	return fieldParsers{"kind": stringParser(&f.Kind, FaultKinds()...), "at": durationParser(&f.At, 0, 24*time.Hour), "for": durationParser(&f.For, 0, 24*time.Hour),
		"from": stringParser(&f.From), "to": stringParser(&f.To), "mode": stringParser(&f.Mode, "hold", "lose", "reset"), "one_way": booleanParser(&f.OneWay), "delay": durationParser(&f.Delay, time.Millisecond, time.Hour),
		"share": numberParser(&f.Share, 0, 1), "count": countParser(&f.Count, 1, 1_000_000), "zone": stringParser(&f.Zone), "notice": durationParser(&f.Notice, 0, time.Hour),
		"times": numberParser(&f.Times, 0.01, 1000), "who": stringParser(&f.Who),
		"from_state": booleanParser(&f.FromState), "from_peers": booleanParser(&f.FromPeers),
		"at_once": booleanParser(&f.AtOnce), "for_next": booleanParser(&f.ForNext), "hang": durationParser(&f.Hang, time.Millisecond, time.Hour)}
}

// acceptedFields returns the names of the fields that a fault of this kind accepts, for error messages.
func (f *Fault) acceptedFields() string {
	k := fieldsByKind[f.Kind]
	return strings.Join(slices.Concat([]string{"for"}, k.required, k.optional), ", ")
}

// fieldError is an error in one field of a fault.
type fieldError struct {
	field string
	error
}

// fieldOfError returns the name of the field that an error is about, or an empty string.
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

// Check validates a fault for a cluster and returns all errors joined.
func (f *Fault) Check(c *Config) error {
	var errs fieldErrors
	if _, ok := fieldsByKind[f.Kind]; !ok {
		errs.add("kind", "%q: must be one of %s", f.Kind, strings.Join(FaultKinds(), ", "))
		return errors.Join(errs...)
	}
	f.checkFields(&errs)
	if f.Kind == "controller_cut" && !f.FromState && !f.FromPeers {
		errs.add("from_state", "missing: controller_cut needs from_state = yes, from_peers = yes, or both")
	}
	if f.Kind == "machine_hang" && f.For == 0 {
		errs.add("for", "missing: machine_hang needs it")
	}
	f.checkNames(c, &errs)
	return errors.Join(errs...)
}

// checkFields checks that all fields that the kind requires are set, and none that it does not allow.
func (f *Fault) checkFields(errs *fieldErrors) {
	k := fieldsByKind[f.Kind]
	set := map[string]bool{"from": f.From != "", "to": f.To != "", "mode": f.Mode != "", "one_way": f.OneWay, "delay": f.Delay > 0, "share": f.Share > 0,
		"count": f.Count > 0, "zone": f.Zone != "", "notice": f.Notice > 0, "times": f.Times > 0, "who": f.Who != "",
		"from_state": f.FromState, "from_peers": f.FromPeers, "at_once": f.AtOnce, "for_next": f.ForNext, "hang": f.Hang > 0}
	for _, name := range sortedNames(set) {
		required := slices.Contains(k.required, name)
		if required && !set[name] {
			errs.add(name, "missing: %s needs it", f.Kind)
		}
		if set[name] && !required && !slices.Contains(k.optional, name) {
			errs.add(name, "means nothing to %s, which takes %s", f.Kind, f.acceptedFields())
		}
	}
}

// checkNames checks that the cluster has the zone, the controller and the endpoints that a fault names.
func (f *Fault) checkNames(c *Config, errs *fieldErrors) {
	if f.Zone != "" && !slices.Contains(c.Zones, f.Zone) {
		errs.add("zone", "%q: must be one of %s", f.Zone, strings.Join(c.Zones, ", "))
	}
	if f.Who != "" && !slices.Contains(c.controllerNames(), f.Who) {
		errs.add("who", "%q: must be one of %s", f.Who, strings.Join(c.controllerNames(), ", "))
	}
	c.checkEndpoint("from", f.From, errs)
	c.checkEndpoint("to", f.To, errs)
}

// checkEndpoint checks that the cluster has the endpoint that a field names.
func (c *Config) checkEndpoint(field, name string, errs *fieldErrors) {
	if name != "" && !c.hasEndpoint(name) {
		errs.add(field, "%q: must be state, cloud, controllers, machines, all, zone:NAME, or one of %s", name, strings.Join(c.controllerNames(), ", "))
	}
}

// sortedNames returns the keys of a map in alphabetical order.
func sortedNames(set map[string]bool) (names []string) {
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// controllerNames returns the names of the controllers.
func (c *Config) controllerNames() (out []string) {
	for i := range c.Controllers {
		out = append(out, fmt.Sprint("c-", i))
	}
	return out
}

// hasEndpoint reports whether a name denotes an endpoint of the cluster's links.
func (c *Config) hasEndpoint(name string) bool {
	zone, isZone := strings.CutPrefix(name, "zone:")
	return slices.Contains([]string{"state", "cloud", "controllers", "machines", "all"}, name) || slices.Contains(c.controllerNames(), name) || isZone && slices.Contains(c.Zones, zone)
}

// describe returns a one-line description of a fault: its kind and the fields that are set.
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
