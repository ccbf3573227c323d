package handover

import (
	"maps"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// LedgerTasks is what the shard's own ledger names: the tasks that may be on each machine.
//
// When the state is resharded, the attempt tells where a task is that the ledgers of several shards name, and the
// shard that had the task first may have the later fencing token. So a ledger must no longer name a task
// that is handed over. The zero value keeps nothing, for a fleet in one shard.
type LedgerTasks struct {
	byMachine  map[string]map[string]uint64 // attempts by machine and task
	machinesOf map[string]map[string]bool   // machines by job
	stale      map[string]bool              // machines whose record names a task that is to be handed over
}

// NewLedgerTasks returns what the machine records of a ledger name.
func NewLedgerTasks(machines map[string]store.MachineRecord) LedgerTasks {
	l := LedgerTasks{byMachine: make(map[string]map[string]uint64, len(machines)), machinesOf: make(map[string]map[string]bool)}
	for id, m := range machines {
		l.Update(id, m.Tasks)
	}
	return l
}

// Update takes in the tasks that the ledger names on a machine from now on.
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

// Stale gives the tasks of a job that the ledger names and that are active nowhere, and marks the machines whose
// records name them to be written anew.
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

// parseTaskOf parses the name of a task in a machine record; ok is false unless it is a task of the job.
func parseTaskOf(job, name string) (task wire.TaskID, ok bool) {
	if !strings.HasPrefix(name, job+"/") {
		return wire.TaskID{}, false
	}
	task, err := wire.ParseTaskID(name)
	return task, err == nil
}

// markStale marks a machine whose record is to be written anew.
func (l *LedgerTasks) markStale(machine string) {
	if l.stale == nil {
		l.stale = make(map[string]bool)
	}
	l.stale[machine] = true
}

// StaleMachines lists the machines whose records are to be written anew.
func (l *LedgerTasks) StaleMachines() []string { return slices.Sorted(maps.Keys(l.stale)) }
