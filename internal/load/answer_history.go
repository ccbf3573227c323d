package load

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// opKind is the kind of a user's request.
type opKind int

const (
	opSubmit opKind = iota
	opStatus
	opCancel
)

// answer is the response to a request.
type answer struct {
	known  bool // false if there was no response, or one from which the outcome does not follow
	absent bool // the job does not exist (404)
	stage  wire.Stage
}

// answerHistory records the operations on each job with their responses and times.
type answerHistory struct {
	mu         sync.Mutex
	startedAt  time.Time
	ops        map[string][]porcupine.Operation // by job
	lastStages map[string]wire.Stage            // last stage that was reported, by job
}

// start prepares the history for a new run.
func (h *answerHistory) start() {
	h.startedAt, h.ops, h.lastStages = time.Now(), map[string][]porcupine.Operation{}, map[string]wire.Stage{}
}

// now returns the nanoseconds since the start of the run.
func (h *answerHistory) now() int64 { return time.Since(h.startedAt).Nanoseconds() }

// add records an operation. One whose outcome is unknown may take effect at any later time.
func (h *answerHistory) add(job string, op opKind, status int, stage wire.Stage, sent, answered int64) {
	out := answer{known: status == 200 || status == 201 || status == 404, absent: status == 404, stage: stage}
	if !out.known && op == opStatus {
		return // a poll without a response has no effect
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !out.known {
		answered = 1<<62 - 1
	}
	h.ops[job] = append(h.ops[job], porcupine.Operation{ClientId: len(h.ops[job]), Input: op, Call: sent, Output: out, Return: answered})
	if out.known && !out.absent && !h.lastStages[job].Final() {
		h.lastStages[job] = stage
	}
}

// openJobs returns the accepted jobs for which no final stage was reported, in the order of their ids.
func (h *answerHistory) openJobs() (jobs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for job, stage := range h.lastStages {
		if !stage.Final() {
			jobs = append(jobs, job)
		}
	}
	sort.Strings(jobs)
	return jobs
}

// lastStage returns the last stage that was reported for a job.
func (h *answerHistory) lastStage(job string) wire.Stage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastStages[job]
}

// jobState is a state in the life cycle of a job.
type jobState int

const (
	stateAbsent jobState = iota
	stateLive
	stateDone
	stateCancelled
)

// jobModel is the sequential specification of a job for the linearizability check.
var jobModel = porcupine.Model{
	Init: func() any { return stateAbsent },
	Step: func(state, input, output any) (bool, any) {
		s, out := state.(jobState), output.(answer)
		next := s
		if input == opSubmit && s == stateAbsent {
			next = stateLive
		}
		if !out.known {
			if input == opCancel && s == stateLive {
				next = stateCancelled
			}
			return true, next
		}
		switch {
		case out.absent:
			return s == stateAbsent && input != opSubmit, s
		case out.stage == wire.Done: // the job may have ended at any time before
			return next == stateLive || next == stateDone, stateDone
		case out.stage == wire.Cancelled:
			return next == stateCancelled || next == stateLive && input == opCancel, stateCancelled
		default:
			return next == stateLive && input != opCancel, next
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " ", output) },
}

// checkTimeout bounds the search for a linearization of the operations on one job.
const checkTimeout = 5 * time.Second

// violations returns a message for each job whose operations have no linearization.
func (h *answerHistory) violations() (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for job, ops := range h.ops {
		if res := porcupine.CheckOperationsTimeout(jobModel, ops, checkTimeout); res == porcupine.Illegal {
			out = append(out, "went_back: no order explains what users were told of "+job)
		}
	}
	sort.Strings(out)
	return out
}

// ClusterStatus requests the status of the emulated cluster with a control address.
func ClusterStatus(ctx context.Context, caller *transport.Client, control string) (*emulator.Status, error) {
	callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	resp, err := caller.Call(callCtx, control, "GET", emulator.PathStatus, nil)
	if err != nil {
		return nil, fmt.Errorf("emulated cluster at %s: %w", control, err)
	}
	var s emulator.Status
	if resp.Status != 200 {
		return nil, fmt.Errorf("emulated cluster at %s: response status %d", control, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, &s); err != nil {
		return nil, fmt.Errorf("emulated cluster at %s: decoding its status: %w", control, err)
	}
	return &s, nil
}
