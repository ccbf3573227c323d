package leader

import (
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// The steps of a trace that change what is in the state service.

// stateSteps returns the steps that change what is in the state service, by their first word.
func (driver *traceDriver) stateSteps() map[string]func(traceStep) []string {
	return map[string]func(traceStep) []string{
		"job":     driver.putJob,
		"batch":   driver.putBatch,
		"cancel":  driver.cancelJob,
		"fold":    driver.compactBatches,
		"parts":   driver.shardByZone,
		"divided": driver.reshard,
		"small":   driver.limitValues,
		"carried": driver.putMigrated,
		"order":   driver.putCoAllocation,
		"gave":    driver.putHandedOverRanges,
		"done":    driver.putFinishedIn,
		"shares":  driver.putRanges,
		"grants":  driver.putGrants,
		"seen":    driver.markViewCurrent,
	}
}

// putJob stores a job; with key=own as version 1 stored it.
func (driver *traceDriver) putJob(step traceStep) []string {
	j := &wire.Job{ID: step.words[1], Class: "c", Shape: wire.Shape(step.words[2]), Team: step.settings["team"], Priority: wire.Normal, Tasks: step.intSetting("tasks", 1),
		CPUs: 1, GPUs: float64(step.intSetting("gpus", 1)), MemoryGB: 1, Image: "img", CheckpointS: float64(step.intSetting("checkpoint", 0)), SaveS: 1, Zone: step.settings["zone"]}
	if step.settings["priority"] != "" {
		j.Priority = wire.Priority(step.settings["priority"])
	}
	j.Spread, j.OneZone, j.EstimateS = step.settings["spread"] != "", step.settings["one_zone"] != "", float64(step.intSetting("estimate", 0))
	rec := store.JobRecord{Stage: wire.Pending, Tasks: j.Tasks, Job: j}
	if step.settings["age"] != "" {
		rec.Created = driver.now.Add(-time.Duration(step.intSetting("age", 0)) * time.Second).UnixMilli()
	}
	if step.settings["key"] == "own" { // as version 1 stored it
		driver.apply(wire.Operation{Put: store.JobKey(j.ID), Value: rec})
		return nil
	}
	driver.apply(wire.Operation{Put: store.BatchKey(j.ID), Value: store.BatchRecord{Jobs: map[string]store.JobRecord{j.ID: rec}}})
	return nil
}

// putBatch stores jobs that were accepted together, as one record.
func (driver *traceDriver) putBatch(step traceStep) []string {
	rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
	for _, id := range step.words[2:] {
		j := &wire.Job{ID: id, Class: "c", Shape: wire.Array, Team: "blue", Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img"}
		rec.Jobs[id] = store.JobRecord{Stage: wire.Pending, Tasks: 1, Job: j}
	}
	driver.apply(wire.Operation{Put: store.BatchKey(step.words[1]), Value: rec})
	return nil
}

// cancelJob stores the cancellation of a job.
func (driver *traceDriver) cancelJob(step traceStep) []string {
	job, _ := driver.view.Live(step.words[1])
	r := job.Batch.Update()
	r.EndJob(step.words[1], wire.Cancelled, driver.now)
	driver.apply(r.Change())
	return nil
}

// compactBatches moves jobs out of their batches, as the leader of the compaction does.
func (driver *traceDriver) compactBatches(step traceStep) []string {
	driver.compact(step.words[1:])
	return nil
}

// shardByZone shards the fleet by zone; the first shard is claimed here.
func (driver *traceDriver) shardByZone(step traceStep) []string {
	driver.cfg.Tuning.Shards.By, driver.cfg.Zones, driver.shard = "zone", step.words[1:], step.words[1]
	return nil
}

// reshard divides the state anew: into shards by zone, of which the first is claimed here, or into one.
func (driver *traceDriver) reshard(step traceStep) []string {
	driver.cfg.Tuning.Shards.By, driver.shard = "off", "fleet"
	if len(step.words) > 1 {
		driver.cfg.Tuning.Shards.By, driver.cfg.Zones, driver.shard = "zone", step.words[1:], step.words[1]
	}
	state := driver.view.ShardingState()
	txn, err := reshard.Transaction(&state, driver.cfg.Sharding(), func(job string) (store.TaskDemand, bool) {
		rec, _ := driver.view.Job(job)
		return rec.TaskDemand()
	})
	if err != nil {
		return []string{err.Error()}
	}
	driver.apply(txn.Then...)
	driver.previousSegment, driver.segmentNumber = store.SegmentRecord{}, 0
	return nil
}

// limitValues sets a limit for values at which they hold little more than they do.
func (driver *traceDriver) limitValues(_ traceStep) []string {
	driver.cfg.Store.ValueBytes = 500
	return nil
}

// putMigrated stores that another shard has taken over what is of its machines.
func (driver *traceDriver) putMigrated(step traceStep) []string {
	driver.apply(wire.Operation{Put: store.SegmentKey(store.LedgerName(step.words[1], driver.view.Sharding().Record.Generation), 0), Value: store.SegmentRecord{Migrated: driver.view.Sharding().Record.Generation}})
	return nil
}

// putCoAllocation stores what the shard that leads a gang has written.
func (driver *traceDriver) putCoAllocation(step traceStep) []string {
	job, _ := driver.view.Live(step.words[1])
	r := job.Batch.Update()
	if orders := map[string]uint64{"off": store.CoAllocationRelease, "hold": store.CoAllocationReserve}; orders[step.words[2]] > 0 {
		r.SetCoAllocation(step.words[1], orders[step.words[2]])
	} else {
		term, seq, _ := strings.Cut(strings.TrimPrefix(step.words[2], "#"), ".")
		hi, _ := strconv.ParseUint(term, 10, 64)
		lo, _ := strconv.ParseUint(seq, 10, 64)
		r.SetCoAllocation(step.words[1], hi<<24|lo)
	}
	driver.apply(r.Change())
	return nil
}

// putHandedOverRanges stores that another shard has given what it had of a job to this one.
func (driver *traceDriver) putHandedOverRanges(step traceStep) []string {
	job, _ := driver.view.Live(step.words[1])
	r := job.Batch.Update()
	r.AssignRanges(step.words[1], parseRanges(driver.t, step.words[2:]), driver.view.Sharding().Record.Generation)
	driver.apply(r.Change())
	return nil
}

// putFinishedIn stores that another shard has finished all that it has of a job, of which the record says no more.
func (driver *traceDriver) putFinishedIn(step traceStep) []string {
	job, _ := driver.view.Live(step.words[1])
	r := job.Batch.Update()
	r.MarkFinishedIn(step.words[1], store.LedgerName(step.words[2], driver.view.Sharding().Record.Generation))
	driver.apply(r.Change())
	return nil
}

// putRanges stores the ranges of a job.
func (driver *traceDriver) putRanges(step traceStep) []string {
	job, _ := driver.view.Live(step.words[1])
	r := job.Batch.Update()
	r.AssignRanges(step.words[1], parseRanges(driver.t, step.words[2:]), 0)
	driver.apply(r.Change())
	return nil
}

// putGrants stores the grants of the GPUs of the team red.
func (driver *traceDriver) putGrants(step traceStep) []string {
	rec := store.QuotaGrantRecord{Teams: map[string]map[string][2]float64{"red": {}}}
	for shard, text := range step.settings {
		n, _ := strconv.Atoi(text)
		rec.Teams["red"][shard] = [2]float64{0, float64(n)}
	}
	driver.apply(wire.Operation{Put: store.QuotaGrantKey, Value: rec})
	return nil
}

// markViewCurrent has the view hold all that is in the store by now.
func (driver *traceDriver) markViewCurrent(_ traceStep) []string {
	driver.view.MarkCurrent(driver.now)
	return nil
}
