package load

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"

	"amberdeal.example/amberdeal/wire"
)

// TestStaleAnswersAreReported checks that a response which contradicts one that was received before its request was
// sent is reported among hundreds of concurrent calls, and that responses which merely overlap are not.
func TestStaleAnswersAreReported(t *testing.T) {
	type observation struct {
		op     string // ask, submit or cancel
		status int
		stage  wire.Stage
	}
	observer := func(j *LinearizabilityChecker) func(x observation, call int64) {
		return func(x observation, call int64) {
			map[string]func(string, int64, int, wire.Stage){"ask": j.ObserveStatus, "submit": j.ObserveSubmission, "cancel": j.ObserveCancellation}[x.op]("wk-1", call, x.status, x.stage)
		}
	}
	accepted, ended := observation{"submit", 201, wire.Pending}, observation{"cancel", 200, wire.Cancelled}
	for name, x := range map[string]struct {
		then  []observation // in order
		last  observation   // called after then, and the last to return
		valid bool
	}{
		"known":                   {[]observation{accepted}, observation{"ask", 200, wire.Running}, true},
		"forgotten":               {[]observation{accepted}, observation{"ask", 404, ""}, false},
		"refused again":           {[]observation{accepted}, observation{"submit", 422, ""}, false},
		"cancelled":               {[]observation{accepted, ended}, observation{"submit", 200, wire.Cancelled}, true},
		"back":                    {[]observation{accepted, ended}, observation{"submit", 200, wire.Pending}, false},
		"running again":           {[]observation{accepted, ended}, observation{"ask", 200, wire.Running}, false},
		"done after cancelled":    {[]observation{accepted, ended}, observation{"ask", 200, wire.Done}, false},
		"not to be cancelled":     {[]observation{accepted, ended}, observation{"cancel", 404, ""}, false},
		"cancelled after done":    {[]observation{accepted, {"ask", 200, wire.Done}}, ended, false},
		"cancelled by nobody":     {[]observation{accepted}, observation{"ask", 200, wire.Cancelled}, false},
		"cancelled in vain":       {[]observation{accepted, {"cancel", 0, ""}}, observation{"ask", 200, wire.Cancelled}, true},
		"submitted by nobody":     {[]observation{{"ask", 404, ""}}, observation{"ask", 200, wire.Pending}, false},
		"submitted in vain":       {[]observation{{"submit", 503, ""}}, observation{"ask", 200, wire.Pending}, true},
		"refused, then submitted": {[]observation{{"submit", 400, ""}}, accepted, true},
	} {
		j := &LinearizabilityChecker{}
		observe := observer(j)
		var open []int64
		for _, y := range x.then {
			for range 200 {
				open = append(open, j.BeginCall()) // returns only at the end
			}
			observe(y, j.BeginCall())
		}
		call := j.BeginCall()
		for i, c := range open { // overlapping calls may return either stage
			if x.then[0] == accepted {
				observe(observation{"submit", 200, []wire.Stage{wire.Pending, wire.Running}[i%2]}, c)
			}
		}
		observe(x.last, call)
		if got := j.Violations(); (len(got) == 0) != x.valid {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// TestConstrainingCallsKeepVerdict checks on random histories that removing redundant calls does not change whether a
// linearization exists.
func TestConstrainingCallsKeepVerdict(t *testing.T) {
	rng, violations := rand.New(rand.NewPCG(1, 30)), 0
	for range 4000 {
		var ops []porcupine.Operation
		for i := range 3 + rng.IntN(7) {
			call := rng.Int64N(60)
			out := answer{known: rng.IntN(9) > 0, stage: []wire.Stage{wire.Pending, wire.Pending, wire.Done, wire.Cancelled}[min(int(call)/17, 3)]}
			op := opKind(rng.IntN(3))
			if out.absent = out.known && op != opSubmit && call < 9; out.absent {
				out.stage = ""
			}
			answered := call + 1 + rng.Int64N(25)
			if !out.known {
				answered = 1 << 61
			}
			ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Call: 2 * call, Output: out, Return: 2*answered + 1})
		}
		all, reduced := porcupine.CheckOperations(jobModel, ops), porcupine.CheckOperations(jobModel, constrainingCalls(ops))
		if all != reduced {
			t.Fatalf("linearizable: %v with all calls, %v with the constraining ones: %v", all, reduced, ops)
		}
		if !all {
			violations++
		}
	}
	if violations < 400 || violations > 3600 {
		t.Errorf("%d of 4000 histories have no linearization", violations)
	}
}
