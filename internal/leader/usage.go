package leader

import (
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// machineType returns a machine type by name; the zero type if the cloud does not list it.
func (l *Leader) machineType(name string) wire.MachineType {
	for _, t := range l.types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// teamUsage sums what each team's tasks use, or may use while it is not proven that they are gone.
func (l *Leader) teamUsage() map[string]scheduler.Resources {
	out := make(map[string]scheduler.Resources)
	for _, m := range l.fleet.Machines() {
		for _, p := range m.Placements() {
			if t, ok := l.taskDemand(p.Task.Job); ok && p.Active() {
				u := out[t.Team]
				out[t.Team] = scheduler.Resources{CPUs: u.CPUs + t.CPUs, GPUs: u.GPUs + t.GPUs}
			}
		}
	}
	return out
}

// taskDemand returns what a task of a job takes, even when the job is over.
func (l *Leader) taskDemand(job string) (store.TaskDemand, bool) {
	if live := l.liveJobs[job]; live != nil {
		return live.Record.TaskDemand()
	}
	rec, _ := l.jobIndex.Job(job)
	return rec.TaskDemand()
}
