package scheduler

import "amberdeal.example/amberdeal/wire"

// Team is a team's quota and its use. A limit of 0 means that there is none.
type Team struct {
	GuaranteedCPUs, GuaranteedGPUs   float64
	LimitCPUs, LimitGPUs             float64 // of this shard
	UsedCPUs, UsedGPUs               float64 // in this shard, with all that the plan has placed so far
	RemoteUsedCPUs, RemoteUsedGPUs   float64 // in other shards, as they last reported
	GlobalLimitCPUs, GlobalLimitGPUs float64 // of all shards together
}

// maxMoreTasks returns how many more tasks the team could have in this shard if the whole limit were granted to it.
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

// allows reports whether the team's limit has so much left.
func (t *Team) allows(r Resources) bool {
	return (t.LimitCPUs == 0 || t.UsedCPUs+r.CPUs <= t.LimitCPUs+epsilon) &&
		(t.LimitGPUs == 0 || t.UsedGPUs+r.GPUs <= t.LimitGPUs+epsilon)
}

// WithinLimit reports whether the team uses no more than its limit, with all that was planned.
func (t *Team) WithinLimit() bool { return t.allows(Resources{}) }

// consume counts resources as used.
func (t *Team) consume(r Resources) {
	t.UsedCPUs += r.CPUs
	t.UsedGPUs += r.GPUs
}

// exceedsGuarantee reports whether the team would use its guarantee of GPUs, in all shards, without
// so many of those that it uses. A team to which nothing is guaranteed borrows all that it uses.
func (t *Team) exceedsGuarantee(without float64) bool {
	if t.GuaranteedGPUs > 0 {
		return t.UsedGPUs+t.RemoteUsedGPUs-without >= t.GuaranteedGPUs
	}
	return t.GuaranteedGPUs == 0 && t.GuaranteedCPUs == 0
}

// borrows reports whether the team uses more GPUs than are guaranteed to it, or may have nothing but
// what it borrows.
func (t *Team) borrows() bool {
	if t.GuaranteedGPUs > 0 {
		return t.UsedGPUs+t.RemoteUsedGPUs > t.GuaranteedGPUs
	}
	return t.GuaranteedGPUs == 0 && t.GuaranteedCPUs == 0
}
