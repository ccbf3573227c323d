// Package handover moves work between the shards of a fleet.
//
// Each task of a job belongs to one shard at a time, by the ranges in the job's record. A leader starts only tasks
// of its own shard, in rounds that are conditional on that record, and hands tasks over only once it has proof
// that they run nowhere: so no two leaders ever start the same task. What a shard says of its free capacity
// decides where tasks go; no safety rule rests on it. The package does no I/O.
package handover

import (
	"slices"

	"amberdeal.example/amberdeal/internal/store"
)

// Count gives the number of tasks in ranges.
func Count(ranges []store.ShardRange) (n int) {
	for _, s := range ranges {
		n += s.To - s.From
	}
	return n
}

// ShardOf gives the shard that a task belongs to, or nothing.
func ShardOf(ranges []store.ShardRange, index int) string {
	for _, s := range ranges {
		if s.From <= index && index < s.To {
			return s.Shard
		}
	}
	return ""
}

// Merge joins ranges that follow each other in one shard.
func Merge(ranges []store.ShardRange) []store.ShardRange {
	out := ranges[:0:0]
	for _, s := range ranges {
		if n := len(out); n > 0 && out[n-1].Shard == s.Shard && out[n-1].Done == s.Done && out[n-1].To == s.From {
			out[n-1].To = s.To
		} else {
			out = append(out, s)
		}
	}
	return out
}

// Move gives the ranges of a job of so many tasks after the last n tasks of one shard that are movable have
// gone to another.
func Move(ranges []store.ShardRange, tasks int, from, to string, n int, movable func(index int) bool) []store.ShardRange {
	var next []store.ShardRange // from the last one to the first
	for _, s := range slices.Backward(ranges) {
		if s.Shard != from || s.Done || !s.Within(tasks) {
			next = append(next, s)
			continue
		}
		runs := split(s, n, movable)
		for i := range runs {
			if runs[i].moves {
				runs[i].tasks.Shard = to
				n -= runs[i].tasks.To - runs[i].tasks.From
			}
			next = append(next, runs[i].tasks)
		}
	}
	slices.Reverse(next)
	return Merge(next)
}

// run is a part of a range whose tasks all move, or all stay.
type run struct {
	tasks store.ShardRange
	moves bool
}

// split divides a range into runs, from its end on, of which up to n tasks move.
func split(s store.ShardRange, n int, movable func(index int) bool) (runs []run) {
	for end := s.To; end > s.From; {
		begin := end - 1
		moves := n > 0 && movable(begin)
		for begin > s.From && (n > 0 && movable(begin-1)) == moves && (!moves || end-begin < n) {
			begin--
		}
		runs = append(runs, run{store.ShardRange{From: begin, To: end, Shard: s.Shard}, moves})
		if moves {
			n -= end - begin
		}
		end = begin
	}
	return runs
}
