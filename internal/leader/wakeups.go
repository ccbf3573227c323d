package leader

import "amberdeal.example/amberdeal/internal/throttle"

// wakeups lets the loops of the leader be woken before their timers expire.
type wakeups struct {
	round       chan struct{}
	calls       chan struct{}
	callLimiter *throttle.Limiter // limits calls that are not urgent
}

func newWakeups() wakeups {
	return wakeups{round: make(chan struct{}, 1), calls: make(chan struct{}, 1), callLimiter: throttle.New()}
}

// wakeRound wakes the loop that runs the rounds.
func (w *wakeups) wakeRound() { wake(w.round) }

// wakeCalls wakes the loop that makes direct calls.
func (w *wakeups) wakeCalls() { wake(w.calls) }

// wake sends to a channel of capacity one. If it is full, a wake-up is already pending.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
