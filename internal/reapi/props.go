package reapi

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"amberdeal.example/amberdeal/wire"
)

// Defaults holds the attributes of an action's job that apply unless the instance name or platform properties
// override them.
type Defaults struct {
	Team, Class string
	Priority    wire.Priority
	CPUs, GPUs  float64
	MemoryGB    float64
	Image       string
	Spot        bool
	Estimate    time.Duration
}

// properties maps each supported platform property to a function that validates its value and sets it on a job.
var properties = map[string]func(j *wire.Job, value string) error{
	"team":            func(j *wire.Job, v string) error { j.Team = v; return checkText(v) },
	"class":           func(j *wire.Job, v string) error { j.Class = v; return checkText(v) },
	"priority":        setPriority,
	"cpus":            amountSetter(func(j *wire.Job, n float64) { j.CPUs = n }),
	"gpus":            amountSetter(func(j *wire.Job, n float64) { j.GPUs = n }),
	"memory-gb":       amountSetter(func(j *wire.Job, n float64) { j.MemoryGB = n }),
	"zone":            func(j *wire.Job, v string) error { j.Zone = v; return checkText(v) },
	"machine-type":    func(j *wire.Job, v string) error { j.Types = append(j.Types, v); return checkText(v) },
	"container-image": func(j *wire.Job, v string) error { j.Image = v; return checkText(v) },
	"spot": func(j *wire.Job, v string) (err error) {
		if j.Spot, err = strconv.ParseBool(v); err != nil {
			return fmt.Errorf("must be true or false")
		}
		return nil
	},
	"OSFamily": func(_ *wire.Job, v string) error {
		if !strings.EqualFold(v, "linux") {
			return fmt.Errorf("must be linux")
		}
		return nil
	},
}

// maxTextBytes is the maximum size of a text property.
const maxTextBytes = 200

func checkText(value string) error {
	if value == "" || len(value) > maxTextBytes || !utf8.ValidString(value) {
		return fmt.Errorf("must be text of 1 to 200 bytes")
	}
	return nil
}

func setPriority(j *wire.Job, value string) error {
	if j.Priority = wire.Priority(value); j.Priority.Rank() < 0 {
		return fmt.Errorf("must be production, high, normal or low")
	}
	return nil
}

func amountSetter(set func(*wire.Job, float64)) func(*wire.Job, string) error {
	return func(j *wire.Job, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0 && n <= 1e6) {
			return fmt.Errorf("must be a number from 0 to 1e6")
		}
		set(j, n)
		return nil
	}
}

// job returns the job of an action. The instance name, TEAM or TEAM/CLASS, overrides the defaults, and the platform
// properties override both. The error names every property that is unknown or has an invalid value.
func (d Defaults) job(instance string, props []*repb.Platform_Property) (*wire.Job, error) {
	j := &wire.Job{Class: d.Class, Team: d.Team, Shape: wire.Array, Priority: d.Priority, Tasks: 1, CPUs: d.CPUs, GPUs: d.GPUs,
		MemoryGB: d.MemoryGB, Image: d.Image, Spot: d.Spot, EstimateS: d.Estimate.Seconds()}
	if instance != "" {
		team, class, hasClass := strings.Cut(instance, "/")
		if j.Team = team; hasClass {
			j.Class = class
		}
		if checkText(j.Team) != nil || checkText(j.Class) != nil {
			return nil, status.Errorf(codes.InvalidArgument, "instance_name %q: must be TEAM or TEAM/CLASS", instance)
		}
	}
	var problems []string
	names := slices.Sorted(maps.Keys(properties))
	for _, p := range props {
		set := properties[p.Name]
		if set == nil {
			problems = append(problems, fmt.Sprintf("%s: unknown, must be one of %s", p.Name, strings.Join(names, ", ")))
		} else if err := set(j, p.Value); err != nil {
			problems = append(problems, fmt.Sprintf("%s: %q: %v", p.Name, p.Value, err))
		}
	}
	if problems != nil {
		return nil, status.Errorf(codes.InvalidArgument, "platform property %s", strings.Join(problems, "; "))
	}
	return j, nil
}
