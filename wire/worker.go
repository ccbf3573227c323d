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
