package ingest

import (
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// StreamKind names a stream of heartbeats among those of package peer.
const StreamKind = "reports"

// The messages of a stream. gob matches fields by their Go names and drops what it doesn't know
// without an error: a field that is renamed here, or in a type that a message holds, is lost
// between two versions. So these names never change; the functions below map them to the types
// that the code uses.

// batch is what a forwarding controller sends: heartbeats, which are answered in the same order,
// and what became of the fencing calls that it made for the leader.
type batch struct {
	Number uint64 // on its stream, from 1: a gap shows that something between the two ends lost one
	Items  []item
	Heard  []item   // heartbeats that fencing calls brought
	Vain   []string // machines that did not answer a fencing call
	Room   int      // further calls that the sender can make
}

// item is a heartbeat: whole, or with the content of the machine's last one on this stream and
// new numbers. gob leaves out what is zero, also behind a pointer, so that an optional value
// travels as a value and a flag.
type item struct {
	Machine            string
	Session, Seq, Term uint64
	Same               bool // as the last one, but for the numbers
	Addr, Type, Zone   string
	Spot               bool
	Noticed            bool
	NoticeS            float64
	Tasks              []wire.ReportedTask
}

// reply is the leader's response to a batch: its answers, and the calls that it asks for.
type reply struct {
	Number  uint64 // of the batch; 0 from a version that does not send it
	Answers []answer
	Calls   []reachability.FencingCall
}

// answer is a worker.HeartbeatResult.
type answer struct {
	Entitled bool   // the sender leads the machine's shard
	Holder   string // who leads it instead, if that is known
	Term     uint64
	Commands []command
}

// command is a wire.Command.
type command struct {
	Verb    wire.Verb
	Task    string
	Attempt uint64
	Graced  bool
	GraceS  float64
}

// pack returns a heartbeat as it is sent, whole.
func newItem(r *wire.Heartbeat) item {
	it := item{Machine: r.Machine, Session: r.Incarnation, Seq: r.Seq, Term: r.FencingToken, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Tasks: r.Tasks}
	if r.TerminationNoticeS != nil {
		it.Noticed, it.NoticeS = true, *r.TerminationNoticeS
	}
	return it
}

// heartbeat returns the heartbeat of an item that is whole.
func (it *item) heartbeat() *wire.Heartbeat {
	r := &wire.Heartbeat{Machine: it.Machine, Incarnation: it.Session, Seq: it.Seq, FencingToken: it.Term, Addr: it.Addr, Type: it.Type, Zone: it.Zone, Spot: it.Spot, Tasks: it.Tasks}
	if it.Noticed {
		r.TerminationNoticeS = &it.NoticeS
	}
	return r
}

// newAnswer returns an answer as it is sent.
func newAnswer(v worker.HeartbeatResult) answer {
	if v.Response == nil {
		return answer{Holder: v.Leader}
	}
	a := answer{Entitled: true, Term: v.Response.FencingToken}
	for _, c := range v.Response.Commands {
		p := command{Verb: c.Verb, Task: c.Task, Attempt: c.Attempt}
		if c.GraceS != nil {
			p.Graced, p.GraceS = true, *c.GraceS
		}
		a.Commands = append(a.Commands, p)
	}
	return a
}

// result decodes an answer.
func (a *answer) result() worker.HeartbeatResult {
	if !a.Entitled {
		return worker.HeartbeatResult{Leader: a.Holder}
	}
	out := wire.HeartbeatResponse{FencingToken: a.Term, Commands: make([]wire.Command, len(a.Commands))}
	for i, c := range a.Commands {
		out.Commands[i] = wire.Command{Verb: c.Verb, Task: c.Task, Attempt: c.Attempt}
		if c.Graced {
			out.Commands[i].GraceS = &a.Commands[i].GraceS
		}
	}
	return worker.HeartbeatResult{Response: &out}
}
