package ingest

// The types in this file are copies of the messages between a forwarding controller and a leader, as
// they were when the files in testdata/golden were written. Do not rename them along with the types that
// they were copied from: gob puts their field names on the wire.

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
