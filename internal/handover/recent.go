package handover

import "time"

// statusLag is the time after which a shard's status shows the tasks that were handed over to it.
const statusLag = 2 * time.Second

// recent counts by shard the tasks that were recently handed over to it, which its status may not show yet.
type recent map[string]recentTasks

// recentTasks counts the tasks that were recently handed over to one shard.
type recentTasks struct {
	at      time.Time // when the last of them was handed over
	byClass map[string]int
}

// count returns the number of tasks of a class that were recently handed over to a shard.
func (r recent) count(now time.Time, shard, class string) int {
	t := r[shard]
	if now.Sub(t.at) > statusLag {
		return 0
	}
	return t.byClass[class]
}

// record counts n tasks of a class that are handed over to a shard.
func (r recent) record(now time.Time, shard, class string, n int) {
	t := r[shard]
	if t.byClass == nil || now.Sub(t.at) > statusLag {
		t = recentTasks{byClass: make(map[string]int)}
	}
	t.at = now
	t.byClass[class] += n
	r[shard] = t
}
