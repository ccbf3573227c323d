package handover

import "time"

// statusLag is after how long a shard's status shows the tasks that were handed over to it.
const statusLag = 2 * time.Second

// recent counts the tasks that were lately handed over to each shard and that its status may not show yet.
type recent map[string]recentTasks

// recentTasks are the tasks that were handed over to one shard.
type recentTasks struct {
	at      time.Time // when the last of them was
	byClass map[string]int
}

// count gives the tasks of a class that were lately handed over to a shard.
func (r recent) count(now time.Time, shard, class string) int {
	t := r[shard]
	if now.Sub(t.at) > statusLag {
		return 0
	}
	return t.byClass[class]
}

// record notes that tasks of a class are handed over to a shard.
func (r recent) record(now time.Time, shard, class string, n int) {
	t := r[shard]
	if t.byClass == nil || now.Sub(t.at) > statusLag {
		t = recentTasks{byClass: make(map[string]int)}
	}
	t.at = now
	t.byClass[class] += n
	r[shard] = t
}
