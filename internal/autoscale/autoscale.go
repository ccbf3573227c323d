// Package autoscale decides which machines are requested from the cloud, and when. It is a state machine of the cloud's
// offers and of the open scale-out requests. It does no I/O: times, the scheduler's plans and the cloud's responses are
// arguments, and the calls to make are results.
//
// An offer is a machine type in a zone, spot or not. The cloud does not publish how many machines an offer has left,
// and it accepts only a few calls per second. Therefore an offer starts with one call at a time and gets more as calls
// succeed. Further demand goes to other offers or is combined into the next call. After a refusal, an offer is not
// called for a backoff time that grows with the number of consecutive refusals.
package autoscale

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
)

const (
	// maxOpenCalls bounds the number of concurrent calls for one offer, however many succeed.
	maxOpenCalls = 8
	// windowExpiry is how long after its last response an offer starts with a single call again, since the capacity
	// that it had may be gone.
	windowExpiry = 30 * time.Second
	// initialBackoff is how long an offer is not called after a refusal. It doubles with each consecutive refusal.
	initialBackoff = 8 * time.Second
	// minBackoffLimit is the smallest limit on the backoff. The limit is higher if many offers have refused.
	minBackoffLimit = 16 * time.Second
	// maxBackoffLimit is the largest limit on the backoff: capacity that returns is found within about a minute.
	maxBackoffLimit = 64 * time.Second
	// probeCallShare limits the calls to offers that have refused to at most one call in this many.
	probeCallShare = 8
	// hintSpeedup divides the backoff of an offer that should have capacity again.
	hintSpeedup = 4
	// resendAfter is the time after which a request without a response is sent again, under the same name.
	resendAfter = time.Second
	// starvationAge is how long a request must have waited to be sent before more urgent ones.
	starvationAge = 2 * time.Second
)

// ScaleOutRequest is a scale-out request. Its name is the idempotency key: the cloud executes it only once.
type ScaleOutRequest struct {
	scheduler.ScaleOut
	Name string

	stored   bool      // the store has committed its record
	inFlight bool      // a call is waiting for its response
	addedAt  time.Time // when the request was added; zero if recovered from the store
	sentAt   time.Time // when this leader last sent it; zero if never
}
