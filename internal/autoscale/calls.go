package autoscale

import (
	"cmp"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
)

// Next returns the request to send now, or nil if there is none. Offers take turns, starting with the one that is
// needed most urgently.
func (l *RequestLog) Next(now time.Time) *ScaleOutRequest {
	var best *ScaleOutRequest
	for _, request := range l.Pending() {
		if request.stored && !request.inFlight && now.Sub(request.sentAt) >= resendAfter && l.openCallsFor(request.Offer) < l.callWindow(now, request.Offer) && (best == nil || l.precedes(now, request, best)) {
			best = request
		}
	}
	return best
}

// precedes reports whether x is sent before y: a request that has waited longer than starvationAge comes first, then
// the one whose offer has fewer open calls, then the more urgent one.
func (l *RequestLog) precedes(now time.Time, x, y *ScaleOutRequest) bool {
	starved := func(request *ScaleOutRequest) bool {
		return now.Sub(request.addedAt) > starvationAge && request.sentAt.IsZero()
	}
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
	request := l.requests[name]
	request.inFlight, request.sentAt = true, now
}

// MarkUnanswered records that a call had no response, or one that is inconclusive. The cloud may have executed the
// request or may still do so, so it is sent again.
func (l *RequestLog) MarkUnanswered(name string) {
	if request := l.requests[name]; request != nil {
		request.inFlight = false
	}
}

// Complete records how many machines a request got, and returns the names of the requests that are now finished. Their
// records can be deleted from the store.
//
// If the request got fewer machines than it asked for, requests for the same offer that this leader has not sent are
// dropped as well, since they would be refused too. Requests of an earlier leader may have been sent and may even have
// got machines, but they are dropped all the same: such machines appear in the cloud's list within its lag, and send
// heartbeats once they are up, and are then used or returned. A response to the request would only reveal them a little
// sooner.
func (l *RequestLog) Complete(now time.Time, name string, got int) (finished []string) {
	request := l.requests[name]
	if request == nil {
		return nil
	}
	delete(l.requests, name)
	finished = []string{name}
	o, window := l.stateOf(request.Offer), l.callWindow(now, request.Offer)
	o.answeredAt = now
	switch {
	case !o.refusedAt.IsZero() && !request.sentAt.After(o.refusedAt):
		// The request was in flight when another one was refused: refusals of concurrent calls count as one.
	case got >= request.Count:
		*o = offerState{window: min(2*window, maxOpenCalls), answeredAt: now}
	default:
		if o.consecutiveRefusals++; got > 0 {
			o.consecutiveRefusals = 1
		}
		o.window, o.constrained, o.refusedAt, o.capacityHint = 1, true, now, false
		for _, other := range l.Pending() {
			if other.Offer == request.Offer && other.sentAt.IsZero() {
				delete(l.requests, other.Name)
				if other.stored {
					finished = append(finished, other.Name)
				}
			}
		}
	}
	return finished
}

// callWindow returns how many calls may be open for an offer: one if its last response is older than windowExpiry.
func (l *RequestLog) callWindow(now time.Time, offer scheduler.Offer) int {
	if o := l.offers[offer]; o != nil && now.Sub(o.answeredAt) < windowExpiry {
		return o.window
	}
	return 1
}

// openCallsFor returns the number of calls for an offer that wait for a response.
func (l *RequestLog) openCallsFor(offer scheduler.Offer) (n int) {
	for _, request := range l.requests {
		if request.Offer == offer && request.inFlight {
			n++
		}
	}
	return n
}
