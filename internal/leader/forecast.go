package leader

import (
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/scheduler"
)

// forecast is what the last plan leaves to other shards.
type forecast struct {
	unplaced     []scheduler.UnplacedJob
	freeCapacity map[string]scheduler.FreeCapacity // by class
	readyGangs   []string                          // gangs over several shards for whose tasks here there is capacity
}

// updateForecast takes in what a plan leaves.
func (l *Leader) updateForecast(plan *scheduler.Plan, teams map[string]*scheduler.Team) {
	l.forecast = forecast{plan.Unplaced, plan.FreeCapacity, plan.ReadyGangs}
	projected := make(map[string]scheduler.Resources, len(teams))
	for name, t := range teams {
		// A team beyond its limit has capacity reserved that there is not, for a job that has waited for long.
		if t.WithinLimit() {
			projected[name] = scheduler.Resources{CPUs: t.UsedCPUs, GPUs: t.UsedGPUs}
		}
	}
	l.quota.SetForecast(quota.Forecast{Demands: plan.QuotaDemands, Services: plan.ServiceUsage, Projected: projected})
	for _, j := range l.jobStates {
		j.coAllocation.Ready = false
	}
	for _, id := range plan.ReadyGangs {
		l.jobState(id).coAllocation.Ready = true
	}
}
