package forward

// The types of this file are copies of what controllers forward to each other, as it was
// when the files in testdata/golden were written. They are never renamed along with the
// types that they were copied from: their field names are what is on the wire.

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
