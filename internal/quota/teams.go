package quota

import (
	"maps"
	"slices"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Teams lists the teams of the settings, and the teams that were removed from them but still have live jobs. A removed
// team is guaranteed nothing, and may use no more than the largest of its jobs needs to run at all: that much was
// within the team's limit when the job was accepted.
func Teams(settings []config.Team, live map[string]*store.LiveJob) []config.Team {
	known := make(map[string]bool, len(settings))
	for i := range settings {
		known[settings[i].Name] = true
	}
	removed := make(map[string]config.Team)
	for _, l := range live {
		if j := l.Record.Job; !known[j.Team] {
			removed[j.Team] = withLimitFor(removed[j.Team], j)
		}
	}
	all := slices.Clip(settings) // so that append copies, and the settings stay unchanged
	for _, name := range slices.Sorted(maps.Keys(removed)) {
		all = append(all, removed[name])
	}
	return all
}

// withLimitFor raises the limits of a team to what a job needs to run at all: one task of an array, or all tasks of
// any other job.
func withLimitFor(t config.Team, j *wire.Job) config.Team {
	tasks := 1.0
	if j.Shape != wire.Array {
		tasks = float64(j.Tasks)
	}
	t.Name = j.Team
	t.CPUsMax = max(t.CPUsMax, j.CPUs*tasks)
	t.GPUsMax = max(t.GPUsMax, j.GPUs*tasks)
	return t
}
