package simulator

import (
	"maps"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestSubmissionRules checks the verdicts on submissions in which a field is missing or wrong, and on
// submissions that can never run.
func TestSubmissionRules(t *testing.T) {
	rules, good := submissionRules(), validSubmission()
	check := func(name string, want int, changes map[string]any) {
		fields := maps.Clone(good)
		for k, v := range changes {
			if fields[k] = v; v == "absent" {
				delete(fields, k)
			}
		}
		if got, why := rules.Verdict(wire.Encode(fields)); got != want {
			t.Errorf("%s: %d (%s), not %d", name, got, why, want)
		}
	}
	check("as it should be", 0, nil)
	for _, f := range submissionFields {
		check("no "+f.name, map[bool]int{true: 0, false: 400}[f.optional], map[string]any{f.name: "absent"})
		check("null as "+f.name, map[bool]int{true: 0, false: 400}[f.optional], map[string]any{f.name: nil})
		check("a map as "+f.name, 400, map[string]any{f.name: map[string]any{}})
	}
	for name, test := range map[string]struct {
		want    int
		changes map[string]any
	}{
		"an id of another form":         {400, map[string]any{"uid": "job-1"}},
		"no tasks":                      {400, map[string]any{"cells": 0}},
		"half a task":                   {400, map[string]any{"cells": 1.5}},
		"a negative amount":             {400, map[string]any{"mem_gb": -1.0}},
		"another shape":                 {400, map[string]any{"shape": "ring"}},
		"another rank":                  {400, map[string]any{"rank": "urgent"}},
		"a string for a boolean":        {400, map[string]any{"spread": "yes"}},
		"an unknown team":               {422, map[string]any{"keeper": "green"}},
		"a task that is too large":      {422, map[string]any{"accelerators": 9.0}},
		"too large for what is allowed": {422, map[string]any{"frames": []string{"c4"}}},
		"too large for the zone":        {422, map[string]any{"apiary": "b", "frames": nil}},
		"an unknown zone":               {422, map[string]any{"apiary": "z"}},
		"a gang over the limit":         {422, map[string]any{"cells": 21}},
		"an array of as many":           {0, map[string]any{"cells": 21, "shape": "sweep"}},
		"a team without a limit":        {0, map[string]any{"cells": 21, "keeper": "blue"}},
	} {
		check(name, test.want, test.changes)
	}
	if got, _ := rules.Verdict([]byte{0x01}); got != 400 {
		t.Errorf("not a map: %d", got)
	}
	checkSubmissionAnswers(t, rules, good)
}

// submissionRules returns the rules of a site with two machine types and two teams.
func submissionRules() SubmissionRules {
	return SubmissionRules{Types: []wire.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}, {Name: "c4", CPUs: 4, MemoryGB: 16, Zones: []string{"b"}}},
		Teams: map[string]TeamLimit{"red": {GPUs: 20}, "blue": {}}}
}

// validSubmission returns the fields of a submission that submissionRules accepts.
func validSubmission() map[string]any {
	return map[string]any{"uid": "wk-000412", "breed": "train", "keeper": "red", "shape": "gang", "rank": "high", "cells": 16, "vcpus": 8, "accelerators": 1.0, "mem_gb": 64.0,
		"comb": "img-07", "image_gb": 6.2, "frames": []string{"g8"}, "apiary": nil, "one_zone": true, "spread": false, "borrowed": true, "expect_s": 240.0, "capping_s": 30.0, "seal_s": 4.0, "due_s": nil}
}

// checkSubmissionAnswers checks which answers to submissions the checker records as violations.
func checkSubmissionAnswers(t *testing.T, rules SubmissionRules, good map[string]any) {
	t.Helper()
	c := NewChecker(time.Minute, nil)
	c.Submissions = rules
	submission := func(id string, omitted string) []byte {
		fields := maps.Clone(good)
		fields["uid"] = id
		delete(fields, omitted)
		return wire.Encode(fields)
	}
	c.ObserveSubmission(submission("wk-1", "breed"), 400)
	c.ObserveSubmission(submission("wk-2", ""), 201)
	c.ObserveSubmission(submission("wk-2", "breed"), 200) // an accepted job is answered 200 whatever is submitted again
	if violations := c.Violations(); len(violations) > 0 {
		t.Errorf("%v", violations)
	}
	c.ObserveSubmission(submission("wk-3", "breed"), 201)
	c.ObserveSubmission(submission("wk-4", ""), 422)
	if violations := strings.Join(c.Violations(), "; "); violations != "accepted_wrong: wk-3 is answered 201: breed is missing; refused_valid: wk-4 is answered 422" {
		t.Error(violations)
	}
}
