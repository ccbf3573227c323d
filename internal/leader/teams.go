package leader

import (
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/wire"
)

// allTeams lists the teams of the settings, and those that were removed from them while they still have live jobs.
// A removed team is guaranteed nothing, and may use no more than its largest job needs to run at all:
// that much was within its limit when the job was accepted.
func (h *Leader) allTeams() []config.Team {
	known := make(map[string]bool, len(h.cfg.Teams))
	for i := range h.cfg.Teams {
		known[h.cfg.Teams[i].Name] = true
	}
	removed := make(map[string]config.Team)
	for _, l := range h.liveJobs {
		if j := l.Record.Job; !known[j.Team] {
			removed[j.Team] = withLimitFor(removed[j.Team], j)
		}
	}
	all := h.cfg.Teams[:len(h.cfg.Teams):len(h.cfg.Teams)]
	for _, name := range sortedKeys(removed) {
		all = append(all, removed[name])
	}
	return all
}

// withLimitFor raises the limits of a team to what a job needs to run at all: one task of an array,
// all tasks of any other job.
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
