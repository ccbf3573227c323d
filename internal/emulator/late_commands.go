package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// lateCommands is the fault of direct calls that are held up on their way to a machine: they are not answered, and carried
// out late.
type lateCommands struct {
	mu    sync.Mutex
	rng   *rand.Rand
	share float64 // of the calls
}

// Bounds of the delay of a call that is held up.
const (
	minCommandDelay = 2 * time.Second
	maxCommandDelay = 16 * time.Second
)

// setShare sets the share of the calls that are held up from now on.
func (l *lateCommands) setShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// delay returns how long the next call is held up, 0 if it is not.
func (l *lateCommands) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share == 0 || l.rng.Float64() >= l.share {
		return 0
	}
	return minCommandDelay + time.Duration(l.rng.Int64N(int64(maxCommandDelay-minCommandDelay)))
}
