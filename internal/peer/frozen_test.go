package peer

import "time"

// The types in this file are copies of the messages between controllers as they were when
// testdata/golden/beat.gob was written. Do not rename them along with the types that they
// were copied from: gob puts their field names on the wire.

type frozenBeat struct {
	From    string
	StoreOK bool
	Term    uint64
	Counts  map[string]frozenCount
	Heard   int
	Format  int
	Passes  string
	Ways    []string
	Groups  string
	Tiers   string
	Parts   map[string]frozenPartStatus
	Says    map[string]time.Duration
	UpS     int
	Begun   int64
	Number  uint64
	Sights  map[string]frozenObservation
	Writes  bool
	Stream  string
}

type frozenCount struct{ Running, Done int }

type frozenPartStatus struct {
	Term     uint64
	Counts   map[string]frozenCount
	Rooms    map[string]frozenRoom
	Wants    map[string]frozenWant
	Used     map[string][2]float64
	Stays    map[string]frozenAmount
	Zones    map[string]frozenReach
	Ready    []string
	Tiers    map[string]frozenTierStatus
	Backlog  int
	Machines int
}

type frozenRoom struct {
	Now, Below int
	Rent       bool
}

type frozenWant struct {
	CPUs, GPUs float64
	Rank       int
	Since      time.Time
	Least      frozenAmount
}

type frozenAmount struct{ CPUs, GPUs, MemoryGB float64 }

type frozenReach struct{ Up, Quiet int }

type frozenTierStatus struct {
	Cards   float64
	Share   float64
	Lent    float64
	Waiting int
	Claims  int
}

type frozenObservation struct {
	Heard, Quiet   int
	Lost           int
	Answered, Vain int
}
