package reachability

import "time"

const (
	// callTimeout is how long after its start a call without a result counts as lost, such as one that
	// was assigned to a peer that has failed since.
	callTimeout = 10 * time.Second
	// answeredMaxAge is for how long an answered call shows that calls from this controller get
	// through. It exceeds probeInterval, so that one probe may be lost.
	answeredMaxAge = 5 * time.Second
	// callResultMaxAge is how long Failing considers a result.
	callResultMaxAge = 8 * time.Second
	// minCallResults is how many results Failing needs: fewer failures may be due to single machines.
	minCallResults = 16
	// maxCallResults is how many of the latest results are kept.
	maxCallResults = 64
)

// Call is the last direct call to a machine.
type Call struct {
	StartedAt time.Time
	Digest    string // of its commands, to detect whether the next ones are the same
	Open      bool   // there is no result yet
	Failures  int    // failed calls since the last one that was answered

	firstFailed time.Time // when the first of these calls was started
	peerFailed  bool      // the last call was made by a peer and failed
}

// InFlight reports whether the result of the call is still expected.
func (c Call) InFlight(now time.Time) bool { return c.Open && now.Sub(c.StartedAt) < callTimeout }

type callResult struct {
	at       time.Time
	answered bool
}

// CallLog keeps the last direct call to each machine and the latest results.
type CallLog struct {
	last         map[string]Call
	results      []callResult
	lastAnswered time.Time // when a call from this controller was last answered
}

func newCallLog() *CallLog { return &CallLog{last: make(map[string]Call)} }

// Last returns the last call to a machine, or the zero Call if there was none.
func (l *CallLog) Last(machineID string) Call { return l.last[machineID] }

// Start records that a call is being made.
func (l *CallLog) Start(now time.Time, machineID, digest string) {
	last := l.last[machineID]
	l.last[machineID] = Call{StartedAt: now, Digest: digest, Open: true, Failures: last.Failures, firstFailed: last.firstFailed}
}

// finish records the result of a call from this controller.
func (l *CallLog) finish(now time.Time, machineID string, answered bool) {
	last := l.last[machineID]
	last.Open = false
	if last.Failures++; last.Failures == 1 {
		last.firstFailed = last.StartedAt
	}
	if answered {
		last.Failures, l.lastAnswered = 0, now
	}
	l.last[machineID] = last
}

// finishPeer records the result of a call that a peer made. It returns false if the machine has been
// forgotten since.
func (l *CallLog) finishPeer(machineID string, answered bool) bool {
	last, known := l.last[machineID]
	if !known {
		return false
	}
	last.Open, last.peerFailed = false, !answered
	if answered {
		last.Failures = 0
	}
	l.last[machineID] = last
	return true
}

// Forget drops the record of calls to a machine that is gone.
func (l *CallLog) Forget(machineID string) { delete(l.last, machineID) }

// ForgetFailures drops the failed calls to a machine that is connected again: they do not predict the
// result of the next call.
func (l *CallLog) ForgetFailures(machineID string) {
	if c := l.last[machineID]; !c.Open && c.Failures > 0 {
		delete(l.last, machineID)
	}
}

func (l *CallLog) recordResult(now time.Time, answered bool) {
	if l.results = append(l.results, callResult{now, answered}); len(l.results) > maxCallResults {
		l.results = l.results[1:]
	}
}

// Failing reports whether hardly any call from this controller is answered by machines whose heartbeats
// arrive by way of peers. The network between this controller and the machines is then cut, and
// launches and stops wait for heartbeats.
func (l *CallLog) Failing(now time.Time) bool {
	recent, failed := 0, 0
	for _, r := range l.results {
		if now.Sub(r.at) >= callResultMaxAge {
			continue
		}
		recent++
		if !r.answered {
			failed++
		}
	}
	return recent >= minCallResults && failed*4 >= recent*3
}
