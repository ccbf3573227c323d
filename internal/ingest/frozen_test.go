package ingest

// The types of this file are copies of what an edge and a leader send each other, as it
// was when the files in testdata/golden were written. They are never renamed along with the
// types that they were copied from: their field names are what is on the wire.

type frozenBatch struct {
	Number uint64
	Items  []frozenItem
	Heard  []frozenItem
	Vain   []string
	Room   int
}

type frozenItem struct {
	Machine            string
	Session, Seq, Term uint64
	Same               bool
	Addr, Type, Zone   string
	Spot               bool
	Noticed            bool
	NoticeS            float64
	Tasks              []frozenTask
}

type frozenTask struct {
	Task    string
	Attempt uint64
	State   string
	Cause   string
	Saved   bool
	ID      frozenTaskID
}

type frozenTaskID struct {
	Job   string
	Index int
}

type frozenReply struct {
	Number  uint64
	Answers []frozenAnswer
	Calls   []frozenRaise
}

type frozenAnswer struct {
	Entitled bool
	Holder   string
	Term     uint64
	Commands []frozenCommand
}

type frozenCommand struct {
	Verb    string
	Task    string
	Attempt uint64
	Graced  bool
	GraceS  float64
}

type frozenRaise struct {
	Machine, Addr string
	Zone          string
	Term, Session uint64
}
