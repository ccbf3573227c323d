package admission

import (
	"cmp"
	"math"
	"slices"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// unrunnableReason returns why a job can never run, or an empty string if it may run. The texts reach users.
func (s *Service) unrunnableReason(j *wire.Job, types []wire.MachineType) string {
	team := s.team(j.Team)
	if team == nil {
		return "unknown team"
	}
	if exceedsLimit(j, team) {
		return "over the team's limit"
	}
	zones := feasibleZones(j, types)
	switch {
	case len(zones) == 0:
		return "no allowed machine type is large enough"
	case j.Shape == wire.Gang && j.Spread && j.Tasks > 1 && (j.OneZone || len(zones) == 1):
		return "all its tasks would have to be in one zone, which may hold half of them"
	}
	return ""
}

// team returns the settings of a team, or nil if it has none.
func (s *Service) team(name string) (team *config.Team) {
	for i := range s.Teams {
		if s.Teams[i].Name == name {
			team = &s.Teams[i]
		}
	}
	return team
}

// exceedsLimit reports whether a job needs more resources at once than its team may ever use. An array can
// run one task at a time; any other job needs all its tasks at once.
func exceedsLimit(j *wire.Job, team *config.Team) bool {
	concurrentTasks := 1.0
	if j.Shape != wire.Array {
		concurrentTasks = float64(j.Tasks)
	}
	limit := scheduler.CapacityOf(&wire.MachineType{CPUs: cmp.Or(team.CPUsMax, math.Inf(1)), GPUs: cmp.Or(team.GPUsMax, math.Inf(1)), MemoryGB: math.Inf(1)}, 0)
	return !limit.Fits(scheduler.Resources{}.AddScaled(scheduler.ResourcesOf(j), concurrentTasks))
}

// feasibleZones returns the zones where some machine type that the job allows is large enough for one of its tasks.
func feasibleZones(j *wire.Job, types []wire.MachineType) map[string]bool {
	zones := make(map[string]bool)
	for _, t := range types {
		if !scheduler.CapacityOf(&t, 0).Fits(scheduler.ResourcesOf(j)) || len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) {
			continue
		}
		for _, zone := range t.Zones {
			if j.Zone == "" || j.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}
