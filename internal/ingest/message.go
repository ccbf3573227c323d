// Package ingest lets every controller take workers' reports for the holder.
//
// A controller that does not hold the fleet is an edge: it gathers the reports that
// come in, passes them to the holder in bulk on one stream of the mesh, and gives each
// worker the holder's own answer to that very report. The worker accepts it, since it
// carries the holder's term. So the sockets, the parsing and the formats of thousands
// of workers are shared by all controllers, and the holder sees one batch where it saw
// dozens of requests.
//
// No rule rests on a relay. To the proofs of absence it is one more stretch of network:
// a report may be late, an answer may be lost or late, nothing comes twice, and the worker
// drops what comes more than 4 s after its report. An edge never answers from what it
// remembers. Where there is no stream, workers are sent to the holder, as without it.
package ingest

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// StreamKind is what a stream of reports is called on the mesh.
const StreamKind = "reports"

// Bounds of a stream.
const (
	maxBatch            = 256                    // reports that are passed on together
	batchInterval       = 25 * time.Millisecond  // between two batches, so that more share one
	keepAliveInterval   = time.Second            // after which an empty batch says that the edge is there
	maxCalls            = 32                     // calls that are asked for together
	maxInFlight         = 4                      // batches that may be on their way
	answerTimeout       = 3 * time.Second        // for a report's answer; a worker waits for 4 s
	stallTimeout        = 8 * time.Second        // after which a stream that does not move is given up
	leaderCheckInterval = 200 * time.Millisecond // between two looks at who holds the fleet
	reconnectDelay      = 500 * time.Millisecond // before a stream that broke is opened again
	memoryAge           = 2 * time.Minute        // after which a machine that is silent here is forgotten
)

// batch is what an edge sends: reports that are answered in the same order, and what
// became of the calls that it made for the holder.
type batch struct {
	Number uint64 // on its stream, from 1: none is left out, whatever lies between the two ends
	Items  []item
	Heard  []item   // reports that calls brought
	Vain   []string // machines that were called in vain
	Room   int      // further calls that the edge can make
}

// item is a report: whole, or the same as the machine's last one on this stream but
// for its numbers. gob leaves out what is zero, also behind a pointer, so that pointers
// of the wire's formats travel as a value and a flag.
type item struct {
	Machine            string
	Session, Seq, Term uint64
	Same               bool
	Addr, Type, Zone   string
	Spot               bool
	Noticed            bool
	NoticeS            float64
	Tasks              []wire.ReportedTask
}

// reply is what the holder says to a batch: its answers, and calls that it asks for.
type reply struct {
	Number  uint64 // of the batch; 0 from a version that does not say it
	Answers []answer
	Calls   []leader.FencingCall
}

type answer struct {
	Entitled bool   // it answers for the controllers
	Holder   string // who does instead, if that is known
	Term     uint64
	Commands []command
}

type command struct {
	Verb    wire.Verb
	Task    string
	Attempt uint64
	Graced  bool
	GraceS  float64
}

func pack(r *wire.Heartbeat) item {
	it := item{Machine: r.Machine, Session: r.Incarnation, Seq: r.Seq, Term: r.FencingToken, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Tasks: r.Tasks}
	if r.TerminationNoticeS != nil {
		it.Noticed, it.NoticeS = true, *r.TerminationNoticeS
	}
	return it
}

func (it *item) heartbeat() *wire.Heartbeat {
	r := &wire.Heartbeat{Machine: it.Machine, Incarnation: it.Session, Seq: it.Seq, FencingToken: it.Term, Addr: it.Addr, Type: it.Type, Zone: it.Zone, Spot: it.Spot, Tasks: it.Tasks}
	if it.Noticed {
		r.TerminationNoticeS = &it.NoticeS
	}
	return r
}

func packAnswer(v worker.HeartbeatResult) answer {
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

func (a *answer) verdict() worker.HeartbeatResult {
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
