package handover

import (
	"maps"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// LedgerTasks holds the tasks that the shard's own ledger names: those that may be on each machine.
//
// If the ledgers of several shards name the same task when the state is resharded, the highest attempt decides where
// the task is. Attempts follow fencing tokens, and the shard that had the task first may have the higher token.
// A ledger must therefore no longer name a task when it is handed over. The zero value keeps no tasks, for a
// fleet that is a single shard.
type LedgerTasks struct {
	byMachine  map[string]map[string]uint64 // attempts, by machine and task
	machinesOf map[string]map[string]bool   // sets of machines, by job
	stale      map[string]bool              // machines whose records must be rewritten before a task is handed over
}

// NewLedgerTasks returns the tasks that the machine records of a ledger name.
func NewLedgerTasks(machines map[string]store.MachineRecord) LedgerTasks {
	l := LedgerTasks{byMachine: make(map[string]map[string]uint64, len(machines)), machinesOf: make(map[string]map[string]bool)}
	for id, m := range machines {
		l.Update(id, m.Tasks)
	}
	return l
}

// Update replaces the tasks of a machine after its record in the ledger was written.
func (l *LedgerTasks) Update(machine string, tasks map[string]uint64) {
	delete(l.stale, machine)
	if l.byMachine == nil {
		return
	}
	for name := range l.byMachine[machine] {
		job, _, _ := strings.Cut(name, "/")
		delete(l.machinesOf[job], machine)
		if len(l.machinesOf[job]) == 0 {
			delete(l.machinesOf, job)
		}
	}
	delete(l.byMachine, machine)
	for name := range tasks {
		job, _, _ := strings.Cut(name, "/")
		if l.machinesOf[job] == nil {
			l.machinesOf[job] = make(map[string]bool)
		}
		l.machinesOf[job][machine] = true
		l.byMachine[machine] = tasks
	}
}

// Stale returns the set of tasks of a job that the ledger names although they are active nowhere, and marks the
// machines whose records name them as stale.
func (l *LedgerTasks) Stale(job string, active func(wire.TaskID) bool) map[int]bool {
	var out map[int]bool
	for machine := range l.machinesOf[job] {
		for name := range l.byMachine[machine] {
			task, ok := parseTaskOf(job, name)
			if !ok || active(task) {
				continue
			}
			if out == nil {
				out = make(map[int]bool)
			}
			out[task.Index] = true
			l.markStale(machine)
		}
	}
	return out
}

// parseTaskOf parses the name of a task in a machine record. ok is false unless the task belongs to the job.
func parseTaskOf(job, name string) (task wire.TaskID, ok bool) {
	if !strings.HasPrefix(name, job+"/") {
		return wire.TaskID{}, false
	}
	task, err := wire.ParseTaskID(name)
	return task, err == nil
}

// markStale marks a machine whose record must be rewritten.
func (l *LedgerTasks) markStale(machine string) {
	if l.stale == nil {
		l.stale = make(map[string]bool)
	}
	l.stale[machine] = true
}

// StaleMachines lists the machines whose records must be rewritten, sorted by name.
func (l *LedgerTasks) StaleMachines() []string { return slices.Sorted(maps.Keys(l.stale)) }
