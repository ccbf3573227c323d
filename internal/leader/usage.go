package leader

import (
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// machineType returns a machine type by name; the zero type if the cloud does not list it.
func (h *Leader) machineType(name string) wire.MachineType {
	for _, t := range h.types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// teamUsage sums what each team's tasks use, or may use while it is not proven that they are gone.
func (h *Leader) teamUsage() map[string]scheduler.Resources {
	out := make(map[string]scheduler.Resources)
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if t, ok := h.taskDemand(p.Task.Job); ok && p.Active() {
				u := out[t.Team]
				out[t.Team] = scheduler.Resources{CPUs: u.CPUs + t.CPUs, GPUs: u.GPUs + t.GPUs}
			}
		}
	}
	return out
}

// taskDemand returns what a task of a job takes, even when the job is over.
func (h *Leader) taskDemand(job string) (store.TaskDemand, bool) {
	if l := h.liveJobs[job]; l != nil {
		return l.Record.TaskDemand()
	}
	rec, _ := h.jobIndex.Job(job)
	return rec.TaskDemand()
}
