package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// RequestLog holds the open requests and the state of the offers. It is not safe for concurrent use.
type RequestLog struct {
	callsPerSecond float64 // call rate that the cloud accepts
	requests       map[string]*ScaleOutRequest
	offers         map[scheduler.Offer]*offerState
}

// New returns an empty log for a cloud that accepts the given number of calls per second.
func New(callsPerSecond float64) *RequestLog {
	return &RequestLog{callsPerSecond: callsPerSecond, requests: map[string]*ScaleOutRequest{}, offers: map[scheduler.Offer]*offerState{}}
}

// Recover adds a stored request of an earlier leader. It can be sent whether or not that leader sent it: the cloud
// gives the same response to the same name.
func (l *RequestLog) Recover(name string, r scheduler.ScaleOut) {
	l.requests[name] = &ScaleOutRequest{ScaleOut: r, Name: name, stored: true}
}

// Pending lists the requests that the cloud has not decided yet, sorted by name.
func (l *RequestLog) Pending() []*ScaleOutRequest {
	out := make([]*ScaleOutRequest, 0, len(l.requests))
	for _, name := range slices.Sorted(maps.Keys(l.requests)) {
		out = append(out, l.requests[name])
	}
	return out
}

// Request returns the request with the given name if it is not decided yet, or nil.
func (l *RequestLog) Request(name string) *ScaleOutRequest { return l.requests[name] }

// Admit returns the requests to make now for the scale-outs that a plan wants, the most urgent first. While a request
// for an offer is open, only requests of the maximum size are added, up to the call window of the offer: smaller
// demand is combined into a later request.
func (l *RequestLog) Admit(now time.Time, wanted []scheduler.ScaleOut) (out []scheduler.ScaleOut) {
	wanted = slices.Clone(wanted)
	slices.SortStableFunc(wanted, func(a, b scheduler.ScaleOut) int { return cmp.Compare(a.QueuePosition, b.QueuePosition) })
	for _, r := range wanted {
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

// Add adds a request whose record is being written to the store.
func (l *RequestLog) Add(now time.Time, name string, r scheduler.ScaleOut) {
	l.requests[name] = &ScaleOutRequest{ScaleOut: r, Name: name, addedAt: now}
}

// MarkStored records that the store has committed the record of a request. It returns false if the request has been
// dropped meanwhile, so that its record can be deleted.
func (l *RequestLog) MarkStored(name string) bool {
	request := l.requests[name]
	if request != nil {
		request.stored = true
	}
	return request != nil
}

// Forget removes a request whose record was not and will not be written to the store.
func (l *RequestLog) Forget(name string) { delete(l.requests, name) }

// Annotate marks in a snapshot the constrained offers: which of them are in backoff, and how many machines can be
// requested from each at once. No more than that is planned for them, so that the rest is requested elsewhere.
func (l *RequestLog) Annotate(now time.Time, snapshot *scheduler.Snapshot) {
	for offer, state := range l.offers {
		if state.constrained {
			snapshot.Doubtful[offer], snapshot.Unavailable[offer] = true, l.backingOff(now, offer)
			snapshot.RequestLimit[offer] = max(0, l.callWindow(now, offer)-l.pendingFor(offer)) * wire.MaxScaleOut
		}
	}
}

// pendingFor returns the number of requests for an offer that are not decided yet.
func (l *RequestLog) pendingFor(offer scheduler.Offer) (n int) {
	for _, request := range l.requests {
		if request.Offer == offer {
			n++
		}
	}
	return n
}
