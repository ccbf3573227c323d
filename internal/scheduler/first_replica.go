package scheduler

import "amberdeal.example/amberdeal/wire"

// launchFirstReplicas launches one replica of every service that has none, where there is
// capacity, before the others of any. Where tiers are set, these are the services of the first one.
func (pl *planner) launchFirstReplicas() {
	for _, j := range pl.Jobs {
		if j.Priority != wire.Production || pl.tiering != nil && j.tier > 0 {
			return // these come first in the order
		}
		if j.Shape != wire.Service || j.Active+j.RemoteTasks > 0 || len(j.Waiting) < 2 || pl.Teams[j.Team] == nil {
			continue
		}
		pl.beginJob(j, false)
		rest := pl.newSearch(j, j.InZone, "").launchNow(j.Waiting[:1])
		j.launchedEarly = 1 - len(rest)
	}
}
