package leader

import "amberdeal.example/amberdeal/internal/throttle"

// wakeups ends the waits of the leader's loops before their time.
type wakeups struct {
	round    chan struct{}
	calls    chan struct{}
	throttle *throttle.Limiter // of calls that can wait
}

func newWakeups() wakeups {
	return wakeups{round: make(chan struct{}, 1), calls: make(chan struct{}, 1), throttle: throttle.New()}
}

// wakeRound asks for a round soon.
func (w *wakeups) wakeRound() { wake(w.round) }

// wakeCalls asks for direct calls to be made now.
func (w *wakeups) wakeCalls() { wake(w.calls) }

// wake sends to a channel of one element. If that is full, a wake-up is already pending.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
