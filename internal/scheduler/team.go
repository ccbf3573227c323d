package scheduler

import "amberdeal.example/amberdeal/wire"

// Team is what a team is guaranteed, may use at most, and uses. A limit of 0
// means none.
type Team struct {
	GuaranteedCPUs, GuaranteedGPUs, LimitCPUs, LimitGPUs float64
	UsedCPUs, UsedGPUs                                   float64
	RemoteUsedCPUs, RemoteUsedGPUs                       float64 // what other parts use, as last told
	GlobalLimitCPUs, GlobalLimitGPUs                     float64 // limits of all parts together, 0 for none; CPUsMax and GPUsMax are this part's
}

// maxMoreTasks is how many tasks more the team could have here if this part were granted all that there is.
func (t *Team) maxMoreTasks(need Resources) int {
	const dust = 1e-6
	n := float64(wire.MaxTasks)
	if t.GlobalLimitCPUs > 0 && need.CPUs > 0 {
		n = min(n, (t.GlobalLimitCPUs-t.UsedCPUs+dust)/need.CPUs)
	}
	if t.GlobalLimitGPUs > 0 && need.GPUs > 0 {
		n = min(n, (t.GlobalLimitGPUs-t.UsedGPUs+dust)/need.GPUs)
	}
	return int(max(0, n))
}

func (t *Team) allows(a Resources) bool {
	const dust = 1e-6
	return (t.LimitCPUs == 0 || t.UsedCPUs+a.CPUs <= t.LimitCPUs+dust) && (t.LimitGPUs == 0 || t.UsedGPUs+a.GPUs <= t.LimitGPUs+dust)
}

// WithinLimit reports whether a team uses no more than it may, with all that was planned.
func (t *Team) WithinLimit() bool { return t.allows(Resources{}) }

func (t *Team) consume(a Resources) { t.UsedCPUs += a.CPUs; t.UsedGPUs += a.GPUs }
