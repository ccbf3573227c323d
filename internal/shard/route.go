package shard

import (
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Router says which parts the tasks of new jobs go to, by what the parts have last said
// of themselves and by what it has sent there since.
type Router struct {
	Sharding *fleet.Sharding
	// Statuses gives what the parts have last said.
	Statuses func() map[string]leader.ShardStatus

	mu     sync.Mutex
	recent map[string]recentTasks
}

// recentTasks counts the tasks that were sent to a part and that its status may not show yet.
type recentTasks struct {
	at    time.Time
	tasks map[string]int // by class
}

// statusLag is after how long a part's status shows what was sent to it: the write, a
// round, and a beat.
const statusLag = 2500 * time.Millisecond

// candidate is a part as a place for a job.
type candidate struct {
	shard    string
	capacity scheduler.FreeCapacity
	free     int
	machines int
	backlog  int
	zones    int
}

// Route gives the shares of a new job.
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

// candidates lists the parts that may have machines which a job allows, the best first.
func (r *Router) candidates(now time.Time, j *wire.Job, types []wire.MachineType) []candidate {
	statuses := r.Statuses()
	var out []candidate
	for _, shard := range r.Sharding.Shards() {
		if !r.Sharding.MayHost(shard, j, types) {
			continue
		}
		s := statuses[shard]
		l := candidate{shard: shard, capacity: s.Rooms[j.Class], machines: s.Machines, backlog: s.Backlog, zones: max(1, len(r.Sharding.ZonesOf(shard)))}
		if _, known := s.Rooms[j.Class]; !known {
			l.capacity.Rent = true // nothing of the class has come yet, or the part is being rebuilt
		}
		l.free = l.capacity.Now
		if g := r.recent[shard]; now.Sub(g.at) < statusLag {
			l.free -= g.tasks[j.Class]
		}
		out = append(out, l)
	}
	if len(out) == 0 { // it can never run, or the types have changed since
		out = []candidate{{shard: r.Sharding.Shards()[0], zones: 1}}
	}
	return sortedByScore(out, func(l candidate) float64 { return l.score(j) })
}

// score says how good a place is for a job: where all of it has room, the more the better;
// then where machines can be rented, the fewer there are the better; then where the least
// waits.
func (l candidate) score(j *wire.Job) float64 {
	tie := tieBreak(j.ID, l.shard) / 1000
	switch {
	case l.free >= j.Tasks:
		return 1e6 + float64(l.free) + tie
	case l.capacity.Rent:
		return 1e3 - float64(l.machines)/100 - 100*float64(l.backlog)/float64(l.machines+10) + tie
	}
	return -100*float64(l.backlog)/float64(l.machines+10) + float64(l.free)/1e3 + tie
}

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
