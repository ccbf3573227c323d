// Package reshard changes the sharding of a fleet while jobs run.
//
// Once no shard has a leader, one transaction records the new sharding. The ledgers of the old one are never written
// again. They still say which tasks may run on which machine, and thereby which shard owns each task, until the
// records of the jobs say so themselves. The package does no I/O.
package reshard

import (
	"errors"
	"fmt"
	"strings"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Errors of Transaction, which say why the sharding can't be changed now.
var (
	// ErrShardHasLeader means that a shard has a leader.
	ErrShardHasLeader = errors.New("parts are held")
	// ErrUnreadable means that a record could not be decoded: resharding would lose its content.
	ErrUnreadable = errors.New("records are not understood")
	// ErrByType means that a state in use can't be sharded by machine type: a job that is spread over zones would
	// belong to several shards, none of which knows all its zones.
	ErrByType = errors.New("it is in use, and a state in use is not divided by type")
)

// ResourcesOf returns the resources that each task of a job needs, even if the job has ended, and whether they are
// known.
type ResourcesOf func(job string) (store.TaskDemand, bool)

// Transaction returns the transaction that changes the sharding of a state. It is conditional on the counter of fencing
// tokens, which shows that no leader was elected since the state was read. The ledgers that were read are therefore
// complete: the rounds of every earlier leader are conditional on a record that no longer exists. The transaction
// increments the counter, so that an election that was prepared before it fails, even by a software version without
// support for shards.
func Transaction(s *store.ShardingState, want *fleet.Sharding, resourcesOf ResourcesOf) (wire.Txn, error) {
	recovered := store.RecoverSegments(s.Segments)
	switch {
	case len(s.ShardsWithLeader) > 0:
		return wire.Txn{}, fmt.Errorf("%w: %s", ErrShardHasLeader, strings.Join(s.ShardsWithLeader, ", "))
	case len(s.Unreadable) > 0:
		return wire.Txn{}, fmt.Errorf("%w: %s", ErrUnreadable, strings.Join(s.Unreadable, ", "))
	case !want.KeepsZonesWhole() && inUse(recovered.Machines):
		return wire.Txn{}, ErrByType
	}
	format := s.Format
	format.Format = store.FormatSharded // versions without this format read only the ledgers of the first sharding
	rec := store.ShardingRecord{Text: want.String(), Generation: s.Sharding.Record.Generation + 1, PreviousLedgers: s.LedgerNames}
	return wire.Txn{
		If: []wire.Condition{
			{Key: store.ShardingKey, Version: s.Sharding.Version},
			{Key: store.FencingTokenKey, Version: s.FencingToken.Version},
			{Key: store.QuotaGrantKey, Version: s.QuotaGrants.Version},
		},
		Then: []wire.Operation{
			{Put: store.ShardingKey, Value: rec},
			{Put: store.FencingTokenKey, Value: s.FencingToken.Record + 1},
			{Put: store.FormatKey, Value: format},
			{Put: store.QuotaGrantKey, Value: initialGrants(recovered.Machines, want, resourcesOf)},
		},
	}, nil
}

// inUse reports whether a task may be on one of the machines.
func inUse(machines map[string]store.MachineRecord) bool {
	for _, m := range machines {
		if len(m.Tasks) > 0 {
			return true
		}
	}
	return false
}

// initialGrants grants each shard, for each team, the resources of all tasks that may be running on its machines. Their
// sum may exceed a team's limit, since the ledgers also name tasks that have ended. The shards then start nothing
// before they have returned the excess.
func initialGrants(machines map[string]store.MachineRecord, want *fleet.Sharding, resourcesOf ResourcesOf) store.QuotaGrantRecord {
	grants := make(map[string]map[string]store.QuotaGrant)
	if want.IsSingle() {
		return store.NewQuotaGrantRecord(grants)
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
				continue // the job was compacted, so its tasks are proven to run nowhere
			}
			if grants[t.Team] == nil {
				grants[t.Team] = make(map[string]store.QuotaGrant)
			}
			granted := grants[t.Team][shard]
			grants[t.Team][shard] = store.QuotaGrant{CPUs: granted.CPUs + t.CPUs, GPUs: granted.GPUs + t.GPUs}
		}
	}
	return store.NewQuotaGrantRecord(grants)
}
