package load

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/anishathalye/porcupine"

	"amberdeal.example/amberdeal/wire"
)

// LinearizabilityChecker checks users' answers by the order of calls and returns alone, for
// simulated days on a fake clock in which much happens at the same instant.
type LinearizabilityChecker struct {
	mu   sync.Mutex
	tick int64
	ops  map[string][]porcupine.Operation
}

// BeginCall returns the logical time of a call that starts now.
func (j *LinearizabilityChecker) BeginCall() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tick++
	return j.tick
}

// ObserveStatus records the result of a poll: its status, 0 without an answer, and on success the
// stage.
func (j *LinearizabilityChecker) ObserveStatus(job string, call int64, status int, stage wire.Stage) {
	if status == 200 || status == 404 {
		j.add(job, opStatus, call, answer{known: true, absent: status == 404, stage: stage})
	}
}

// ObserveSubmission records the result of a submission. Since its answer may reflect later
// changes, it counts as a submission followed by a poll. A final refusal tells that the job does
// not exist.
func (j *LinearizabilityChecker) ObserveSubmission(job string, call int64, status int, stage wire.Stage) {
	switch status {
	case 400, 422:
		j.ObserveStatus(job, call, 404, "")
	case 200, 201:
		j.ObserveStatus(job, call, 200, stage)
		fallthrough
	default:
		j.add(job, opSubmit, call, answer{})
	}
}

// ObserveCancellation records the result of a cancellation.
func (j *LinearizabilityChecker) ObserveCancellation(job string, call int64, status int, stage wire.Stage) {
	j.add(job, opCancel, call, answer{known: status == 200 || status == 404, absent: status == 404, stage: stage})
}

func (j *LinearizabilityChecker) add(job string, op opKind, call int64, out answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ops == nil {
		j.ops = make(map[string][]porcupine.Operation)
	}
	back := int64(1<<62 - 1) // it may take effect at any later time
	if out.known {
		j.tick++
		back = j.tick
	}
	j.ops[job] = append(j.ops[job], porcupine.Operation{Input: op, Call: call, Output: out, Return: back})
}

// Violations lists the jobs whose answers have no linearization.
func (j *LinearizabilityChecker) Violations() (out []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for job, ops := range j.ops {
		if res, _ := porcupine.CheckOperationsVerbose(jobModel, constrainingCalls(ops), 0); res != porcupine.Ok {
			out = append(out, fmt.Sprintf("went_back: no order explains what users were told of %s: %s", job, describeCalls(constrainingCalls(ops))))
		}
	}
	slices.Sort(out)
	return out
}

// constrainingCalls leaves out calls that are implied by others, without which the search would not
// end where there is no linearization. Stages only advance: among calls of one kind with the same
// answer, those that started first and last and the one that was answered first constrain the
// others as much as all do.
func constrainingCalls(ops []porcupine.Operation) (out []porcupine.Operation) {
	type kind struct {
		op    opKind
		phase jobState
		known bool
	}
	all := make(map[kind][]porcupine.Operation)
	for _, o := range ops {
		a := o.Output.(answer)
		k := kind{o.Input.(opKind), stateLive, a.known}
		switch {
		case !a.known || a.absent:
			k.phase = stateAbsent
		case a.stage == wire.Done:
			k.phase = stateDone
		case a.stage == wire.Cancelled:
			k.phase = stateCancelled
		}
		all[k] = append(all[k], o)
	}
	byCall := func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) }
	byReturn := func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) }
	for _, same := range all {
		kept := []porcupine.Operation{slices.MinFunc(same, byCall), slices.MaxFunc(same, byCall), slices.MinFunc(same, byReturn)}
		for i, o := range kept {
			if !slices.ContainsFunc(kept[:i], func(p porcupine.Operation) bool { return p.Call == o.Call }) {
				o.ClientId = len(out)
				out = append(out, o)
			}
		}
	}
	return out
}

// describeCalls lists calls in the order of their start.
func describeCalls(ops []porcupine.Operation) string {
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var out []string
	for _, o := range ops {
		a := o.Output.(answer)
		told := string(a.stage)
		switch {
		case !a.known:
			told = "nothing"
		case a.absent:
			told = "not known"
		}
		out = append(out, fmt.Sprintf("%s at %d told %s at %d", [...]string{"submitted", "asked", "cancelled"}[o.Input.(opKind)], o.Call, told, o.Return))
	}
	return strings.Join(out, ", ")
}
