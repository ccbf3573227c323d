package shard

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// splitThreshold is the number of tasks from which on an array goes to several parts.
const splitThreshold = 64

// placeTogether gives a job to the best part: a gang too that must be spread over zones, which that
// part then co-allocates from several. A large array that has no room in one is dealt
// out by what room there is, and the rest by the size of the parts.
func placeTogether(j *wire.Job, candidates []candidate) []store.ShardRange {
	if j.Shape != wire.Array || j.OneZone || j.Spread || j.Tasks < splitThreshold || candidates[0].free >= j.Tasks || len(candidates) == 1 {
		return []store.ShardRange{{From: 0, To: j.Tasks, Shard: candidates[0].shard}}
	}
	candidates = candidates[:min(len(candidates), maxSpreadShards)]
	sum := 0.0
	for _, l := range candidates {
		sum += float64(max(1, l.machines))
	}
	var out []store.ShardRange
	from := 0
	for i, l := range candidates {
		n := fractionOf(float64(max(1, l.machines))/sum, j.Tasks)
		if n = min(n, j.Tasks-from); i == len(candidates)-1 {
			n = j.Tasks - from
		}
		if n > 0 {
			out = append(out, store.ShardRange{From: from, To: from + n, Shard: l.shard})
			from += n
		}
	}
	return out
}

// placeSpread gives the tasks of a job that must be spread to several parts, to none more than
// its zones may hold.
func placeSpread(j *wire.Job, candidates []candidate) []store.ShardRange {
	shards := min(len(candidates), maxSpreadShards, max(2, j.Tasks/3))
	most := (j.Tasks + 1) / 2
	var out []store.ShardRange
	from := 0
	for i, l := range candidates[:shards] {
		left := shards - i
		n := min((j.Tasks-from+left-1)/left, most*l.zones)
		if n > 0 {
			out = append(out, store.ShardRange{From: from, To: from + n, Shard: l.shard})
			from += n
		}
	}
	if from < j.Tasks {
		out[len(out)-1].To = j.Tasks
	}
	return out
}

// maxSpreadShards is the number of parts that a job's tasks are dealt out to at the most.
const maxSpreadShards = 4

func sortedByScore[T any](list []T, score func(T) float64) []T {
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(score(b), score(a)) })
	return out
}

func fractionOf(fraction float64, n int) int { return int(math.Round(fraction * float64(n))) }

func tieBreak(id string, shard string) float64 {
	return float64(xxhash.Sum64String(id+"\x00"+shard)%1000) / 1000
}
