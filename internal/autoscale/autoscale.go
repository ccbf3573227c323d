// Package autoscale decides which machines are requested from the cloud, and when: a state machine of
// the cloud's offers and of the scale-out requests that are open. It does no I/O: times, the
// scheduler's plans and the cloud's answers are arguments, and calls to make are results.
//
// How many machines an offer (a machine type in a zone, spot or not) has left is not published, and
// the cloud takes few calls a second. So an offer gets one call at a time, and more as they succeed.
// Further demand goes to other offers, or collects for the next call. An offer that has refused is
// left alone for a time that grows with the number of refusals in a row.
package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

const (
	// maxOpenCalls is how many calls may be open at once for an offer, however well it serves.
	maxOpenCalls = 8
	// windowExpiry is after how long an idle offer begins with a single call again: the capacity that it
	// had may be gone.
	windowExpiry = 30 * time.Second
	// initialBackoff is for how long an offer is left alone after a refusal. It doubles with each further
	// one in a row.
	initialBackoff = 8 * time.Second
	// minBackoffLimit bounds the backoff. Where many offers have refused, the bound is higher.
	minBackoffLimit = 16 * time.Second
	// maxBackoffLimit bounds the bound: capacity that returns is found within about a minute.
	maxBackoffLimit = 64 * time.Second
	// probeCallShare limits calls to offers that have refused: at most one call in so many.
	probeCallShare = 8
	// hintSpeedup is how many times sooner an offer is asked again that should have capacity.
	hintSpeedup = 4
	// resendAfter is the time before a call without an answer is repeated, under the same name.
	resendAfter = time.Second
	// starvationAge is after how long a waiting request goes before more urgent ones.
	starvationAge = 2 * time.Second
)

// ScaleOutRequest is a scale-out request: an intent with a name, by which the cloud carries it out only once.
type ScaleOutRequest struct {
	scheduler.ScaleOut
	Name string

	stored   bool      // the store has its intent
	inFlight bool      // a call is waiting for its answer
	addedAt  time.Time // when it was wanted
	sentAt   time.Time // when this leader last sent it; zero if never
}

// offerState is what is known of an offer's capacity.
type offerState struct {
	window         int  // calls that may be open at once
	constrained    bool // it did not have all that was last requested
	refusalsInARow int
	refusedAt      time.Time // the last of them; zero once it no longer matters
	answeredAt     time.Time
	capacityHint   bool // it should have capacity again
}

// RequestLog holds the open requests and what is known of the offers. It is not safe for concurrent use.
type RequestLog struct {
	callsPerSecond float64 // that the cloud takes
	requests       map[string]*ScaleOutRequest
	offers         map[scheduler.Offer]*offerState
}

// New returns an empty log for a cloud that takes so many calls a second.
func New(callsPerSecond float64) *RequestLog {
	return &RequestLog{callsPerSecond: callsPerSecond, requests: map[string]*ScaleOutRequest{}, offers: map[scheduler.Offer]*offerState{}}
}

// Recover adds the intent of an earlier leader. It may have been sent or not: the cloud gives the same
// answer to the same name.
func (l *RequestLog) Recover(name string, r scheduler.ScaleOut) {
	l.requests[name] = &ScaleOutRequest{ScaleOut: r, Name: name, stored: true}
}

// Pending lists the requests that the cloud has not decided yet, by name.
func (l *RequestLog) Pending() []*ScaleOutRequest {
	out := make([]*ScaleOutRequest, 0, len(l.requests))
	for _, name := range slices.Sorted(maps.Keys(l.requests)) {
		out = append(out, l.requests[name])
	}
	return out
}

// Request returns a request that is not decided yet, or nil.
func (l *RequestLog) Request(name string) *ScaleOutRequest { return l.requests[name] }

// Admit returns the requests to make now of what a plan wants, the most urgent first. While a request
// for an offer is open, only requests of the maximum size are added, as the window of the offer
// allows: the remaining demand collects for the next request.
func (l *RequestLog) Admit(now time.Time, rents []scheduler.ScaleOut) (out []scheduler.ScaleOut) {
	rents = slices.Clone(rents)
	slices.SortStableFunc(rents, func(a, b scheduler.ScaleOut) int { return cmp.Compare(a.QueuePosition, b.QueuePosition) })
	for _, r := range rents {
		if l.backingOff(now, r.Offer) {
			continue
		}
		open := l.pendingFor(r.Offer)
		freeCalls := l.callWindow(now, r.Offer) - open
		for left := r.Count; left > 0 && freeCalls > 0 && (open == 0 || left >= wire.MaxScaleOut); freeCalls-- {
			n := min(left, wire.MaxScaleOut)
			out = append(out, scheduler.ScaleOut{Offer: r.Offer, Count: n, QueuePosition: r.QueuePosition})
			left, open = left-n, open+1
		}
	}
	return out
}

// Add adds a request whose intent is being written to the store.
func (l *RequestLog) Add(now time.Time, name string, r scheduler.ScaleOut) {
	l.requests[name] = &ScaleOutRequest{ScaleOut: r, Name: name, addedAt: now}
}

// MarkStored records that the store has an intent. It reports false if the request is of no more use, and
// its record can be dropped.
func (l *RequestLog) MarkStored(name string) bool {
	a := l.requests[name]
	if a != nil {
		a.stored = true
	}
	return a != nil
}

// Forget removes a request whose intent will never be in the store.
func (l *RequestLog) Forget(name string) { delete(l.requests, name) }

// Next returns the request to send now, or nil. Offers take turns, beginning with the one that is needed
// most urgently.
func (l *RequestLog) Next(now time.Time) *ScaleOutRequest {
	var best *ScaleOutRequest
	for _, a := range l.Pending() {
		if a.stored && !a.inFlight && now.Sub(a.sentAt) >= resendAfter && l.openCallsFor(a.Offer) < l.callWindow(now, a.Offer) && (best == nil || l.precedes(now, a, best)) {
			best = a
		}
	}
	return best
}

// precedes reports whether x is sent before y: the one that has waited for long, then the one with fewer
// calls open for its offer, then the more urgent one.
func (l *RequestLog) precedes(now time.Time, x, y *ScaleOutRequest) bool {
	starved := func(a *ScaleOutRequest) bool { return now.Sub(a.addedAt) > starvationAge && a.sentAt.IsZero() }
	if starved(x) != starved(y) {
		return starved(x)
	}
	if starved(x) && !x.addedAt.Equal(y.addedAt) {
		return x.addedAt.Before(y.addedAt)
	}
	return cmp.Or(cmp.Compare(l.openCallsFor(x.Offer), l.openCallsFor(y.Offer)), cmp.Compare(x.QueuePosition, y.QueuePosition)) < 0
}

// MarkSent records that a request is being sent.
func (l *RequestLog) MarkSent(now time.Time, name string) {
	a := l.requests[name]
	a.inFlight, a.sentAt = true, now
}

// MarkUnanswered records that a call had no answer, or one that decides nothing. The cloud may have carried
// it out, or may yet do so: it is repeated.
func (l *RequestLog) MarkUnanswered(name string) {
	if a := l.requests[name]; a != nil {
		a.inFlight = false
	}
}

// Complete records how many machines a request got, and returns the requests that are over by that:
// their records can be dropped.
//
// If the cloud has refused it, requests for the same offer that were not sent are dropped as well:
// they would be refused too. Those of an earlier leader may have been sent and may even have got
// machines. They are dropped all the same: such machines appear in the cloud's list within its lag,
// and in heartbeats once they are up, and are then used or returned. The answer to the request
// would only tell of them a little sooner.
func (l *RequestLog) Complete(now time.Time, name string, got int) (finished []string) {
	a := l.requests[name]
	if a == nil {
		return nil
	}
	delete(l.requests, name)
	finished = []string{name}
	o, window := l.stateOf(a.Offer), l.callWindow(now, a.Offer)
	o.answeredAt = now
	switch {
	case !o.refusedAt.IsZero() && !a.sentAt.After(o.refusedAt):
		// It was in flight when another was refused: refusals of concurrent calls count as one.
	case got >= a.Count:
		*o = offerState{window: min(2*window, maxOpenCalls), answeredAt: now}
	default:
		if o.refusalsInARow++; got > 0 {
			o.refusalsInARow = 1
		}
		o.window, o.constrained, o.refusedAt, o.capacityHint = 1, true, now, false
		for _, other := range l.Pending() {
			if other.Offer == a.Offer && other.sentAt.IsZero() {
				delete(l.requests, other.Name)
				if other.stored {
					finished = append(finished, other.Name)
				}
			}
		}
	}
	return finished
}

// InstanceReturned records that a machine was returned: its offer should have capacity again.
func (l *RequestLog) InstanceReturned(r scheduler.Offer) {
	if o := l.offers[r]; o != nil {
		o.capacityHint = true
	}
}

// ZoneRecovered records that a zone can be reached again. Machines that were returned there meanwhile may be
// available: each of its offers is asked again with one call.
func (l *RequestLog) ZoneRecovered(zone string) {
	for of, o := range l.offers {
		if of.Zone == zone && o.constrained {
			o.refusalsInARow, o.refusedAt = 0, time.Time{}
		}
	}
}

// Annotate marks in a snapshot which offers are left alone, and which may be short of machines. Of the
// latter no more is planned than can be requested at once, so that the rest is requested elsewhere.
func (l *RequestLog) Annotate(now time.Time, pic *scheduler.Snapshot) {
	for of, o := range l.offers {
		if o.constrained {
			pic.Doubtful[of], pic.Unavailable[of] = true, l.backingOff(now, of)
			pic.RequestLimit[of] = max(0, l.callWindow(now, of)-l.pendingFor(of)) * wire.MaxScaleOut
		}
	}
}

// Constrained reports whether an offer did not have all that was last requested of it.
func (l *RequestLog) Constrained(r scheduler.Offer) bool {
	o := l.offers[r]
	return o != nil && o.constrained
}

// stateOf returns what is known of an offer.
func (l *RequestLog) stateOf(r scheduler.Offer) *offerState {
	o := l.offers[r]
	if o == nil {
		o = &offerState{window: 1}
		l.offers[r] = o
	}
	return o
}

// callWindow is how many calls may be open for an offer: one if it has not been asked for long.
func (l *RequestLog) callWindow(now time.Time, r scheduler.Offer) int {
	if o := l.offers[r]; o != nil && now.Sub(o.answeredAt) < windowExpiry {
		return o.window
	}
	return 1
}

// backingOff reports whether an offer is left alone after a refusal.
func (l *RequestLog) backingOff(now time.Time, r scheduler.Offer) bool {
	o := l.offers[r]
	return o != nil && !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < l.backoff(o)
}

// backoff is for how long an offer is left alone. It grows with the number of offers that have refused, so
// that asking all of them takes a small part of the calls.
func (l *RequestLog) backoff(o *offerState) time.Duration {
	constrained := 0
	for _, other := range l.offers {
		if other.constrained {
			constrained++
		}
	}
	limit := max(minBackoffLimit, min(maxBackoffLimit, wire.Seconds(float64(probeCallShare*constrained)/max(l.callsPerSecond, 0.1))))
	wait := min(limit, initialBackoff<<min(o.refusalsInARow-1, 8))
	if o.capacityHint {
		return wait / hintSpeedup
	}
	return wait
}

// pendingFor is how many requests for an offer are not decided yet.
func (l *RequestLog) pendingFor(r scheduler.Offer) (n int) {
	for _, a := range l.requests {
		if a.Offer == r {
			n++
		}
	}
	return n
}

// openCallsFor is how many requests for an offer wait for an answer.
func (l *RequestLog) openCallsFor(r scheduler.Offer) (n int) {
	for _, a := range l.requests {
		if a.Offer == r && a.inFlight {
			n++
		}
	}
	return n
}
