package leader

import (
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/internal/store"
)

// This file holds the steps of a trace that write into the ledger what an earlier leader left there.

// ledgerSteps returns the steps that write what an earlier leader left in the ledger, by their first word.
func (driver *traceDriver) ledgerSteps() map[string]func(traceStep) []string {
	return map[string]func(traceStep) []string{
		"machine":  driver.recordMachine,
		"ask":      driver.recordScaleOut,
		"zone":     driver.recordZone,
		"return":   driver.recordZoneRecovery,
		"finished": driver.recordFinished,
		"older":    driver.nextPreviousSegment,
		"drop":     driver.recordDrop,
	}
}

// recordMachine records a machine with the tasks that it holds.
func (driver *traceDriver) recordMachine(step traceStep) []string {
	record := store.MachineRecord{Addr: "10.1.0.1:9000", Type: "g4", Zone: step.words[2], Tasks: map[string]uint64{}}
	for _, t := range driver.parseTasks(strings.ReplaceAll(step.settings["holds"], ",", " running,") + " running") {
		record.Tasks[t.Task] = t.Attempt
	}
	driver.addToPreviousSegment(store.MachineEntry(step.words[1], record))
	return nil
}

// recordScaleOut records a scale-out request.
func (driver *traceDriver) recordScaleOut(step traceStep) []string {
	driver.addToPreviousSegment(store.ScaleOutEntry(step.words[1], store.ScaleOutRecord{Type: "g4", Zone: step.words[2], Count: step.intSetting("count", 1)}))
	return nil
}

// recordZone records the state of a zone.
func (driver *traceDriver) recordZone(step traceStep) []string {
	driver.addToPreviousSegment(store.ZoneEntry(step.words[1], store.ZoneRecord{State: step.words[2], Number: uint64(step.intSetting("number", 1)), Since: driver.now.UnixMilli(), Outages: step.intSetting("falls", 1)}))
	return nil
}

// recordZoneRecovery records a step of the recovery of a zone.
func (driver *traceDriver) recordZoneRecovery(step traceStep) []string {
	driver.addToPreviousSegment(store.ZoneRecoveryEntry(step.words[1], store.ZoneRecoveryRecord{Step: step.words[2], Number: uint64(step.intSetting("number", 1)), Since: driver.now.UnixMilli(), Work: float64(step.intSetting("work", 0))}))
	return nil
}

// recordFinished records tasks of a job as finished.
func (driver *traceDriver) recordFinished(step traceStep) []string {
	finished := store.NewTaskSet(0)
	for _, word := range step.words[2:] {
		index, _ := strconv.Atoi(word)
		finished.Add(index)
	}
	driver.addToPreviousSegment(store.ProgressEntry(step.words[1], 0, finished))
	return nil
}

// nextPreviousSegment begins another segment with a given number; later steps write into it.
func (driver *traceDriver) nextPreviousSegment(step traceStep) []string {
	number, _ := strconv.Atoi(step.words[1])
	driver.previousSegment, driver.segmentNumber = store.SegmentRecord{}, number
	return nil
}

// recordDrop records that a machine is dropped.
func (driver *traceDriver) recordDrop(step traceStep) []string {
	driver.addToPreviousSegment(store.MachineTombstone(step.words[1]))
	return nil
}
