package wire

import (
	"errors"
	"strings"
)

// Paths of the workers' interface.
const (
	PathHeartbeat = "/hello"
	PathCommands  = "/do"
	PathStatus    = "/inspect"
)

// ReportedTask is one task in a worker's heartbeat. It also travels between controllers by its Go
// field names.
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

// maxMachineID bounds a machine's ID, in bytes.
const maxMachineID = 100

// DecodeHeartbeat reads and checks a heartbeat.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	var h Heartbeat
	if err := Decode(body, &h); err != nil {
		return nil, err
	}
	if h.Machine == "" || len(h.Machine) > maxMachineID || strings.ContainsAny(h.Machine, " /") {
		return nil, errors.New("field hive: not a machine's name")
	}
	if h.Incarnation == 0 {
		return nil, errors.New("field flight: must be 1 or more")
	}
	if h.TerminationNoticeS != nil && checkAmount("notice_s", h.TerminationNoticeS) != nil {
		h.TerminationNoticeS = new(float64) // there is a notice: the machine goes now, as far as is known
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

// Verb is what a command does.
type Verb string

// The verbs of commands.
const (
	Launch Verb = "launch"
	Stop   Verb = "stop"
	Clear  Verb = "clear"
)

// Command is one command to a worker.
type Command struct {
	Verb    Verb     `cbor:"verb"`
	Task    string   `cbor:"cell"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"grace_s,omitempty"`
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"crown"`
	Commands     []Command `cbor:"orders"`
}

// Redirect sends a worker to another controller; an empty Leader names none.
type Redirect struct {
	Leader string `cbor:"queen,omitempty"`
}

// CommandRequest is a direct call that carries commands to a worker.
type CommandRequest struct {
	FencingToken uint64    `cbor:"crown"`
	Incarnation  uint64    `cbor:"flight"`
	Commands     []Command `cbor:"orders"`
}
