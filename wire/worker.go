package wire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Paths of the workers' interface.
const (
	PathHeartbeat = "/hello"
	PathCommands  = "/do"
	PathStatus    = "/inspect"
)

// TaskState is what a worker says of a task.
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

// TaskID names a task of a job.
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

// ReportedTask is one task in a worker's report.
type ReportedTask struct {
	Task    string    `cbor:"cell"`
	Attempt uint64    `cbor:"try"`
	State   TaskState `cbor:"stage"`
	Cause   Cause     `cbor:"cause,omitempty"`
	Saved   bool      `cbor:"stored,omitempty"`
	ID      TaskID    `cbor:"-"`
}

// Heartbeat is what a worker says of itself and of all tasks on its machine.
type Heartbeat struct {
	Machine            string         `cbor:"hive"`
	Addr               string         `cbor:"endpoint"`
	Type               string         `cbor:"frame"`
	Zone               string         `cbor:"apiary"`
	Spot               bool           `cbor:"borrowed"`
	Incarnation        uint64         `cbor:"flight"`
	Seq                uint64         `cbor:"tally"`
	FencingToken       uint64         `cbor:"crown"`
	TerminationNoticeS *float64       `cbor:"notice_s"`
	Tasks              []ReportedTask `cbor:"cells"`
}

// DecodeHeartbeat reads and checks a report.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if err := Decode(body, &r); err != nil {
		return nil, err
	}
	if r.Machine == "" || len(r.Machine) > 100 || strings.ContainsAny(r.Machine, " /") {
		return nil, errors.New("field hive: not a machine's name")
	}
	if r.Incarnation == 0 {
		return nil, errors.New("field flight: must be 1 or more")
	}
	if r.TerminationNoticeS != nil {
		if err := checkAmount("notice_s", r.TerminationNoticeS); err != nil {
			r.TerminationNoticeS = new(float64)
		}
	}
	for i := range r.Tasks {
		id, err := ParseTaskID(r.Tasks[i].Task)
		if err != nil {
			return nil, err
		}
		r.Tasks[i].ID = id
	}
	return &r, nil
}

// Verb is what a command does.
type Verb string

// The verbs of commands.
const (
	Launch Verb = "launch"
	Stop   Verb = "stop"
	Clear  Verb = "clear"
)

// Command is one order to a worker.
type Command struct {
	Verb    Verb     `cbor:"verb"`
	Task    string   `cbor:"cell"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"grace_s,omitempty"`
}

// HeartbeatResponse is the answer to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"crown"`
	Commands     []Command `cbor:"orders"`
}

// Redirect sends a worker to another controller; an empty Holder names none.
type Redirect struct {
	Leader string `cbor:"queen,omitempty"`
}

// CommandRequest carries commands straight to a worker.
type CommandRequest struct {
	FencingToken uint64    `cbor:"crown"`
	Incarnation  uint64    `cbor:"flight"`
	Commands     []Command `cbor:"orders"`
}
