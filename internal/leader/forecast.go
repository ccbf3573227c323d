package leader

import (
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/scheduler"
)

// forecast holds what the last plan left unplaced or unused, for use by other shards.
type forecast struct {
	unplaced     []scheduler.UnplacedJob
	freeCapacity map[string]scheduler.FreeCapacity // by job class
	readyGangs   []string                          // gangs split among shards for whose tasks this shard has capacity
}

// updateForecast updates the forecast from a plan.
func (l *Leader) updateForecast(plan *scheduler.Plan, teams map[string]*scheduler.Team) {
	l.forecast = forecast{plan.Unplaced, plan.FreeCapacity, plan.ReadyGangs}
	projected := make(map[string]scheduler.Resources, len(teams))
	for name, t := range teams {
		// A team beyond its limit has more capacity reserved than it may use, for a job that has waited for a long time.
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
