package scheduler

import "amberdeal.example/amberdeal/wire"

// launchFirstReplicas launches one replica of each service that has none, where there is capacity, before the other
// replicas of any service. It covers production services and, if tiers are configured, only those of the first tier.
func (pl *planner) launchFirstReplicas() {
	for _, j := range pl.Jobs {
		if j.Priority != wire.Production || pl.tiering != nil && j.tier > 0 {
			return // pl.Jobs is sorted: no such job follows
		}
		if j.Shape != wire.Service || j.ActiveTasks+j.RemoteTasks > 0 || len(j.Waiting) < 2 || pl.Teams[j.Team] == nil {
			continue
		}
		pl.beginJob(j, false)
		rest := pl.newSearch(j, j.TasksByZone, "").launchNow(j.Waiting[:1])
		j.launchedEarly = 1 - len(rest)
	}
}
