package autoscale

import (
	"cmp"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
)

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
		if o.consecutiveRefusals++; got > 0 {
			o.consecutiveRefusals = 1
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

// callWindow is how many calls may be open for an offer: one if it has not been asked for long.
func (l *RequestLog) callWindow(now time.Time, r scheduler.Offer) int {
	if o := l.offers[r]; o != nil && now.Sub(o.answeredAt) < windowExpiry {
		return o.window
	}
	return 1
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
