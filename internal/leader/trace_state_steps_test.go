package leader

import (
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// This file holds the steps of a trace that change the state in the state service.

// stateSteps returns the steps that change the state in the state service, by their first word.
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

// putJob stores a job. With key=own it has a key of its own, as version 1 stored it.
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
	if step.settings["key"] == "own" { // the format of version 1
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
	job, _ := driver.view.LiveJob(step.words[1])
	r := job.Batch.Update()
	r.EndJob(step.words[1], wire.Cancelled, driver.now)
	driver.apply(r.Operation())
	return nil
}

// compactBatches moves jobs out of their batches, as compaction does.
func (driver *traceDriver) compactBatches(step traceStep) []string {
	driver.compact(step.words[1:])
	return nil
}

// shardByZone shards the fleet by zone. The leader is to lead the first shard.
func (driver *traceDriver) shardByZone(step traceStep) []string {
	driver.cfg.Tuning.Shards.By, driver.cfg.Zones, driver.shard = "zone", step.words[1:], step.words[1]
	return nil
}

// reshard reshards the state: into shards by zone, of which the leader is to lead the first, or into a single one.
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

// limitValues limits the size of values to little more than what they hold already.
func (driver *traceDriver) limitValues(_ traceStep) []string {
	driver.cfg.Store.ValueBytes = 500
	return nil
}

// putMigrated records that another shard has migrated the previous ledgers' records of its machines.
func (driver *traceDriver) putMigrated(step traceStep) []string {
	driver.apply(wire.Operation{Put: store.SegmentKey(store.LedgerName(step.words[1], driver.view.Sharding().Record.Generation), 0), Value: store.SegmentRecord{Migrated: driver.view.Sharding().Record.Generation}})
	return nil
}

// putCoAllocation stores a co-allocation order by the shard that leads a gang: off, hold, or the attempt to start.
func (driver *traceDriver) putCoAllocation(step traceStep) []string {
	job, _ := driver.view.LiveJob(step.words[1])
	r := job.Batch.Update()
	if orders := map[string]uint64{"off": store.CoAllocationRelease, "hold": store.CoAllocationReserve}; orders[step.words[2]] > 0 {
		r.SetCoAllocation(step.words[1], orders[step.words[2]])
	} else {
		tokenText, numberText, _ := strings.Cut(strings.TrimPrefix(step.words[2], "#"), ".")
		token, _ := strconv.ParseUint(tokenText, 10, 64)
		number, _ := strconv.ParseUint(numberText, 10, 64)
		r.SetCoAllocation(step.words[1], token<<24|number)
	}
	driver.apply(r.Operation())
	return nil
}

// putHandedOverRanges stores the ranges of a job after another shard has handed over its tasks to this one.
func (driver *traceDriver) putHandedOverRanges(step traceStep) []string {
	job, _ := driver.view.LiveJob(step.words[1])
	r := job.Batch.Update()
	r.AssignRanges(step.words[1], parseRanges(driver.t, step.words[2:]), driver.view.Sharding().Record.Generation)
	driver.apply(r.Operation())
	return nil
}

// putFinishedIn records that another shard has finished all of its tasks of a job, without listing these tasks.
func (driver *traceDriver) putFinishedIn(step traceStep) []string {
	job, _ := driver.view.LiveJob(step.words[1])
	r := job.Batch.Update()
	r.MarkFinishedIn(step.words[1], store.LedgerName(step.words[2], driver.view.Sharding().Record.Generation))
	driver.apply(r.Operation())
	return nil
}

// putRanges stores the ranges of a job, without a generation of the sharding.
func (driver *traceDriver) putRanges(step traceStep) []string {
	job, _ := driver.view.LiveJob(step.words[1])
	r := job.Batch.Update()
	r.AssignRanges(step.words[1], parseRanges(driver.t, step.words[2:]), 0)
	driver.apply(r.Operation())
	return nil
}

// putGrants stores the shards' grants of GPUs of the team red.
func (driver *traceDriver) putGrants(step traceStep) []string {
	rec := store.QuotaGrantRecord{Teams: map[string]map[string][2]float64{"red": {}}}
	for shard, text := range step.settings {
		gpus, _ := strconv.Atoi(text)
		rec.Teams["red"][shard] = [2]float64{0, float64(gpus)}
	}
	driver.apply(wire.Operation{Put: store.QuotaGrantKey, Value: rec})
	return nil
}

// markViewCurrent marks the view as up to date with the store.
func (driver *traceDriver) markViewCurrent(_ traceStep) []string {
	driver.view.MarkCurrent(driver.now)
	return nil
}
