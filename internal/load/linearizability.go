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

// LinearizabilityChecker judges what users were told of jobs by the order of calls and answers alone, for days on
// a fake clock, on which much happens at the same instant.
type LinearizabilityChecker struct {
	mu   sync.Mutex
	tick int64
	ops  map[string][]porcupine.Operation
}

// BeginCall tells that something is asked now.
func (j *LinearizabilityChecker) BeginCall() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tick++
	return j.tick
}

// ObserveStatus takes in what became of a question, as Submitted and Cancelled do of their calls: a
// status, 0 for no answer, and on success the stage. A submission that is refused for ever tells that the job is not known.
func (j *LinearizabilityChecker) ObserveStatus(job string, call int64, status int, stage wire.Stage) {
	if status == 200 || status == 404 {
		j.add(job, opStatus, call, answer{known: true, absent: status == 404, stage: stage})
	}
}

// ObserveSubmission is told of a submission. What it tells may be newer than what it did: it is a
// submission and a question.
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

// ObserveCancellation is told of a cancellation.
func (j *LinearizabilityChecker) ObserveCancellation(job string, call int64, status int, stage wire.Stage) {
	j.add(job, opAbort, call, answer{known: status == 200 || status == 404, absent: status == 404, stage: stage})
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

// Violations names the jobs for whose answers there is no order.
func (j *LinearizabilityChecker) Violations() (out []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for job, ops := range j.ops {
		if res, _ := porcupine.CheckOperationsVerbose(jobModel, essentialCalls(ops), 0); res != porcupine.Ok {
			out = append(out, fmt.Sprintf("went_back: no order explains what users were told of %s: %s", job, describe(essentialCalls(ops))))
		}
	}
	slices.Sort(out)
	return out
}

// essentialCalls leaves out what others imply, or the search for an order would not end where there is
// none. Stages only go on: of calls of one kind with one answer, those that were asked first and last
// and the one that was answered first leave the others no less room.
func essentialCalls(ops []porcupine.Operation) (out []porcupine.Operation) {
	type kind struct {
		op    opKind
		phase phase
		known bool
	}
	all := make(map[kind][]porcupine.Operation)
	for _, o := range ops {
		a := o.Output.(answer)
		k := kind{o.Input.(opKind), live, a.known}
		switch {
		case !a.known || a.absent:
			k.phase = absent
		case a.stage == wire.Done:
			k.phase = done
		case a.stage == wire.Cancelled:
			k.phase = cancelled
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

// describe lists calls in the order in which they came.
func describe(ops []porcupine.Operation) string {
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
