package zone

// Observation counts what a controller observes of a zone's machines. Controllers send it to each
// other: the names of its fields are part of the protocol.
type Observation struct {
	Heard, Quiet   int // machines whose last heartbeat is recent, and overdue
	Lost           int // machines that were lately evicted because their heartbeats were missing
	Answered, Vain int // recent calls from this controller that were answered, and that failed
}

// minMissing is how many machines must be missing before a zone is suspected: fewer may fail by coincidence.
const minMissing = 4

// unreachable reports whether nine of ten machines are missing, and enough of them to judge by.
func (s Observation) unreachable() bool {
	missing := s.Quiet + s.Lost
	return missing >= minMissing && missing*10 >= (s.Heard+missing)*9
}

// mostlyMissing reports whether more than half of the machines are missing.
func (s Observation) mostlyMissing() bool { return (s.Quiet+s.Lost)*2 > s.Heard+s.Quiet+s.Lost }

// healthy reports whether at most a third of the machines is missing.
func (s Observation) healthy() bool {
	missing := s.Quiet + s.Lost
	return s.Heard > 0 && missing*3 <= s.Heard+missing
}

// Observer is a controller and what it observes.
type Observer struct {
	Zone         string // in which it runs
	Observations map[string]Observation
}

// verdict is what the observations of a controller say of a zone.
type verdict int

const (
	undecided verdict = iota
	saysReachable
	saysUnreachable
)

// verdictOn gives the verdict of a peer outside a zone. It is undecided if the peer receives hardly any
// heartbeats from elsewhere and none of its calls there is answered: all heartbeats may go to other
// controllers, or the peer may be partitioned.
func (w Observer) verdictOn(zone string) verdict {
	s, reachesElsewhere := w.Observations[zone], false
	hearsElsewhere := false
	for name, o := range w.Observations {
		if name != zone {
			hearsElsewhere = hearsElsewhere || o.healthy()
			reachesElsewhere = reachesElsewhere || o.Answered > 0
		}
	}
	switch {
	case !hearsElsewhere && !reachesElsewhere:
		return undecided
	case s.Answered > 0 || s.Heard > 0 && s.Heard >= s.Quiet:
		return saysReachable
	case s.Quiet >= 2 || s.Vain >= 2 && reachesElsewhere: // failed calls count only if others are answered
		return saysUnreachable
	}
	return undecided
}
