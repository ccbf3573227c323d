package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

const (
	// listDeliveryMargin allows for the delivery of a list, in addition to the cloud's lag.
	listDeliveryMargin = 2 * time.Second
	// firstListingTimeout is how long the cloud may take to list a rented machine for the first time.
	firstListingTimeout = 60 * time.Second
)

// ApplyCloudList applies a complete machine list of the cloud, requested at requestedAt, and returns the
// IDs of the machines that it proves gone (proof 4). A list may be outdated by twice the lag, so a
// missing machine counts as gone only if it must have been listed for longer than that.
func (f *Fleet) ApplyCloudList(requestedAt, now time.Time, list []wire.ListedMachine) (gone []string) {
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		if l.Stage == wire.MachineFailed {
			gone = append(gone, l.ID)
			continue
		}
		if _, known := f.removedMachines[l.ID]; known {
			continue // the list is older than the proof that the machine is gone
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

// mustBeListedSince returns the time from which every up-to-date list must contain the machine.
func (m *Machine) mustBeListedSince() time.Time {
	known := m.ListedAt
	if !m.LastHeartbeat.IsZero() && (known.IsZero() || m.UpSince.Before(known)) {
		known = m.UpSince
	}
	if known.IsZero() {
		return m.DiscoveredAt.Add(firstListingTimeout) // rented or recorded, but never listed
	}
	return known
}
