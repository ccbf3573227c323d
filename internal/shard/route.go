package shard

import (
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Status is what a router goes by of a shard.
type Status struct {
	Capacity map[string]scheduler.FreeCapacity // by class; of a class that is missing nothing is known
	Machines int
	Backlog  int // tasks that found no capacity
}

// Router says which shards the tasks of new jobs go to, by the shards' last statuses and by what it has sent there
// since. It is safe for concurrent use.
type Router struct {
	Sharding *fleet.Sharding
	// Statuses gives the last statuses of the shards, by name.
	Statuses func() map[string]Status

	mu     sync.Mutex
	recent map[string]recentTasks
}

// recentTasks counts the tasks that were sent to a shard and that its status may not show yet.
type recentTasks struct {
	at    time.Time
	tasks map[string]int // by class
}

// statusLag is after how long a shard's status shows what was sent to it: the write, a round, and a heartbeat between
// controllers.
const statusLag = 2500 * time.Millisecond

// candidate is a shard as a place for a job.
type candidate struct {
	shard    string
	capacity scheduler.FreeCapacity
	free     int // tasks of the job's class that it has capacity for, less those that were sent there lately
	machines int
	backlog  int // tasks that found no capacity
	zones    int // that belong to it alone, at least 1
}

// Route gives the ranges of a new job, or nothing where there is one shard.
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

// candidates lists the shards that may have machines which a job allows, the best first.
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
			c.capacity.Rent = true // no job of the class was submitted yet, or the shard has a new leader
		}
		c.free = c.capacity.Now
		if g := r.recent[shard]; now.Sub(g.at) < statusLag {
			c.free -= g.tasks[j.Class]
		}
		out = append(out, c)
	}
	if len(out) == 0 { // no machine type fits, or the types have changed since submission
		out = []candidate{{shard: r.Sharding.Shards()[0], zones: 1}}
	}
	return sortedByScore(out, func(c candidate) float64 { return c.score(j) })
}

// Scores of candidates are in three bands, whose distance is greater than what is added within one.
const (
	fitsScore     = 1e6 // all of the job has capacity
	scaleOutScore = 1e3 // the shard can scale out
)

// score says how good a place is for a job: where all of it has capacity, the more the better; then where the shard can
// scale out, the fewer machines there are the better; then where the least waits.
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

// record notes that tasks of a class were sent to a shard.
func (r *Router) record(now time.Time, shard, class string, n int) {
	if r.recent == nil {
		r.recent = make(map[string]recentTasks)
	}
	g := r.recent[shard]
	if g.tasks == nil || now.Sub(g.at) > statusLag {
		g = recentTasks{tasks: make(map[string]int)}
	}
	g.at = now
	g.tasks[class] += n
	r.recent[shard] = g
}
