package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState is the state of a task, as its worker sees it.
type TaskState string

// The states of a task on its machine.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "waiting"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskEnded    TaskState = "ended"
)

// Cause is why a task ended.
type Cause string

// The causes of an end.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "halted"
	CausePeers   Cause = "mates_gone"
	CauseAlone   Cause = "alone"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "no_room"
	CauseBusy    Cause = "busy"
	CauseUnknown Cause = "unknown"
)

// TaskID names a task of a job. It also travels between controllers by its Go field names.
type TaskID struct {
	Job   string
	Index int
}

// String gives the form used on the wire, job/index.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads the form used on the wire.
func ParseTaskID(s string) (TaskID, error) {
	job, idx, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(idx)
	if !ok || err != nil || n < 0 || n >= MaxTasks || !ValidJobID(job) || strconv.Itoa(n) != idx {
		return TaskID{}, fmt.Errorf("%.60q is not a task", s)
	}
	return TaskID{job, n}, nil
}
