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
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
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
