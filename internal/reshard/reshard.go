// Package reshard divides a state anew while jobs run. One transaction says so, once
// nobody holds a part; the ledgers that there are by then are never written again. They go on
// saying what may be where, and so whose each task is until its job's record says that
// itself. It is pure.
package reshard

import (
	"errors"
	"fmt"
	"strings"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Errors of Next: why a state can't be divided anew now.
var (
	// ErrLed means that a part is held by somebody.
	ErrLed = errors.New("parts are held")
	// ErrUnreadable means that a record was not understood: what it says would be lost.
	ErrUnreadable = errors.New("records are not understood")
	// ErrByType means that parts by type take over no machine that is in use: a job that is
	// spread over zones would be in several parts, of which none knows all of its zones.
	ErrByType = errors.New("it is in use, and a state in use is not divided by type")
)

// ResourcesOf tells what each task of a job takes, if that is known, be the job over.
type ResourcesOf func(job string) (store.TaskDemand, bool)

// Transaction gives the transaction that divides a state as wanted. Nobody has claimed anything
// since the state was read, by the counter of terms, so that what it shows of the ledgers is
// all there is: every earlier holder's rounds were conditional on a record that is gone. The
// counter moves, so that a claim that was prepared before fails, also one of a
// version that knows of no parts.
func Transaction(s *store.ShardingState, want *fleet.Sharding, resourcesOf ResourcesOf) (wire.Txn, error) {
	recalled := store.RecoverSegments(s.Segments)
	switch {
	case len(s.LedShards) > 0:
		return wire.Txn{}, fmt.Errorf("%w: %s", ErrLed, strings.Join(s.LedShards, ", "))
	case len(s.Unreadable) > 0:
		return wire.Txn{}, fmt.Errorf("%w: %s", ErrUnreadable, strings.Join(s.Unreadable, ", "))
	case !want.KeepsZonesWhole() && inUse(recalled.Machines):
		return wire.Txn{}, ErrByType
	}
	format := s.Format
	format.Format = store.FormatSharded // others read no ledger but those of the first grouping
	rec := store.ShardingRecord{Text: want.String(), Generation: s.Sharding.Record.Generation + 1, PreviousLedgers: s.LedgerNames}
	return wire.Txn{
		If: []wire.Condition{{Key: store.ShardingKey, Version: s.Sharding.Version}, {Key: store.FencingTokenKey, Version: s.FencingToken.Version},
			{Key: store.QuotaGrantKey, Version: s.QuotaGrants.Version}},
		Then: []wire.Operation{{Put: store.ShardingKey, Value: rec}, {Put: store.FencingTokenKey, Value: s.FencingToken.Record + 1},
			{Put: store.FormatKey, Value: format}, {Put: store.QuotaGrantKey, Value: initialGrants(recalled.Machines, want, resourcesOf)}},
	}, nil
}

func inUse(machines map[string]store.MachineRecord) bool {
	for _, m := range machines {
		if len(m.Tasks) > 0 {
			return true
		}
	}
	return false
}

// initialGrants gives each part what may be running on its machines, for each team. That may be
// more than a team's limit, since the ledgers also name what has ended: the parts then
// spend nothing before they have given that back.
func initialGrants(machines map[string]store.MachineRecord, want *fleet.Sharding, resourcesOf ResourcesOf) store.QuotaGrantRecord {
	rec := store.QuotaGrantRecord{Teams: make(map[string]map[string][2]float64)}
	if want.IsSingle() {
		return rec
	}
	for _, m := range machines {
		shard := want.ShardOf(m.Zone, m.Type)
		for name := range m.Tasks {
			id, err := wire.ParseTaskID(name)
			if err != nil {
				continue
			}
			t, known := resourcesOf(id.Job)
			if !known {
				continue // folded: proven to be nowhere
			}
			if rec.Teams[t.Team] == nil {
				rec.Teams[t.Team] = make(map[string][2]float64)
			}
			g := rec.Teams[t.Team][shard]
			rec.Teams[t.Team][shard] = [2]float64{g[0] + t.CPUs, g[1] + t.GPUs}
		}
	}
	return rec
}
