// Package regroup divides a state anew while jobs run. One transaction says so, once
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
	// ErrHeld means that a part is held by somebody.
	ErrHeld = errors.New("parts are held")
	// ErrBroken means that a record was not understood: what it says would be lost.
	ErrBroken = errors.New("records are not understood")
	// ErrTypes means that parts by type take over no machine that is in use: a job that is
	// spread over zones would be in several parts, of which none knows all of its zones.
	ErrTypes = errors.New("it is in use, and a state in use is not divided by type")
)

// Takes tells what each task of a job takes, if that is known, be the job over.
type Takes func(job string) (store.Takes, bool)

// Next gives the transaction that divides a state as wanted. Nobody has claimed anything
// since the state was read, by the counter of terms, so that what it shows of the ledgers is
// all there is: every earlier holder's rounds were conditional on a record that is gone. The
// counter moves, so that a claim that was prepared before fails, also one of a
// version that knows of no parts.
func Next(s *store.State, want *fleet.Grouping, takes Takes) (wire.Txn, error) {
	left := store.Recall(s.Slots)
	switch {
	case len(s.Held) > 0:
		return wire.Txn{}, fmt.Errorf("%w: %s", ErrHeld, strings.Join(s.Held, ", "))
	case len(s.Broken) > 0:
		return wire.Txn{}, fmt.Errorf("%w: %s", ErrBroken, strings.Join(s.Broken, ", "))
	case !want.Zoned() && inUse(left.Machines):
		return wire.Txn{}, ErrTypes
	}
	form := s.Format
	form.Format = store.FormatParts // others read no ledger but those of the first grouping
	rec := store.GroupingRecord{Text: want.String(), Number: s.Grouping.Record.Number + 1, Before: s.Ledgers}
	return wire.Txn{
		If: []wire.Condition{{Key: store.GroupingKey, Version: s.Grouping.Version}, {Key: store.TermKey, Version: s.Term.Version},
			{Key: store.GrantKey, Version: s.Grants.Version}},
		Then: []wire.Change{{Put: store.GroupingKey, Value: rec}, {Put: store.TermKey, Value: s.Term.Record + 1},
			{Put: store.FormatKey, Value: form}, {Put: store.GrantKey, Value: grants(left.Machines, want, takes)}},
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

// grants gives each part what may be running on its machines, for each team. That may be
// more than a team's limit, since the ledgers also name what has ended: the parts then
// spend nothing before they have given that back.
func grants(machines map[string]store.MachineRecord, want *fleet.Grouping, takes Takes) store.GrantRecord {
	rec := store.GrantRecord{Teams: make(map[string]map[string][2]float64)}
	if want.Whole() {
		return rec
	}
	for _, m := range machines {
		part := want.PartOf(m.Zone, m.Type)
		for name := range m.Tasks {
			id, err := wire.ParseTaskID(name)
			if err != nil {
				continue
			}
			t, known := takes(id.Job)
			if !known {
				continue // folded: proven to be nowhere
			}
			if rec.Teams[t.Team] == nil {
				rec.Teams[t.Team] = make(map[string][2]float64)
			}
			g := rec.Teams[t.Team][part]
			rec.Teams[t.Team][part] = [2]float64{g[0] + t.CPUs, g[1] + t.GPUs}
		}
	}
	return rec
}
