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
	// splitThreshold is the number of tasks from which on an array is split over several shards; a smaller one is not worth
	// a record of many ranges.
	splitThreshold = 64
	// maxSpreadShards bounds the shards that a job's tasks are split over when it is submitted.
	maxSpreadShards = 4
	// tasksPerShard is how many tasks at least a shard gets of a job that must be spread.
	tasksPerShard = 3
)

// placeTogether gives a job to the best shard: also a gang that must be spread over zones, which that shard then co-allocates
// with others. A large array that no shard has capacity for is split by the size of the shards.
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

// placeSpread gives the tasks of a job that must be spread to several shards, to none more than its zones may have: half of
// the tasks each.
func placeSpread(j *wire.Job, candidates []candidate) []store.ShardRange {
	shards := min(len(candidates), maxSpreadShards, max(2, j.Tasks/tasksPerShard))
	maxInZone := (j.Tasks + 1) / 2
	var out []store.ShardRange
	from := 0
	for i, c := range candidates[:shards] {
		left := shards - i
		n := min((j.Tasks-from+left-1)/left, maxInZone*c.zones)
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

// sortedByScore gives the elements of a list by descending score.
func sortedByScore[T any](list []T, score func(T) float64) []T {
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(score(b), score(a)) })
	return out
}

// fractionOf gives the nearest number of tasks to a fraction of n.
func fractionOf(fraction float64, n int) int { return int(math.Round(fraction * float64(n))) }

// tieBreak gives a number from 0 up to 1 that differs between shards, and for each of them between jobs.
func tieBreak(id string, shard string) float64 {
	return float64(xxhash.Sum64String(id+"\x00"+shard)%1000) / 1000
}
