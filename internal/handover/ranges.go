// Package handover moves work between the shards of a fleet.
//
// Each task of a job belongs to one shard at a time, as the ranges in the job's record say. A leader starts only tasks
// of its own shard, in rounds that are conditional on that record, and hands tasks over only once it has proof
// that they run nowhere. So no two leaders ever start the same task. The free capacity that shards report decides
// where tasks go, but safety does not depend on it. The package does no I/O.
package handover

import (
	"slices"

	"amberdeal.example/amberdeal/internal/store"
)

// CountTasks returns the number of tasks in ranges.
func CountTasks(ranges []store.ShardRange) (n int) {
	for _, s := range ranges {
		n += s.To - s.From
	}
	return n
}

// ShardOf returns the shard that a task belongs to, or an empty string if no range contains it.
func ShardOf(ranges []store.ShardRange, index int) string {
	for _, s := range ranges {
		if s.From <= index && index < s.To {
			return s.Shard
		}
	}
	return ""
}

// Merge joins adjacent ranges of the same shard that are equally done.
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

// Move returns the ranges of a job with the given number of tasks after its last n movable tasks in one shard, or all
// if there are fewer, have been moved to another shard.
func Move(ranges []store.ShardRange, tasks int, from, to string, n int, movable func(index int) bool) []store.ShardRange {
	var next []store.ShardRange // in reverse order
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

// run is a part of a range whose tasks either all move or all stay.
type run struct {
	tasks store.ShardRange
	moves bool
}

// split divides a range into runs, the last one first, in which up to n tasks move.
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
