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

// What users ask for.
type opKind int

const (
	opSubmit opKind = iota
	opStatus
	opCancel
)

// answer is what a user was told: known is false where no answer came or the service decided
// nothing.
type answer struct {
	known  bool
	absent bool // 404
	stage  wire.Stage
}

// answerHistory records the operations on each job with their answers and times.
type answerHistory struct {
	mu         sync.Mutex
	startedAt  time.Time
	ops        map[string][]porcupine.Operation
	lastStages map[string]wire.Stage
}

func (h *answerHistory) reset() {
	h.startedAt, h.ops, h.lastStages = time.Now(), map[string][]porcupine.Operation{}, map[string]wire.Stage{}
}

func (h *answerHistory) now() int64 { return time.Since(h.startedAt).Nanoseconds() }

// add records an operation. One without an answer may take effect at any later time.
func (h *answerHistory) add(job string, op opKind, status int, stage wire.Stage, sent, back int64) {
	out := answer{known: status == 200 || status == 201 || status == 404, absent: status == 404, stage: stage}
	if !out.known && op == opStatus {
		return // it told nothing, and did nothing
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !out.known {
		back = 1<<62 - 1
	}
	h.ops[job] = append(h.ops[job], porcupine.Operation{ClientId: len(h.ops[job]), Input: op, Call: sent, Output: out, Return: back})
	if out.known && !out.absent && !h.lastStages[job].Final() {
		h.lastStages[job] = stage
	}
}

// openJobs lists the jobs that were accepted and whose users were not told of their end.
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

// lastStage returns the last stage that the user of a job was told.
func (h *answerHistory) lastStage(job string) wire.Stage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastStages[job]
}

// jobState is the part of its life cycle that a job has reached.
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
		case out.stage == wire.Done: // it may have ended at any moment before
			return next == stateLive || next == stateDone, stateDone
		case out.stage == wire.Cancelled:
			return next == stateCancelled || next == stateLive && input == opCancel, stateCancelled
		default:
			return next == stateLive && input != opCancel, next
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " ", output) },
}

// checkTimeout bounds the search for a linearization of one job's answers.
const checkTimeout = 5 * time.Second

// violations lists the jobs whose answers have no linearization.
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

// ClusterStatus asks an emulated cluster for its status.
func ClusterStatus(ctx context.Context, caller *transport.Caller, control string) (*emulator.Status, error) {
	call, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	resp, err := caller.Call(call, control, "GET", emulator.PathStatus, nil)
	if err != nil {
		return nil, fmt.Errorf("the world at %s: %w", control, err)
	}
	var s emulator.Status
	if resp.Status != 200 {
		return nil, fmt.Errorf("the world at %s: status %d", control, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, &s); err != nil {
		return nil, fmt.Errorf("the world at %s: status of the cluster: %w", control, err)
	}
	return &s, nil
}
