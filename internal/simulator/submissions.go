package simulator

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// SubmissionRules are the machine types and teams of a site, which determine whether a submission is valid.
type SubmissionRules struct {
	Types []wire.MachineType
	Teams map[string]TeamLimit
}

// submissionFields is the protocol's table of the fields of a submission: a check of the value of each
// field, and whether the field may be null or absent.
var submissionFields = []struct {
	name     string
	valid    func(any) bool
	optional bool
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

// jobID matches the job IDs that the protocol allows.
var jobID = regexp.MustCompile(`^wk-[0-9]+$`)

func isString(v any) bool { _, ok := v.(string); return ok }
func isBool(v any) bool   { _, ok := v.(bool); return ok }

// isOneOf returns a function that reports whether a value is one of the given strings.
func isOneOf(words ...string) func(any) bool {
	return func(v any) bool { s, _ := v.(string); return slices.Contains(words, s) }
}

// isNonNegative reports whether a value is a finite number that is not negative.
func isNonNegative(v any) bool { n, ok := toNumber(v); return ok && n >= 0 && !math.IsInf(n, 0) }

// toNumber converts a decoded CBOR number, and returns false for NaN and for other values.
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

// Verdict returns the status with which the protocol requires a submission to be rejected, and the reason:
// 400 if it is malformed, 422 if it can never run. Status 0 means that it must be accepted. It follows
// the protocol's description alone, independently of the controllers.
func (s *SubmissionRules) Verdict(body []byte) (status int, reason string) {
	var fields map[string]any
	if err := wire.Decode(body, &fields); err != nil {
		return 400, err.Error()
	}
	for _, field := range submissionFields {
		switch v, present := fields[field.name]; {
		case v == nil && !field.optional:
			return 400, fmt.Sprintf("%s is missing", field.name)
		case present && v != nil && !field.valid(v):
			return 400, fmt.Sprintf("%s can't be %v", field.name, v)
		}
	}
	amount := func(name string) float64 { n, _ := toNumber(fields[name]); return n }
	limit, known := s.Teams[fields["keeper"].(string)]
	if !known {
		return 422, fmt.Sprintf("nobody knows team %v", fields["keeper"])
	}
	cpus, gpus, memory, concurrentTasks := amount("vcpus"), amount("accelerators"), amount("mem_gb"), 1.0
	types, _ := fields["frames"].([]any)
	if !slices.ContainsFunc(s.Types, func(t wire.MachineType) bool {
		zone, _ := fields["apiary"].(string)
		return (len(types) == 0 || slices.Contains(types, any(t.Name))) && (zone == "" || slices.Contains(t.Zones, zone)) &&
			cpus <= t.CPUs+epsilon && gpus <= t.GPUs+epsilon && memory <= t.MemoryGB+epsilon
	}) {
		return 422, "a task fits no allowed type"
	}
	if fields["shape"] != "sweep" {
		concurrentTasks = amount("cells")
	}
	if limit.CPUs > 0 && concurrentTasks*cpus > limit.CPUs+epsilon || limit.GPUs > 0 && concurrentTasks*gpus > limit.GPUs+epsilon {
		return 422, fmt.Sprintf("%v tasks at once are over the limit of %v", concurrentTasks, limit)
	}
	return 0, ""
}

// ObserveSubmission checks the answer to a submission against Submissions, if these rules are set.
func (c *Checker) ObserveSubmission(body []byte, status int) {
	if len(c.Submissions.Types) == 0 {
		return
	}
	expected, reason := c.Submissions.Verdict(body)
	id := wire.SubmittedID(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if expected == 0 {
		if c.validSubmissions == nil {
			c.validSubmissions = map[string]bool{}
		}
		c.validSubmissions[id] = true
	}
	switch accepted := status == 200 || status == 201; {
	case accepted && expected != 0 && !c.validSubmissions[id] && c.submitted[id] == nil:
		c.recordViolation("accepted_wrong", "%s is answered %d: %s", id, status, reason)
	case expected == 0 && (status == 400 || status == 422) && c.lastStage[id] == "":
		c.recordViolation("refused_valid", "%s is answered %d", id, status)
	}
}

// TeamLimit is the amount of resources that the tasks of a team may use at once; 0 means no limit.
type TeamLimit struct{ CPUs, GPUs float64 }

// remainingTasks returns how many more tasks of a job the limit allows beside the resources in use.
func (l TeamLimit) remainingTasks(used TeamLimit, job *wire.Job) int {
	n := math.Inf(1)
	for _, resource := range [][3]float64{{l.CPUs, used.CPUs, job.CPUs}, {l.GPUs, used.GPUs, job.GPUs}} {
		if resource[0] > 0 && resource[2] > 0 {
			n = min(n, math.Floor((resource[0]-resource[1]+epsilon)/resource[2]))
		}
	}
	return int(cmp.Or(min(max(n, 0), wire.MaxTasks), 0))
}
