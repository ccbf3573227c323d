package leader

import (
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// machineType returns the machine type with a name, or the zero value if the cloud does not list it.
func (l *Leader) machineType(name string) wire.MachineType {
	for _, t := range l.types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// teamUsage sums the CPUs and GPUs of the tasks of each team, including tasks that are not proven to be gone.
func (l *Leader) teamUsage() map[string]scheduler.Resources {
	out := make(map[string]scheduler.Resources)
	for _, m := range l.fleet.Machines() {
		for _, p := range m.Placements() {
			if demand, ok := l.taskDemand(p.Task.Job); ok && p.Active() {
				used := out[demand.Team]
				out[demand.Team] = scheduler.Resources{CPUs: used.CPUs + demand.CPUs, GPUs: used.GPUs + demand.GPUs}
			}
		}
	}
	return out
}

// taskDemand returns the resources that a task of a job needs, even if the job has ended. It returns false if they are
// unknown.
func (l *Leader) taskDemand(job string) (store.TaskDemand, bool) {
	if live := l.liveJobs[job]; live != nil {
		return live.Record.TaskDemand()
	}
	rec, _ := l.jobIndex.Job(job)
	return rec.TaskDemand()
}
