package ingest

import (
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// StreamKind is the kind of a stream of forwarded heartbeats, as package peer distinguishes them.
const StreamKind = "reports"

// The types below are the messages of a stream. gob matches fields by their Go names and drops unknown
// ones without an error: if a field is renamed here, or in a type that a message contains, its value is
// lost between versions. These names must therefore never change. The functions below convert the
// messages to and from the types that the rest of the code uses.

// batch is a message from a forwarding controller: heartbeats, which are answered in the same order, and
// the outcomes of fencing calls that it made for the leader.
type batch struct {
	Number uint64 // on its stream, from 1; a gap means that a batch was lost on the way
	Items  []item
	Heard  []item   // heartbeats that machines returned to fencing calls
	Vain   []string // machines that did not answer a fencing call
	Room   int      // number of further fencing calls that the sender can make
}

// item is a heartbeat. It is either complete, or a delta that carries only new numbers and repeats the
// content of the machine's previous heartbeat on this stream. gob omits zero values even behind a
// pointer, so an optional value is sent as a value and a flag.
type item struct {
	Machine            string
	Session, Seq, Term uint64
	Same               bool // the content is that of the previous heartbeat; only Seq and Term are new
	Addr, Type, Zone   string
	Spot               bool
	Noticed            bool
	NoticeS            float64
	Tasks              []wire.ReportedTask
}

// reply is the leader's response to a batch: its answers, and the fencing calls that it requests.
type reply struct {
	Number  uint64 // of the batch; 0 from a version that does not send it
	Answers []answer
	Calls   []reachability.FencingCall
}

// answer is the wire format of a worker.HeartbeatResult.
type answer struct {
	Entitled bool   // the sender of the reply leads the machine's shard
	Holder   string // the controller that leads it otherwise, if known
	Term     uint64
	Commands []command
}

// command is the wire format of a wire.Command.
type command struct {
	Verb    wire.Verb
	Task    string
	Attempt uint64
	Graced  bool
	GraceS  float64
}

// newItem converts a heartbeat to a complete item.
func newItem(heartbeat *wire.Heartbeat) item {
	it := item{Machine: heartbeat.Machine, Session: heartbeat.Incarnation, Seq: heartbeat.Seq, Term: heartbeat.FencingToken, Addr: heartbeat.Addr, Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot, Tasks: heartbeat.Tasks}
	if heartbeat.TerminationNoticeS != nil {
		it.Noticed, it.NoticeS = true, *heartbeat.TerminationNoticeS
	}
	return it
}

// heartbeat converts a complete item to a heartbeat.
func (it *item) heartbeat() *wire.Heartbeat {
	result := &wire.Heartbeat{Machine: it.Machine, Incarnation: it.Session, Seq: it.Seq, FencingToken: it.Term, Addr: it.Addr, Type: it.Type, Zone: it.Zone, Spot: it.Spot, Tasks: it.Tasks}
	if it.Noticed {
		result.TerminationNoticeS = &it.NoticeS
	}
	return result
}

// newAnswer converts a result to its wire format.
func newAnswer(result worker.HeartbeatResult) answer {
	if result.Response == nil {
		return answer{Holder: result.Leader}
	}
	a := answer{Entitled: true, Term: result.Response.FencingToken}
	for _, c := range result.Response.Commands {
		packed := command{Verb: c.Verb, Task: c.Task, Attempt: c.Attempt}
		if c.GraceS != nil {
			packed.Graced, packed.GraceS = true, *c.GraceS
		}
		a.Commands = append(a.Commands, packed)
	}
	return a
}

// result converts an answer from its wire format.
func (a *answer) result() worker.HeartbeatResult {
	if !a.Entitled {
		return worker.HeartbeatResult{Leader: a.Holder}
	}
	response := wire.HeartbeatResponse{FencingToken: a.Term, Commands: make([]wire.Command, len(a.Commands))}
	for i, c := range a.Commands {
		response.Commands[i] = wire.Command{Verb: c.Verb, Task: c.Task, Attempt: c.Attempt}
		if c.Graced {
			response.Commands[i].GraceS = &a.Commands[i].GraceS
		}
	}
	return worker.HeartbeatResult{Response: &response}
}
