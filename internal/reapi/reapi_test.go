package reapi

import (
	"strings"
	"testing"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/wire"
)

var defaults = Defaults{Team: "builds", Class: "action", Priority: wire.Normal, CPUs: 1, MemoryGB: 1, Image: "none", Spot: true}

func props(pairs ...string) (out []*repb.Platform_Property) {
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, &repb.Platform_Property{Name: pairs[i], Value: pairs[i+1]})
	}
	return out
}

// TestProperties: settings, then the instance's name, then the properties say what
// a job is; all that are wrong are named at once.
func TestProperties(t *testing.T) {
	j, err := defaults.job("red/alert", props("priority", "production", "cpus", "2.5", "memory-gb", "16", "machine-type", "a", "machine-type", "b", "spot", "false", "OSFamily", "Linux"))
	if err != nil || j.Team != "red" || j.Class != "alert" || j.Priority != wire.Production || j.CPUs != 2.5 || j.GPUs != 0 || j.MemoryGB != 16 || len(j.Types) != 2 || j.Spot {
		t.Errorf("%+v, %v", j, err)
	}
	if j, err := defaults.job("", nil); err != nil || j.Team != "builds" || j.Class != "action" || j.Tasks != 1 || j.Shape != wire.Array {
		t.Errorf("%+v, %v", j, err)
	}
	_, err = defaults.job("", props("cpus", "-1", "gpus", "NaN", "priority", "urgent", "colour", "red", "team", "", "OSFamily", "plan9"))
	if status.Code(err) != codes.InvalidArgument {
		t.Fatalf("%v", err)
	}
	for _, name := range []string{"cpus", "gpus", "priority", "colour", "team", "OSFamily"} {
		if !strings.Contains(err.Error(), name+":") {
			t.Errorf("the error does not name %s: %v", name, err)
		}
	}
	if _, err := defaults.job("red/", nil); status.Code(err) != codes.InvalidArgument {
		t.Errorf("half an instance name: %v", err)
	}
}

// TestOperationNames: a name that one controller gave is understood by every other,
// and any other is not found.
func TestOperationNames(t *testing.T) {
	for _, f := range cas.Functions {
		digest := cas.Sum(f, []byte("action"))
		want := operation{action.JobID(digest, 3), digest}
		if got, err := parseOperation(want.name()); err != nil || got != want {
			t.Errorf("%s: %+v, %v", want.name(), got, err)
		}
	}
	for _, name := range []string{"", "operations", "operations/SHA256/x/1/wk-1", "other/SHA256/" + cas.Sum(cas.Functions[0], nil).String() + "/wk-1",
		"operations/SHA256/" + cas.Sum(cas.Functions[0], nil).String() + "/job"} {
		if _, err := parseOperation(name); status.Code(err) != codes.NotFound {
			t.Errorf("%q: %v", name, err)
		}
	}
	if a, b := action.JobID(cas.Sum(cas.Functions[0], []byte("a")), 0), action.JobID(cas.Sum(cas.Functions[0], []byte("a")), 1); a == b || !wire.ValidJobID(a) || len(a) != 21 {
		t.Errorf("%s, %s", a, b)
	}
}

// FuzzProperties: whatever a property says, it is refused by its name, or makes a
// job that can be stored and submitted as any other.
func FuzzProperties(f *testing.F) {
	f.Add("red/alert", "cpus", "1e3")
	f.Add("", "priority", "high")
	f.Add("x", "gpu", "0x1p-2")
	f.Fuzz(func(t *testing.T, instance, name, value string) {
		j, err := defaults.job(instance, props(name, value))
		if err != nil {
			return
		}
		j.ID = "wk-1"
		if _, err := wire.DecodeJob(wire.Encode(j)); err != nil {
			t.Errorf("%q, %q = %q: %v", instance, name, value, err)
		}
	})
}
