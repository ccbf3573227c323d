package autoscale

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// offerState is what is known about the capacity of an offer.
type offerState struct {
	window              int  // how many calls may be open at once
	constrained         bool // the offer had fewer machines than were last requested
	consecutiveRefusals int
	refusedAt           time.Time // time of the last refusal; zero if none is relevant
	answeredAt          time.Time
	capacityHint        bool // the offer should have capacity again
}

// InstanceReturned records that a machine was returned to the cloud, so its offer should have capacity again.
func (l *RequestLog) InstanceReturned(offer scheduler.Offer) {
	if o := l.offers[offer]; o != nil {
		o.capacityHint = true
	}
}

// ZoneRecovered records that a zone can be reached again. Machines that were returned there in the meantime may be
// available, so the backoff of its offers ends and each is tried with one call.
func (l *RequestLog) ZoneRecovered(zone string) {
	for offer, o := range l.offers {
		if offer.Zone == zone && o.constrained {
			o.consecutiveRefusals, o.refusedAt = 0, time.Time{}
		}
	}
}

// Constrained reports whether an offer had fewer machines than were last requested.
func (l *RequestLog) Constrained(offer scheduler.Offer) bool {
	o := l.offers[offer]
	return o != nil && o.constrained
}

// stateOf returns the state of an offer, which it creates if needed.
func (l *RequestLog) stateOf(offer scheduler.Offer) *offerState {
	o := l.offers[offer]
	if o == nil {
		o = &offerState{window: 1}
		l.offers[offer] = o
	}
	return o
}

// backingOff reports whether an offer must not be called yet after a refusal.
func (l *RequestLog) backingOff(now time.Time, offer scheduler.Offer) bool {
	o := l.offers[offer]
	return o != nil && !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < l.backoff(o)
}

// backoff returns how long an offer is not called after a refusal. Its limit grows with the number of constrained
// offers, so that calls to all of them take only a small share of the call rate.
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
