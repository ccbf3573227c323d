package shard

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// splitThreshold is the minimum number of tasks of an array that is split between several shards. For a smaller one, a
	// record with several ranges is not worthwhile.
	splitThreshold = 64
	// maxSpreadShards bounds the number of shards that a job is split between when it is submitted.
	maxSpreadShards = 4
	// tasksPerShard is the minimum number of tasks for each shard of a job that must be spread, except that two shards
	// are used even for fewer tasks.
	tasksPerShard = 3
)

// placeTogether assigns a job to the best shard. This includes a gang that must be spread over zones, which that shard
// then co-allocates with others. A large array that no single shard has capacity for is split in proportion to the
// number of machines in the shards.
func placeTogether(j *wire.Job, candidates []candidate) []store.ShardRange {
	splits := j.Shape == wire.Array && !j.OneZone && !j.Spread && j.Tasks >= splitThreshold
	if !splits || candidates[0].free >= j.Tasks || len(candidates) == 1 {
		return []store.ShardRange{{From: 0, To: j.Tasks, Shard: candidates[0].shard}}
	}
	candidates = candidates[:min(len(candidates), maxSpreadShards)]
	machines := 0.0
	for _, c := range candidates {
		machines += float64(max(1, c.machines))
	}
	var out []store.ShardRange
	from := 0
	for i, c := range candidates {
		n := fractionOf(float64(max(1, c.machines))/machines, j.Tasks)
		if n = min(n, j.Tasks-from); i == len(candidates)-1 {
			n = j.Tasks - from
		}
		if n > 0 {
			out = append(out, store.ShardRange{From: from, To: from + n, Shard: c.shard})
			from += n
		}
	}
	return out
}

// placeSpread splits a job that must be spread over zones between several shards. No shard gets more tasks than its
// zones may have, which is half the tasks of the job in each zone.
func placeSpread(j *wire.Job, candidates []candidate) []store.ShardRange {
	shards := min(len(candidates), maxSpreadShards, max(2, j.Tasks/tasksPerShard))
	maxInZone := (j.Tasks + 1) / 2
	var out []store.ShardRange
	from := 0
	for i, c := range candidates[:shards] {
		remainingShards := shards - i
		n := min((j.Tasks-from+remainingShards-1)/remainingShards, maxInZone*c.zones)
		if n > 0 {
			out = append(out, store.ShardRange{From: from, To: from + n, Shard: c.shard})
			from += n
		}
	}
	if from < j.Tasks {
		out[len(out)-1].To = j.Tasks
	}
	return out
}

// sortedByScore returns a copy of a list, sorted by descending score.
func sortedByScore[T any](list []T, score func(T) float64) []T {
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(score(b), score(a)) })
	return out
}

// fractionOf returns a fraction of n, rounded to the nearest integer.
func fractionOf(fraction float64, n int) int { return int(math.Round(fraction * float64(n))) }

// tieBreak returns a pseudo-random number in [0, 1) that depends on the job and the shard.
func tieBreak(id string, shard string) float64 {
	return float64(xxhash.Sum64String(id+"\x00"+shard)%1000) / 1000
}
