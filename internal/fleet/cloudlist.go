package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

const (
	// listDeliveryMargin is for the way of a list, beside the cloud's lag.
	listDeliveryMargin = 2 * time.Second
	// firstListingTimeout is how long a rented machine may take until the cloud lists it.
	firstListingTimeout = 60 * time.Second
)

// ApplyCloudList applies a complete list of the cloud that was asked for at a time, and names the
// machines that it proves gone. A list may be old by twice the lag, so that a machine counts as
// gone only if it was known to exist well before.
func (f *Fleet) ApplyCloudList(requestedAt, now time.Time, list []wire.ListedMachine) (gone []string) {
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		if l.Stage == wire.MachineFailed {
			gone = append(gone, l.ID)
			continue
		}
		if _, known := f.removedMachines[l.ID]; known {
			continue // the list is older than the proof
		}
		m := f.EnsureMachine(now, l.ID, l.Type, l.Zone, l.Spot)
		if m.Addr == "" {
			m.Addr = l.Addr
		}
		if m.ListedAt.IsZero() {
			m.ListedAt = now
		}
	}
	maxListAge := 2*f.listLag + listDeliveryMargin
	for _, m := range f.Machines() {
		if !listed[m.ID] && requestedAt.Sub(m.mustBeListedSince()) > maxListAge {
			gone = append(gone, m.ID)
		}
	}
	return gone
}

// mustBeListedSince returns the time since which a machine must be in each current list.
func (m *Machine) mustBeListedSince() time.Time {
	known := m.ListedAt
	if !m.LastHeartbeat.IsZero() && (known.IsZero() || m.UpSince.Before(known)) {
		known = m.UpSince
	}
	if known.IsZero() {
		return m.Since.Add(firstListingTimeout) // rented or recorded, never listed
	}
	return known
}
