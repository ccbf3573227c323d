package scheduler

import "amberdeal.example/amberdeal/wire"

// Team is a team's quota and usage. A limit of 0 means no limit.
type Team struct {
	GuaranteedCPUs, GuaranteedGPUs   float64
	LimitCPUs, LimitGPUs             float64 // in this shard
	UsedCPUs, UsedGPUs               float64 // in this shard, including everything that the plan has placed so far
	RemoteUsedCPUs, RemoteUsedGPUs   float64 // in other shards, as they last reported
	GlobalLimitCPUs, GlobalLimitGPUs float64 // over all shards
}

// maxMoreTasks returns how many more tasks the team could run in this shard if the shard were granted
// the whole global limit.
func (t *Team) maxMoreTasks(need Resources) int {
	n := float64(wire.MaxTasks)
	if t.GlobalLimitCPUs > 0 && need.CPUs > 0 {
		n = min(n, (t.GlobalLimitCPUs-t.UsedCPUs+epsilon)/need.CPUs)
	}
	if t.GlobalLimitGPUs > 0 && need.GPUs > 0 {
		n = min(n, (t.GlobalLimitGPUs-t.UsedGPUs+epsilon)/need.GPUs)
	}
	return int(max(0, n))
}

// allows reports whether the team can use r in addition without exceeding its limit.
func (t *Team) allows(r Resources) bool {
	return (t.LimitCPUs == 0 || t.UsedCPUs+r.CPUs <= t.LimitCPUs+epsilon) &&
		(t.LimitGPUs == 0 || t.UsedGPUs+r.GPUs <= t.LimitGPUs+epsilon)
}

// WithinLimit reports whether the team's usage, including planned tasks, is within its limit.
func (t *Team) WithinLimit() bool { return t.allows(Resources{}) }

// consume adds resources to the team's usage.
func (t *Team) consume(r Resources) {
	t.UsedCPUs += r.CPUs
	t.UsedGPUs += r.GPUs
}

// exceedsGuarantee reports whether the team, over all shards, would still use all its guaranteed GPUs
// after losing the given number of GPUs. A team without any guarantee borrows everything that it uses.
func (t *Team) exceedsGuarantee(without float64) bool {
	if t.GuaranteedGPUs > 0 {
		return t.UsedGPUs+t.RemoteUsedGPUs-without >= t.GuaranteedGPUs
	}
	return t.GuaranteedGPUs == 0 && t.GuaranteedCPUs == 0
}

// borrows reports whether the team uses more GPUs than its guarantee, or has no guarantee at all, so
// that everything it uses is borrowed.
func (t *Team) borrows() bool {
	if t.GuaranteedGPUs > 0 {
		return t.UsedGPUs+t.RemoteUsedGPUs > t.GuaranteedGPUs
	}
	return t.GuaranteedGPUs == 0 && t.GuaranteedCPUs == 0
}
