package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

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

// pendingFor is how many requests for an offer are not decided yet.
func (l *RequestLog) pendingFor(r scheduler.Offer) (n int) {
	for _, a := range l.requests {
		if a.Offer == r {
			n++
		}
	}
	return n
}
