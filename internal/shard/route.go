package shard

import (
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Status is the status of a shard as far as routing depends on it.
type Status struct {
	Capacity map[string]scheduler.FreeCapacity // by class; nothing is known of a class that is missing
	Machines int
	Backlog  int // number of tasks that found no capacity
}

// Router decides which shards the tasks of new jobs go to, based on the last statuses of the shards and on the tasks
// that it has sent them since. It is safe for concurrent use.
type Router struct {
	Sharding *fleet.Sharding
	// Statuses returns the last statuses of the shards, by shard name.
	Statuses func() map[string]Status

	mu     sync.Mutex
	recent map[string]recentTasks
}

// recentTasks counts the tasks that were recently sent to a shard, which its status may not show yet.
type recentTasks struct {
	at    time.Time      // when the last of them was sent
	tasks map[string]int // by class
}

// statusLag is the time after which a shard's status shows the tasks that were sent to it. It covers the write, a
// scheduling round and a heartbeat between controllers.
const statusLag = 2500 * time.Millisecond

// candidate is a shard that a job may be placed in.
type candidate struct {
	shard    string
	capacity scheduler.FreeCapacity
	free     int // tasks of the job's class that it has capacity for, less those that were recently sent to it
	machines int
	backlog  int // number of tasks that found no capacity
	zones    int // number of zones that belong to it alone, at least 1
}

// Route returns the task ranges of a new job, or nil if the fleet is a single shard.
func (r *Router) Route(now time.Time, j *wire.Job, types []wire.MachineType) []store.ShardRange {
	if r.Sharding.IsSingle() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.candidates(now, j, types)
	var ranges []store.ShardRange
	if j.Spread && j.Shape != wire.Gang && r.Sharding.KeepsZonesWhole() && len(candidates) > 1 && j.Tasks > 1 {
		ranges = placeSpread(j, candidates)
	} else {
		ranges = placeTogether(j, candidates)
	}
	for _, s := range ranges {
		r.record(now, s.Shard, j.Class, s.To-s.From)
	}
	return ranges
}

// candidates lists the shards that may have machines for a job, the best first. There is always at least one.
func (r *Router) candidates(now time.Time, j *wire.Job, types []wire.MachineType) []candidate {
	statuses := r.Statuses()
	var out []candidate
	for _, shard := range r.Sharding.Shards() {
		if !r.Sharding.MayHost(shard, j, types) {
			continue
		}
		s := statuses[shard]
		capacity, known := s.Capacity[j.Class]
		c := candidate{shard: shard, capacity: capacity, machines: s.Machines, backlog: s.Backlog, zones: max(1, len(r.Sharding.ZonesOf(shard)))}
		if !known {
			c.capacity.Rent = true // no job of the class has been submitted yet, or the shard has a new leader
		}
		c.free = c.capacity.Now
		if sent := r.recent[shard]; now.Sub(sent.at) < statusLag {
			c.free -= sent.tasks[j.Class]
		}
		out = append(out, c)
	}
	if len(out) == 0 { // no machine type fits, or the types have changed since submission
		out = []candidate{{shard: r.Sharding.Shards()[0], zones: 1}}
	}
	return sortedByScore(out, func(c candidate) float64 { return c.score(j) })
}

// Scores of candidates are in three bands, which are further apart than scores within a band are.
const (
	fitsScore     = 1e6 // the shard has capacity for all tasks of the job
	scaleOutScore = 1e3 // the shard can scale out
)

// score rates a shard for a job. Shards with capacity for the whole job come first, those with the most capacity ahead.
// Then come shards that can scale out, those with the fewest machines ahead; then the others, those with the smallest
// backlog ahead.
func (c candidate) score(j *wire.Job) float64 {
	tie := tieBreak(j.ID, c.shard) / 1000
	load := 100 * float64(c.backlog) / float64(c.machines+10)
	switch {
	case c.free >= j.Tasks:
		return fitsScore + float64(c.free) + tie
	case c.capacity.Rent:
		return scaleOutScore - float64(c.machines)/100 - load + tie
	}
	return -load + float64(c.free)/1e3 + tie
}

// record counts n tasks of a class that were sent to a shard.
func (r *Router) record(now time.Time, shard, class string, n int) {
	if r.recent == nil {
		r.recent = make(map[string]recentTasks)
	}
	sent := r.recent[shard]
	if sent.tasks == nil || now.Sub(sent.at) > statusLag {
		sent = recentTasks{tasks: make(map[string]int)}
	}
	sent.at = now
	sent.tasks[class] += n
	r.recent[shard] = sent
}
