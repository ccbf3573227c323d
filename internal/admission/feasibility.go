package admission

import (
	"math"
	"slices"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// unrunnableReason says why a job can never run, or nothing.
func (d *Service) unrunnableReason(j *wire.Job, types []wire.MachineType) string {
	var team *config.Team
	for i := range d.Teams {
		if d.Teams[i].Name == j.Team {
			team = &d.Teams[i]
		}
	}
	if team == nil {
		return "unknown team"
	}
	n := 1.0
	if j.Shape != wire.Array {
		n = float64(j.Tasks)
	}
	limit := scheduler.Resources{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
	if team.CPUsMax > 0 {
		limit.CPUs = team.CPUsMax
	}
	if team.GPUsMax > 0 {
		limit.GPUs = team.GPUsMax
	}
	if !limit.Fits(scheduler.Resources{}.AddScaled(scheduler.ResourcesOf(j), n)) {
		return "over the team's limit"
	}
	zones := make(map[string]bool) // in which a task may run
	for _, t := range types {
		size := scheduler.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
		if !size.Fits(scheduler.ResourcesOf(j)) || len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) {
			continue
		}
		for _, zone := range t.Zones {
			if j.Zone == "" || j.Zone == zone {
				zones[zone] = true
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "no allowed machine type is large enough"
	case j.Shape == wire.Gang && j.Spread && j.Tasks > 1 && (j.OneZone || len(zones) == 1):
		return "all its tasks would have to be in one zone, which may hold half of them"
	}
	return ""
}
