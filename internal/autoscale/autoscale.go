// Package autoscale decides what is asked of the cloud, and when: a state machine of
// the offers and of the rentals that are open. It is pure: times, wishes and the
// cloud's answers come in, calls to make come out.
//
// How many machines an offer has is not published, and the cloud takes few calls.
// So an offer is asked by one call at a time, and by more only as they succeed. What
// is wanted besides is asked elsewhere, or gathers for the next call. An offer that
// has refused is left alone for a while, which grows with the refusals in a row.
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
	maxOpenCalls    = 8                // calls that may be open at once for an offer
	windowExpiry    = 30 * time.Second // after which an offer that nobody asked is asked by one call again
	initialBackoff  = 8 * time.Second  // for which an offer is left alone, doubled with each refusal in a row
	minBackoffLimit = 16 * time.Second // up to this, or more where there are many offers
	maxBackoffLimit = 64 * time.Second
	probeCallShare  = 8               // one part in so many of the calls asks offers in vain, at the most
	hintSpeedup     = 4               // times sooner an offer is asked again that should have room
	resendAfter     = time.Second     // before a call without an answer is repeated
	starvationAge   = 2 * time.Second // after which an ask that waits goes before more urgent ones
)

// ScaleOutRequest is a rental: an intent with a name, by which it is carried out once.
type ScaleOutRequest struct {
	scheduler.ScaleOut
	Name string

	stored   bool      // the store has its intent
	inFlight bool      // a call is waiting for its answer
	addedAt  time.Time // when it was wanted
	sentAt   time.Time // when it was last sent under this holder; zero if never
}

// offerState is what is known of one.
type offerState struct {
	window         int       // calls that may be open at once
	constrained    bool      // it had not all that it was asked for
	refusalsInARow int       // refusals in a row
	refusedAt      time.Time // when it last had not all, zero if that is of no more interest
	answeredAt     time.Time
	capacityHint   bool // it should have room again
}

// RequestLog holds the rentals that are open, and what is known of the offers.
type RequestLog struct {
	callsPerSecond float64 // calls that the cloud takes a second
	requests       map[string]*ScaleOutRequest
	offers         map[scheduler.Offer]*offerState
}

// New gives an empty book, for a cloud that takes so many calls a second.
func New(rps float64) *RequestLog {
	return &RequestLog{callsPerSecond: rps, requests: map[string]*ScaleOutRequest{}, offers: map[scheduler.Offer]*offerState{}}
}

// Recover takes in an intent that an earlier holder has left. Whether it was sent nobody
// knows: the same name gets the same answer.
func (b *RequestLog) Recover(name string, r scheduler.ScaleOut) {
	b.requests[name] = &ScaleOutRequest{ScaleOut: r, Name: name, stored: true}
}

// Pending lists the rentals that are not decided yet, by their names.
func (b *RequestLog) Pending() []*ScaleOutRequest {
	out := make([]*ScaleOutRequest, 0, len(b.requests))
	for _, name := range slices.Sorted(maps.Keys(b.requests)) {
		out = append(out, b.requests[name])
	}
	return out
}

// Ask gives one that is not decided yet, or nil.
func (b *RequestLog) Ask(name string) *ScaleOutRequest { return b.requests[name] }

// Admit picks what is to be asked now of what a plan wants, the most urgent first.
// While a rental for an offer is open, only full ones are added, as its window allows:
// what is wanted besides gathers for the next.
func (b *RequestLog) Admit(now time.Time, rents []scheduler.ScaleOut) (out []scheduler.ScaleOut) {
	rents = slices.Clone(rents)
	slices.SortStableFunc(rents, func(a, b scheduler.ScaleOut) int { return cmp.Compare(a.QueuePosition, b.QueuePosition) })
	for _, r := range rents {
		if b.backingOff(now, r.Offer) {
			continue
		}
		open := b.pendingFor(r.Offer)
		freeCalls := b.callWindow(now, r.Offer) - open
		for left := r.Count; left > 0 && freeCalls > 0 && (open == 0 || left >= wire.MaxScaleOut); freeCalls-- {
			n := min(left, wire.MaxScaleOut)
			out = append(out, scheduler.ScaleOut{Offer: r.Offer, Count: n, QueuePosition: r.QueuePosition})
			left, open = left-n, open+1
		}
	}
	return out
}

// Add takes in an ask whose intent is being written.
func (b *RequestLog) Add(now time.Time, name string, r scheduler.ScaleOut) {
	b.requests[name] = &ScaleOutRequest{ScaleOut: r, Name: name, addedAt: now}
}

// MarkStored notes that the store has an intent. It reports false for one that is of no
// more use, whose record can be dropped.
func (b *RequestLog) MarkStored(name string) bool {
	a := b.requests[name]
	if a != nil {
		a.stored = true
	}
	return a != nil
}

// Forget takes back an ask whose intent will never be in the store.
func (b *RequestLog) Forget(name string) { delete(b.requests, name) }

// Next gives the ask to send now, or nil. Each offer has its turn, the one first that is
// needed most urgently.
func (b *RequestLog) Next(now time.Time) *ScaleOutRequest {
	var best *ScaleOutRequest
	for _, a := range b.Pending() {
		if a.stored && !a.inFlight && now.Sub(a.sentAt) >= resendAfter && b.openCallsFor(a.Offer) < b.callWindow(now, a.Offer) && (best == nil || b.precedes(now, a, best)) {
			best = a
		}
	}
	return best
}

// precedes reports whether a goes before b: what has waited for long, then what has the
// fewest calls open for its offer, then the more urgent.
func (b *RequestLog) precedes(now time.Time, x, y *ScaleOutRequest) bool {
	starved := func(a *ScaleOutRequest) bool { return now.Sub(a.addedAt) > starvationAge && a.sentAt.IsZero() }
	if starved(x) != starved(y) {
		return starved(x)
	}
	if starved(x) && !x.addedAt.Equal(y.addedAt) {
		return x.addedAt.Before(y.addedAt)
	}
	return cmp.Or(cmp.Compare(b.openCallsFor(x.Offer), b.openCallsFor(y.Offer)), cmp.Compare(x.QueuePosition, y.QueuePosition)) < 0
}

// MarkSent notes that an ask is on its way.
func (b *RequestLog) MarkSent(now time.Time, name string) {
	a := b.requests[name]
	a.inFlight, a.sentAt = true, now
}

// MarkUnanswered notes that a call had no answer, or one that decides nothing: it may have
// been carried out, or may yet be, and is repeated.
func (b *RequestLog) MarkUnanswered(name string) {
	if a := b.requests[name]; a != nil {
		a.inFlight = false
	}
}

// Complete takes in how many machines a rental got, and names the asks that are over by
// that: their records can be dropped.
//
// With one that was refused go those of its offer that were not sent: they would be
// refused too. Those of an earlier holder may have been sent, and may even have got
// machines. They are let go all the same: such machines are in the cloud's list within
// its lag, and in reports once they are up, and whatever is there is used or returned.
// What their names would tell is only told a little sooner.
func (b *RequestLog) Complete(now time.Time, name string, got int) (finished []string) {
	a := b.requests[name]
	if a == nil {
		return nil
	}
	delete(b.requests, name)
	finished = []string{name}
	o, window := b.stateOf(a.Offer), b.callWindow(now, a.Offer)
	o.answeredAt = now
	switch {
	case !o.refusedAt.IsZero() && !a.sentAt.After(o.refusedAt):
		// It was open when another was refused: all of a volley count as one.
	case got >= a.Count:
		*o = offerState{window: min(2*window, maxOpenCalls), answeredAt: now}
	default:
		if o.refusalsInARow++; got > 0 {
			o.refusalsInARow = 1
		}
		o.window, o.constrained, o.refusedAt, o.capacityHint = 1, true, now, false
		for _, other := range b.Pending() {
			if other.Offer == a.Offer && other.sentAt.IsZero() {
				delete(b.requests, other.Name)
				if other.stored {
					finished = append(finished, other.Name)
				}
			}
		}
	}
	return finished
}

// InstanceReturned notes that a machine was returned: its offer should have room again.
func (b *RequestLog) InstanceReturned(r scheduler.Offer) {
	if o := b.offers[r]; o != nil {
		o.capacityHint = true
	}
}

// ZoneRecovered notes that a zone can be reached again. What was returned there meanwhile is to be
// had: all its offers are asked anew, one call each.
func (b *RequestLog) ZoneRecovered(zone string) {
	for of, o := range b.offers {
		if of.Zone == zone && o.constrained {
			o.refusalsInARow, o.refusedAt = 0, time.Time{}
		}
	}
}

// Annotate tells a picture which offers are left alone, and which are in doubt. Of these no
// more is wanted at once than can be asked, so that the rest is asked elsewhere.
func (b *RequestLog) Annotate(now time.Time, pic *scheduler.Snapshot) {
	for of, o := range b.offers {
		if o.constrained {
			pic.Doubtful[of], pic.Unavailable[of] = true, b.backingOff(now, of)
			pic.RequestLimit[of] = max(0, b.callWindow(now, of)-b.pendingFor(of)) * wire.MaxScaleOut
		}
	}
}

// Constrained reports whether an offer had not all that it was last asked for.
func (b *RequestLog) Constrained(r scheduler.Offer) bool {
	o := b.offers[r]
	return o != nil && o.constrained
}

// stateOf gives what is known of an offer.
func (b *RequestLog) stateOf(r scheduler.Offer) *offerState {
	o := b.offers[r]
	if o == nil {
		o = &offerState{window: 1}
		b.offers[r] = o
	}
	return o
}

// callWindow is how many calls may be open for an offer. One that was not asked for long is
// asked by one call again.
func (b *RequestLog) callWindow(now time.Time, r scheduler.Offer) int {
	if o := b.offers[r]; o != nil && now.Sub(o.answeredAt) < windowExpiry {
		return o.window
	}
	return 1
}

// backingOff reports whether an offer is not to be asked yet.
func (b *RequestLog) backingOff(now time.Time, r scheduler.Offer) bool {
	o := b.offers[r]
	return o != nil && !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < b.backoff(o)
}

// backoff is for how long an offer is left alone. Asking all those in doubt takes a small
// part of the calls at the most, however many there are.
func (b *RequestLog) backoff(o *offerState) time.Duration {
	constrained := 0
	for _, other := range b.offers {
		if other.constrained {
			constrained++
		}
	}
	limit := max(minBackoffLimit, min(maxBackoffLimit, wire.Seconds(float64(probeCallShare*constrained)/max(b.callsPerSecond, 0.1))))
	wait := min(limit, initialBackoff<<min(o.refusalsInARow-1, 8))
	if o.capacityHint {
		return wait / hintSpeedup
	}
	return wait
}

// pendingFor is how many rentals for an offer are not decided yet.
func (b *RequestLog) pendingFor(r scheduler.Offer) (n int) {
	for _, a := range b.requests {
		if a.Offer == r {
			n++
		}
	}
	return n
}

// openCallsFor is how many of them wait for an answer.
func (b *RequestLog) openCallsFor(r scheduler.Offer) (n int) {
	for _, a := range b.requests {
		if a.Offer == r && a.inFlight {
			n++
		}
	}
	return n
}
