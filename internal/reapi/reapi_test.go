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

var testDefaults = Defaults{Team: "builds", Class: "action", Priority: wire.Normal, CPUs: 1, MemoryGB: 1, Image: "none", Spot: true}

func props(pairs ...string) (out []*repb.Platform_Property) {
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, &repb.Platform_Property{Name: pairs[i], Value: pairs[i+1]})
	}
	return out
}

// TestProperties checks that the instance name overrides the defaults and that platform properties override both, and
// that the error names every invalid property.
func TestProperties(t *testing.T) {
	j, err := testDefaults.job("red/alert", props("priority", "production", "cpus", "2.5", "memory-gb", "16", "machine-type", "a", "machine-type", "b", "spot", "false", "OSFamily", "Linux"))
	if err != nil || j.Team != "red" || j.Class != "alert" || j.Priority != wire.Production || j.CPUs != 2.5 || j.GPUs != 0 || j.MemoryGB != 16 || len(j.Types) != 2 || j.Spot {
		t.Errorf("%+v, %v", j, err)
	}
	if j, err := testDefaults.job("", nil); err != nil || j.Team != "builds" || j.Class != "action" || j.Tasks != 1 || j.Shape != wire.Array {
		t.Errorf("%+v, %v", j, err)
	}
	_, err = testDefaults.job("", props("cpus", "-1", "gpus", "NaN", "priority", "urgent", "colour", "red", "team", "", "OSFamily", "plan9"))
	if status.Code(err) != codes.InvalidArgument {
		t.Fatalf("%v", err)
	}
	for _, name := range []string{"cpus", "gpus", "priority", "colour", "team", "OSFamily"} {
		if !strings.Contains(err.Error(), name+":") {
			t.Errorf("the error does not name %s: %v", name, err)
		}
	}
	if _, err := testDefaults.job("red/", nil); status.Code(err) != codes.InvalidArgument {
		t.Errorf("instance name with an empty class: %v", err)
	}
}

// TestOperationNames checks that the name of an operation survives a round trip, so that every controller can
// serve it, and that other names are rejected as not found.
func TestOperationNames(t *testing.T) {
	for _, f := range cas.DigestFunctions {
		digest := cas.Sum(f, []byte("action"))
		want := operation{action.JobID(digest, 3), digest}
		if got, err := parseOperation(want.name()); err != nil || got != want {
			t.Errorf("%s: %+v, %v", want.name(), got, err)
		}
	}
	for _, name := range []string{"", "operations", "operations/SHA256/x/1/wk-1", "other/SHA256/" + cas.Sum(cas.DigestFunctions[0], nil).String() + "/wk-1",
		"operations/SHA256/" + cas.Sum(cas.DigestFunctions[0], nil).String() + "/job"} {
		if _, err := parseOperation(name); status.Code(err) != codes.NotFound {
			t.Errorf("%q: %v", name, err)
		}
	}
	if a, b := action.JobID(cas.Sum(cas.DigestFunctions[0], []byte("a")), 0), action.JobID(cas.Sum(cas.DigestFunctions[0], []byte("a")), 1); a == b || !wire.ValidJobID(a) || len(a) != 21 {
		t.Errorf("%s, %s", a, b)
	}
}

// FuzzProperties checks that any property is either rejected or results in a valid job.
func FuzzProperties(f *testing.F) {
	f.Add("red/alert", "cpus", "1e3")
	f.Add("", "priority", "high")
	f.Add("x", "gpu", "0x1p-2")
	f.Fuzz(func(t *testing.T, instance, name, value string) {
		j, err := testDefaults.job(instance, props(name, value))
		if err != nil {
			return
		}
		j.ID = "wk-1"
		if _, err := wire.DecodeJob(wire.Encode(j)); err != nil {
			t.Errorf("%q, %q = %q: %v", instance, name, value, err)
		}
	})
}
