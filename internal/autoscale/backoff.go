package autoscale

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// offerState is what is known of an offer's capacity.
type offerState struct {
	window              int  // calls that may be open at once
	constrained         bool // it did not have all that was last requested
	consecutiveRefusals int
	refusedAt           time.Time // the last of them; zero once it no longer matters
	answeredAt          time.Time
	capacityHint        bool // it should have capacity again
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
			o.consecutiveRefusals, o.refusedAt = 0, time.Time{}
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
	wait := min(limit, initialBackoff<<min(o.consecutiveRefusals-1, 8))
	if o.capacityHint {
		return wait / hintSpeedup
	}
	return wait
}
