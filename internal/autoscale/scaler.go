package autoscale

import (
	"maps"
	"slices"
)

// Scaler is what a leader has under way with the cloud: open scale-out requests, records of finished
// ones that are to be dropped from the store, and machines that are to be returned.
type Scaler struct {
	*RequestLog
	wake      chan struct{}
	obsolete  map[string]bool // requests whose records are to be dropped
	releasing map[string]bool // machines that the cloud has not taken back yet
}

// NewScaler returns a scaler for a cloud that takes so many calls a second.
func NewScaler(callsPerSecond float64) *Scaler {
	return &Scaler{RequestLog: New(callsPerSecond), wake: make(chan struct{}, 1), obsolete: make(map[string]bool), releasing: make(map[string]bool)}
}

// Wake has whoever sends requests look for the next one now.
func (s *Scaler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Woken delivers a value after each Wake.
func (s *Scaler) Woken() <-chan struct{} { return s.wake }

// Stored records that the store has the intents of requests. Those that are of no more use by now
// are never sent.
func (s *Scaler) Stored(names []string) {
	for _, name := range names {
		if !s.MarkStored(name) {
			s.obsolete[name] = true
		}
	}
	if len(names) > 0 {
		s.Wake()
	}
}

// Drop has the records of requests that are over dropped from the store.
func (s *Scaler) Drop(names []string) {
	for _, name := range names {
		s.obsolete[name] = true
	}
}

// Obsolete lists the requests whose records are to be dropped from the store, in order.
func (s *Scaler) Obsolete() []string { return slices.Sorted(maps.Keys(s.obsolete)) }

// Dropped records that the record of a request has been dropped.
func (s *Scaler) Dropped(name string) { delete(s.obsolete, name) }

// Release has a machine returned to the cloud.
func (s *Scaler) Release(machine string) { s.releasing[machine] = true }

// Releasing lists the machines that are to be returned to the cloud, in order.
func (s *Scaler) Releasing() []string { return slices.Sorted(maps.Keys(s.releasing)) }

// ForgetMachine records that a machine is gone.
func (s *Scaler) ForgetMachine(machine string) { delete(s.releasing, machine) }
