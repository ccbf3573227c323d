package forward

// The types in this file are copies of the messages that controllers forward to each other, as they
// were when the files in testdata/golden were written. Do not rename them along with the types that
// they were copied from: gob puts their field names on the wire.

type frozenRequest struct {
	Number uint64
	Verb   int
	ID     string
	Job    []byte
}

type frozenAnswer struct {
	Number  uint64
	Record  []byte
	Created bool
	Failure int
	Why     string
}
