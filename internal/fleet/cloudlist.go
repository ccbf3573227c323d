package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// ApplyCloudList takes in a complete list of the cloud that was asked for at a time, and
// names the machines that it proves gone. A list may be old by twice the lag,
// so that a machine counts as gone only if it was known to exist well before.
func (f *Fleet) ApplyCloudList(asked, now time.Time, list []wire.ListedMachine) (gone []string) {
	stale := 2*f.listLag + 2*time.Second
	here := make(map[string]bool, len(list))
	for _, l := range list {
		here[l.ID] = true
		if l.Stage == wire.MachineFailed {
			gone = append(gone, l.ID)
			continue
		}
		if _, gone := f.goneMachines[l.ID]; gone {
			continue
		}
		m := f.EnsureMachine(now, l.ID, l.Type, l.Zone, l.Spot)
		if m.Addr == "" {
			m.Addr = l.Addr
		}
		if m.ListedAt.IsZero() {
			m.ListedAt = now
		}
	}
	for _, m := range f.Machines() {
		if here[m.ID] {
			continue
		}
		known := m.ListedAt
		if !m.LastHeartbeat.IsZero() && (known.IsZero() || m.UpSince.Before(known)) {
			known = m.UpSince
		}
		if known.IsZero() {
			known = m.Since.Add(60 * time.Second) // rented or recorded, never listed
		}
		if asked.Sub(known) > stale {
			gone = append(gone, m.ID)
		}
	}
	return gone
}
