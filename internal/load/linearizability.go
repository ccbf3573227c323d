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

// LinearizabilityChecker checks responses by the order of calls and returns alone. It is meant for simulated days on a
// fake clock, where many events have the same time.
type LinearizabilityChecker struct {
	mu   sync.Mutex
	tick int64                            // logical clock
	ops  map[string][]porcupine.Operation // by job
}

// BeginCall returns the logical time of a call that starts now.
func (c *LinearizabilityChecker) BeginCall() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tick++
	return c.tick
}

// ObserveStatus records the result of a poll: the HTTP status, 0 if there was no response, and on success the stage.
func (c *LinearizabilityChecker) ObserveStatus(job string, call int64, status int, stage wire.Stage) {
	if status == 200 || status == 404 {
		c.add(job, opStatus, call, answer{known: true, absent: status == 404, stage: stage})
	}
}

// ObserveSubmission records the result of a submission. It counts as a submission followed by a poll, since its
// response may reflect later changes. A permanent refusal implies that the job does not exist.
func (c *LinearizabilityChecker) ObserveSubmission(job string, call int64, status int, stage wire.Stage) {
	switch status {
	case 400, 422:
		c.ObserveStatus(job, call, 404, "")
	case 200, 201:
		c.ObserveStatus(job, call, 200, stage)
		fallthrough
	default:
		c.add(job, opSubmit, call, answer{})
	}
}

// ObserveCancellation records the result of a cancellation.
func (c *LinearizabilityChecker) ObserveCancellation(job string, call int64, status int, stage wire.Stage) {
	c.add(job, opCancel, call, answer{known: status == 200 || status == 404, absent: status == 404, stage: stage})
}

func (c *LinearizabilityChecker) add(job string, op opKind, call int64, out answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ops == nil {
		c.ops = make(map[string][]porcupine.Operation)
	}
	answered := int64(1<<62 - 1) // an operation of unknown outcome may take effect at any later time
	if out.known {
		c.tick++
		answered = c.tick
	}
	c.ops[job] = append(c.ops[job], porcupine.Operation{Input: op, Call: call, Output: out, Return: answered})
}

// Violations returns a message for each job whose operations have no linearization.
func (c *LinearizabilityChecker) Violations() (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for job, ops := range c.ops {
		if res, _ := porcupine.CheckOperationsVerbose(jobModel, constrainingCalls(ops), 0); res != porcupine.Ok {
			out = append(out, fmt.Sprintf("went_back: no order explains what users were told of %s: %s", job, describeCalls(constrainingCalls(ops))))
		}
	}
	slices.Sort(out)
	return out
}

// constrainingCalls removes redundant calls: with all of them the search would not terminate if there is no
// linearization. Stages only advance, so among calls of one kind with the same response, the first and the last to
// start and the first to return constrain the order as much as all of them.
func constrainingCalls(ops []porcupine.Operation) (out []porcupine.Operation) {
	type kind struct {
		op    opKind
		phase jobState
		known bool
	}
	opsByKind := make(map[kind][]porcupine.Operation)
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
		opsByKind[k] = append(opsByKind[k], o)
	}
	byCall := func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) }
	byReturn := func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) }
	for _, same := range opsByKind {
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

// describeCalls returns a description of calls in the order of their start.
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
