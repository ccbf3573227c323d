package simulator

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// SubmissionRules are a site's machine types and teams, by which submissions are valid or not.
type SubmissionRules struct {
	Types []wire.MachineType
	Teams map[string]TeamLimit
}

// The protocol's table of a submission's fields: what each must be, and whether it may be null.
var submissionFields = []struct {
	name string
	ok   func(any) bool
	null bool
}{
	{"uid", func(v any) bool { s, _ := v.(string); return jobID.MatchString(s) }, false},
	{"breed", isString, false}, {"keeper", isString, false}, {"comb", isString, false},
	{"shape", isOneOf("sweep", "gang", "service"), false}, {"rank", isOneOf("production", "high", "normal", "low"), false},
	{"cells", func(v any) bool {
		n, ok := toNumber(v)
		return ok && n >= 1 && n <= wire.MaxTasks && n == math.Trunc(n)
	}, false},
	{"vcpus", isNonNegative, false}, {"accelerators", isNonNegative, false}, {"mem_gb", isNonNegative, false}, {"image_gb", isNonNegative, false},
	{"expect_s", isNonNegative, false}, {"capping_s", isNonNegative, false}, {"seal_s", isNonNegative, false},
	{"one_zone", isBool, false}, {"spread", isBool, false}, {"borrowed", isBool, false},
	{"frames", func(v any) bool {
		list, ok := v.([]any)
		return ok && !slices.ContainsFunc(list, func(v any) bool { return !isString(v) })
	}, true},
	{"apiary", isString, true}, {"due_s", isNonNegative, true},
}

var jobID = regexp.MustCompile(`^wk-[0-9]+$`)

func isString(v any) bool { _, ok := v.(string); return ok }
func isBool(v any) bool   { _, ok := v.(bool); return ok }

func isOneOf(words ...string) func(any) bool {
	return func(v any) bool { s, _ := v.(string); return slices.Contains(words, s) }
}

func isNonNegative(v any) bool { n, ok := toNumber(v); return ok && n >= 0 && !math.IsInf(n, 0) }

func toNumber(v any) (float64, bool) {
	switch n := v.(type) {
	case uint64:
		return float64(n), true
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n)
	case float32:
		return float64(n), n == n
	}
	return 0, false
}

// Verdict reads a submission by the protocol's page alone: 400 for what is malformed, 422 for what
// can never run, with the reason, and 0 for what must be accepted.
func (s *SubmissionRules) Verdict(body []byte) (status int, why string) {
	var m map[string]any
	if err := wire.Decode(body, &m); err != nil {
		return 400, err.Error()
	}
	for _, f := range submissionFields {
		switch v, there := m[f.name]; {
		case v == nil && !f.null:
			return 400, fmt.Sprintf("%s is missing", f.name)
		case there && v != nil && !f.ok(v):
			return 400, fmt.Sprintf("%s can't be %v", f.name, v)
		}
	}
	amount := func(name string) float64 { n, _ := toNumber(m[name]); return n }
	limit, known := s.Teams[m["keeper"].(string)]
	if !known {
		return 422, fmt.Sprintf("nobody knows team %v", m["keeper"])
	}
	cpus, gpus, memory, at := amount("vcpus"), amount("accelerators"), amount("mem_gb"), 1.0
	frames, _ := m["frames"].([]any)
	if !slices.ContainsFunc(s.Types, func(t wire.MachineType) bool {
		zone, _ := m["apiary"].(string)
		return (len(frames) == 0 || slices.Contains(frames, any(t.Name))) && (zone == "" || slices.Contains(t.Zones, zone)) &&
			cpus <= t.CPUs+epsilon && gpus <= t.GPUs+epsilon && memory <= t.MemoryGB+epsilon
	}) {
		return 422, "a task fits no allowed type"
	}
	if m["shape"] != "sweep" {
		at = amount("cells")
	}
	if limit.CPUs > 0 && at*cpus > limit.CPUs+epsilon || limit.GPUs > 0 && at*gpus > limit.GPUs+epsilon {
		return 422, fmt.Sprintf("%v tasks at once are over the limit of %v", at, limit)
	}
	return 0, ""
}

// ObserveSubmission checks the answer to a submission against the rules of Submissions.
func (c *Checker) ObserveSubmission(body []byte, status int) {
	if len(c.Submissions.Types) == 0 {
		return
	}
	must, why := c.Submissions.Verdict(body)
	id := wire.SubmittedID(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if must == 0 {
		if c.validSubmissions == nil {
			c.validSubmissions = map[string]bool{}
		}
		c.validSubmissions[id] = true
	}
	switch accepted := status == 200 || status == 201; {
	case accepted && must != 0 && !c.validSubmissions[id] && c.submitted[id] == nil:
		c.recordViolation("accepted_wrong", "%s is answered %d: %s", id, status, why)
	case must == 0 && (status == 400 || status == 422) && c.lastStage[id] == "":
		c.recordViolation("refused_valid", "%s is answered %d", id, status)
	}
}

// TeamLimit is what a team's tasks may use at once; 0 stands for no limit.
type TeamLimit struct{ CPUs, GPUs float64 }

// remainingTasks returns how many more tasks of a job a limit allows.
func (l TeamLimit) remainingTasks(used TeamLimit, j *wire.Job) int {
	n := math.Inf(1)
	for _, x := range [][3]float64{{l.CPUs, used.CPUs, j.CPUs}, {l.GPUs, used.GPUs, j.GPUs}} {
		if x[0] > 0 && x[2] > 0 {
			n = min(n, math.Floor((x[0]-x[1]+epsilon)/x[2]))
		}
	}
	return int(cmp.Or(min(max(n, 0), wire.MaxTasks), 0))
}
