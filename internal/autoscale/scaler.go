package autoscale

import (
	"maps"
	"slices"
)

// Scaler holds what a leader still has to do with the cloud: open scale-out requests, records of finished requests to
// delete from the store, and machines to return.
type Scaler struct {
	*RequestLog
	wake      chan struct{}
	obsolete  map[string]bool // requests whose records are to be deleted from the store
	releasing map[string]bool // machines that are to be returned and are not known to be gone yet
}

// NewScaler returns a scaler for a cloud that accepts the given number of calls per second.
func NewScaler(callsPerSecond float64) *Scaler {
	return &Scaler{RequestLog: New(callsPerSecond), wake: make(chan struct{}, 1), obsolete: make(map[string]bool), releasing: make(map[string]bool)}
}

// Wake signals the sender of requests to look for the next one now. It never blocks.
func (s *Scaler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Woken returns the channel that receives a value after Wake. Several pending wake-ups are combined into one.
func (s *Scaler) Woken() <-chan struct{} { return s.wake }

// RecordsStored notes that the store has committed the records of requests. Requests that have been dropped meanwhile
// are not sent, and their records are marked for deletion.
func (s *Scaler) RecordsStored(names []string) {
	for _, name := range names {
		if !s.MarkStored(name) {
			s.obsolete[name] = true
		}
	}
	if len(names) > 0 {
		s.Wake()
	}
}

// MarkObsolete marks the records of finished requests for deletion from the store.
func (s *Scaler) MarkObsolete(names []string) {
	for _, name := range names {
		s.obsolete[name] = true
	}
}

// Obsolete lists the requests whose records are to be deleted from the store, sorted.
func (s *Scaler) Obsolete() []string { return slices.Sorted(maps.Keys(s.obsolete)) }

// RecordDeleted records that the record of a request has been deleted from the store.
func (s *Scaler) RecordDeleted(name string) { delete(s.obsolete, name) }

// Release marks a machine to be returned to the cloud.
func (s *Scaler) Release(machine string) { s.releasing[machine] = true }

// Releasing lists the machines that are to be returned to the cloud, sorted.
func (s *Scaler) Releasing() []string { return slices.Sorted(maps.Keys(s.releasing)) }

// ForgetMachine records that a machine no longer exists, so it need not be returned.
func (s *Scaler) ForgetMachine(machine string) { delete(s.releasing, machine) }
