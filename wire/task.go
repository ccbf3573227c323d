package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState is the state of a task as reported by its worker.
type TaskState string

// The states of a task on its machine.
const (
	TaskFetching TaskState = "fetching" // the worker fetches the image or the inputs
	TaskWaiting  TaskState = "waiting"  // for the other tasks of the gang
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving" // a stopped task saves its progress
	TaskEnded    TaskState = "ended"
)

// Cause is the reason why a task ended.
type Cause string

// The causes of a task's end.
const (
	CauseDone        Cause = "done"
	CauseStopped     Cause = "halted"     // by a command
	CauseGangBroken  Cause = "mates_gone" // other tasks of the gang were lost
	CauseGangTimeout Cause = "alone"      // the other tasks of the gang did not start in time
	CauseError       Cause = "error"
	CauseNoCapacity  Cause = "no_room" // not launched: the machine has too little free capacity
	CauseBusy        Cause = "busy"    // not launched: another attempt of the task runs on the machine
	CauseUnknown     Cause = "unknown" // not launched: the job is not known
)

// TaskID identifies a task of a job. Controllers also send it to each other with encoding/gob, which matches
// fields by their Go names.
type TaskID struct {
	Job   string
	Index int
}

// String returns the form used on the wire, job/index.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses the form used on the wire, job/index.
func ParseTaskID(s string) (TaskID, error) {
	job, indexText, ok := strings.Cut(s, "/")
	index, err := strconv.Atoi(indexText)
	if !ok || err != nil || index < 0 || index >= MaxTasks || !ValidJobID(job) || strconv.Itoa(index) != indexText {
		return TaskID{}, fmt.Errorf("%.60q is not a task", s)
	}
	return TaskID{job, index}, nil
}
