package zone

// Observation counts what a controller observes of a zone's machines. Controllers send it to each other, so the names
// of its fields are part of the protocol.
type Observation struct {
	Heard, Quiet   int // machines whose last heartbeat is recent, and machines whose heartbeat is overdue
	Lost           int // machines that were recently evicted because their heartbeats were missing
	Answered, Vain int // recent calls from this controller to machines that were answered, and that failed
}

// minMissing is how many machines must be missing before a zone is suspected. Fewer may fail by coincidence.
const minMissing = 4

// unreachable reports whether at least nine of ten machines are missing, and at least minMissing of them.
func (o Observation) unreachable() bool {
	missing := o.Quiet + o.Lost
	return missing >= minMissing && missing*10 >= (o.Heard+missing)*9
}

// mostlyMissing reports whether more than half of the machines are missing.
func (o Observation) mostlyMissing() bool { return (o.Quiet+o.Lost)*2 > o.Heard+o.Quiet+o.Lost }

// healthy reports whether some machine sends heartbeats and at most a third of the machines are missing.
func (o Observation) healthy() bool {
	missing := o.Quiet + o.Lost
	return o.Heard > 0 && missing*3 <= o.Heard+missing
}

// Observer is a controller and its observations of each zone.
type Observer struct {
	Zone         string // the zone in which the controller runs
	Observations map[string]Observation
}

// verdict is a controller's judgement of whether a zone is reachable.
type verdict int

const (
	verdictUndecided verdict = iota
	verdictReachable
	verdictUnreachable
)

// verdictOn returns the verdict of a controller that runs outside a zone. It is undecided if the controller receives
// hardly any heartbeats from other zones and no machine there answers its calls: all heartbeats may go to other
// controllers, or the controller may be partitioned.
func (o Observer) verdictOn(zone string) verdict {
	observation, callsAnsweredElsewhere := o.Observations[zone], false
	heartbeatsElsewhere := false
	for name, other := range o.Observations {
		if name != zone {
			heartbeatsElsewhere = heartbeatsElsewhere || other.healthy()
			callsAnsweredElsewhere = callsAnsweredElsewhere || other.Answered > 0
		}
	}
	switch {
	case !heartbeatsElsewhere && !callsAnsweredElsewhere:
		return verdictUndecided
	case observation.Answered > 0 || observation.Heard > 0 && observation.Heard >= observation.Quiet:
		return verdictReachable
	case observation.Quiet >= 2 || observation.Vain >= 2 && callsAnsweredElsewhere:
		// Failed calls count only if calls to other zones are answered.
		return verdictUnreachable
	}
	return verdictUndecided
}
