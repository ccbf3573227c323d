package wire

import (
	"errors"
	"strings"
)

// Paths of the worker protocol: of heartbeats to controllers, and of commands and status requests to workers.
const (
	PathHeartbeat = "/hello"
	PathCommands  = "/do"
	PathStatus    = "/inspect"
)

// ReportedTask is one task in a worker's heartbeat. Controllers also send it to each other with
// encoding/gob, which matches fields by their Go names.
type ReportedTask struct {
	Task    string    `cbor:"cell"`
	Attempt uint64    `cbor:"try"`
	State   TaskState `cbor:"stage"`
	Cause   Cause     `cbor:"cause,omitempty"`
	Saved   bool      `cbor:"stored,omitempty"` // whether the task has saved its progress
	ID      TaskID    `cbor:"-"`                // Task in parsed form
}

// Heartbeat is a worker's report about its machine and all tasks on it.
type Heartbeat struct {
	Machine            string         `cbor:"hive"`
	Addr               string         `cbor:"endpoint"`
	Type               string         `cbor:"frame"`
	Zone               string         `cbor:"apiary"`
	Spot               bool           `cbor:"borrowed"`
	Incarnation        uint64         `cbor:"flight"`
	Seq                uint64         `cbor:"tally"` // sequence number of the heartbeat
	FencingToken       uint64         `cbor:"crown"`
	TerminationNoticeS *float64       `cbor:"notice_s"` // seconds until the machine is terminated; nil without a notice
	Tasks              []ReportedTask `cbor:"cells"`
}

// maxMachineIDBytes is the maximum length of a machine ID.
const maxMachineIDBytes = 100

// DecodeHeartbeat decodes and validates a heartbeat.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	var h Heartbeat
	if err := Decode(body, &h); err != nil {
		return nil, err
	}
	if h.Machine == "" || len(h.Machine) > maxMachineIDBytes || strings.ContainsAny(h.Machine, " /") {
		return nil, errors.New("field hive: not a machine's name")
	}
	if h.Incarnation == 0 {
		return nil, errors.New("field flight: must be 1 or more")
	}
	if h.TerminationNoticeS != nil && checkAmount("notice_s", h.TerminationNoticeS) != nil {
		h.TerminationNoticeS = new(float64) // an invalid time is still a notice: assume that the machine is terminated now
	}
	for i := range h.Tasks {
		id, err := ParseTaskID(h.Tasks[i].Task)
		if err != nil {
			return nil, err
		}
		h.Tasks[i].ID = id
	}
	return &h, nil
}

// Verb is the action that a command requests.
type Verb string

// The verbs of commands.
const (
	Launch Verb = "launch"
	Stop   Verb = "stop"
	Clear  Verb = "clear" // makes the worker forget a task that has ended
)

// Command is a command to a worker about an attempt of a task.
type Command struct {
	Verb    Verb     `cbor:"verb"`
	Task    string   `cbor:"cell"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"grace_s,omitempty"` // seconds in which the task may save its progress
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"crown"`
	Commands     []Command `cbor:"orders"`
}

// Redirect tells a worker to send its heartbeats to another controller; an empty Leader names none.
type Redirect struct {
	Leader string `cbor:"queen,omitempty"`
}

// CommandRequest sends commands to a worker without waiting for its next heartbeat.
type CommandRequest struct {
	FencingToken uint64    `cbor:"crown"`
	Incarnation  uint64    `cbor:"flight"`
	Commands     []Command `cbor:"orders"`
}
