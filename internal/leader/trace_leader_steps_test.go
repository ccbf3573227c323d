package leader

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// This file holds the steps of a trace in which the leader takes part.

// leaderSteps returns the steps in which the leader takes part, by their first word.
func (driver *traceDriver) leaderSteps() map[string]func(traceStep) []string {
	return map[string]func(traceStep) []string{
		"zones":     driver.showZones,
		"returns":   driver.showZoneRecoveries,
		"sibling":   driver.addObserver,
		"tier":      driver.addTier,
		"workers":   driver.simulateWorkers,
		"play":      driver.simulateWorkers,
		"crash":     driver.simulateWorkers,
		"stubborn":  driver.simulateWorkers,
		"finish":    driver.simulateWorkers,
		"lose":      driver.simulateWorkers,
		"claims":    driver.showPreemptions,
		"claim":     driver.elect,
		"others":    driver.setPeerShard,
		"regrant":   driver.proposeGrants,
		"regranted": driver.settleGrants,
		"spends":    driver.showLimit,
		"wait":      driver.wait,
		"report":    driver.sendHeartbeat,
		"inspected": driver.sendHeartbeat,
		"round":     driver.decideRound,
		"raises":    driver.showFencingCalls,
		"raised":    driver.finishFencingCall,
		"odd":       driver.showRejected,
		"tend":      driver.reconcile,
		"entitled":  driver.showMayAnswer,
		"refused":   driver.discardRound,
		"taken":     driver.commitRound,
		"direct":    driver.makeDirectCalls,
		"answered":  driver.finishOpenCalls,
		"rented":    driver.finishScaleOut,
		"asks":      driver.showScaleOuts,
		"send":      driver.sendScaleOuts,
		"listed":    driver.listMachines,
		"released":  driver.acknowledgeRelease,
		"ending":    driver.showUnfinished,
		"calls":     driver.noteCallResults,
		"unreached": driver.showCallsFailing,
		"deaf":      driver.showUnreachable,
		"show":      driver.showPlacements,
	}
}

// showZones returns the states of the zones.
func (driver *traceDriver) showZones(_ traceStep) []string {
	var out []string
	for _, name := range sortedKeys(driver.leader.ZoneRecords()) {
		record := driver.leader.ZoneRecords()[name]
		out = append(out, fmt.Sprintf("%s is %s, number %d", name, record.State, record.Number))
	}
	return out
}

// showZoneRecoveries returns the progress of the recovery of each zone.
func (driver *traceDriver) showZoneRecoveries(_ traceStep) []string {
	var out []string
	for _, name := range sortedKeys(driver.leader.ZoneRecoveries()) {
		out = append(out, name+": "+driver.leader.ZoneRecoveries()[name])
	}
	return out
}

// addObserver adds a controller in a zone, with the numbers of machines of a zone that it observes to be up and to be
// missing.
func (driver *traceDriver) addObserver(step traceStep) []string {
	if driver.observers == nil {
		driver.observers = map[string]zone.Observer{}
	}
	driver.observers[step.words[1]] = zone.Observer{Zone: step.words[2], Observations: map[string]zone.Observation{step.settings["of"]: {Heard: step.intSetting("hears", 0), Quiet: step.intSetting("quiet", 0)}, "a": {Heard: 9}}}
	driver.cfg.Peers = make([]config.Peer, len(driver.observers))
	driver.leader.SetObservers(driver.observers)
	return nil
}

// addTier configures a tier.
func (driver *traceDriver) addTier(step traceStep) []string {
	driver.configureTier(step.words[1], step.settings)
	return nil
}

// simulateWorkers takes a step of the simulated workers.
func (driver *traceDriver) simulateWorkers(step traceStep) []string {
	return driver.workerStep(step.words)
}

// showPreemptions returns the preemptions for tiers.
func (driver *traceDriver) showPreemptions(_ traceStep) []string {
	return driver.describePreemptions()
}

// elect elects a leader.
func (driver *traceDriver) elect(step traceStep) []string {
	return driver.electLeader(uint64(step.intSetting("term", 1)))
}

// setPeerShard sets the status that the leader of another shard has published.
func (driver *traceDriver) setPeerShard(step traceStep) []string {
	status := ShardStatus{Term: 99, Rooms: map[string]scheduler.FreeCapacity{"c": {Now: step.intSetting("now", 0), Below: step.intSetting("below", 0), Rent: step.settings["rent"] != ""}},
		Zones: map[string]reachability.ZoneHealth{step.words[1]: {Up: step.intSetting("up", 9), Quiet: step.intSetting("quiet", 0)}}}
	if step.settings["ready"] != "" {
		status.Ready = []string{step.settings["ready"]}
	}
	if gpus := step.intSetting("want", 0); gpus > 0 {
		status.Wants = map[string]scheduler.QuotaDemand{"red": {GPUs: float64(gpus), Least: scheduler.Resources{GPUs: float64(gpus)}, Rank: step.intSetting("rank", 1), Since: driver.now.Add(-time.Duration(step.intSetting("age", 0)) * time.Second)}}
	}
	status.Stays = map[string]scheduler.Resources{"red": {GPUs: float64(step.intSetting("stays", 0))}}
	driver.leader.SetPeerShards(map[string]ShardStatus{step.words[1]: status}, 1)
	return nil
}

// proposeGrants proposes a change of the quota grants.
func (driver *traceDriver) proposeGrants(_ traceStep) []string {
	change := driver.leader.ProposeGrants()
	if change == nil {
		return []string{"nothing to change"}
	}
	driver.grantChange = change
	out := []string{fmt.Sprintf("put grant %v", driver.grantChange.Txn.Then[0].Value.(store.QuotaGrantRecord).Teams)}
	for _, c := range driver.grantChange.Txn.If {
		out = append(out, fmt.Sprintf("if %s is at %d", strings.TrimPrefix(c.Key, store.StatePrefix), c.Version))
	}
	return out
}

// settleGrants settles the proposed change of the grants, which the store has applied or rejected.
func (driver *traceDriver) settleGrants(step traceStep) []string {
	if step.words[1] == "taken" {
		driver.apply(driver.grantChange.Txn.Then...)
	}
	driver.leader.GrantsSettled(driver.view.Snapshot().QuotaGrants)
	return nil
}

// showLimit returns how much of the limit of the team red the shard may use.
func (driver *traceDriver) showLimit(_ traceStep) []string {
	snapshot := driver.leader.clusterSnapshot(driver.now)
	return []string{fmt.Sprintf("%.0f of GPUs, %v used, %v elsewhere", snapshot.Teams["red"].LimitGPUs, snapshot.Teams["red"].UsedGPUs, snapshot.Teams["red"].RemoteUsedGPUs)}
}

// wait advances the clock.
func (driver *traceDriver) wait(step traceStep) []string {
	d, _ := time.ParseDuration(step.words[1])
	driver.now = driver.now.Add(d)
	return nil
}

// sendHeartbeat sends a machine's heartbeat, or its answer to an inspection.
func (driver *traceDriver) sendHeartbeat(step traceStep) []string {
	return driver.deliverHeartbeat(step.words, step.settings["zone"], uint64(step.intSetting("term", 0)), step.tasks)
}

// decideRound decides a round.
func (driver *traceDriver) decideRound(step traceStep) []string {
	return driver.runRound(step.words[1:])
}

// showFencingCalls returns the fencing calls that a peer may make.
func (driver *traceDriver) showFencingCalls(step traceStep) []string {
	var out []string
	for _, c := range driver.leader.FencingCalls(driver.now, step.intSetting("most", 9)) {
		out = append(out, fmt.Sprintf("call %s, term %d, session %d", c.Machine, c.Term, c.Session))
	}
	return out
}

// finishFencingCall reports the result of a peer's fencing call: the machine's heartbeat, or no answer.
func (driver *traceDriver) finishFencingCall(step traceStep) []string {
	if slices.Contains(step.words, "vain") {
		driver.leader.FencingCallDone(driver.now, step.words[1], nil)
		return nil
	}
	incarnationText, seqText, _ := strings.Cut(step.words[2], "/")
	incarnation, _ := strconv.ParseUint(incarnationText, 10, 64)
	seq, _ := strconv.ParseUint(seqText, 10, 64)
	driver.leader.FencingCallDone(driver.now, step.words[1], &wire.Heartbeat{Machine: step.words[1], Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Incarnation: incarnation, Seq: seq, FencingToken: uint64(step.intSetting("term", 0)), Tasks: driver.parseTasks(step.tasks)})
	return nil
}

// showRejected returns how many heartbeats changed nothing, by reason.
func (driver *traceDriver) showRejected(_ traceStep) []string {
	rejected := driver.leader.RejectedHeartbeats()
	return []string{fmt.Sprintf("%d late, %d impossible", rejected.Stale, rejected.Impossible)}
}

// reconcile compares the placements with the jobs, as the leader does while a round waits for the store.
func (driver *traceDriver) reconcile(_ traceStep) []string {
	driver.leader.Reconcile(driver.now, driver.view.Snapshot())
	return nil
}

// showMayAnswer returns whether heartbeats may be answered by a leader whose lease was renewed just now.
func (driver *traceDriver) showMayAnswer(_ traceStep) []string {
	return []string{fmt.Sprint(driver.leader.MayAnswer(driver.now, true, driver.now))}
}

// discardRound discards a round that had no answer and will never be in the store.
func (driver *traceDriver) discardRound(_ traceStep) []string {
	driver.leader.Discard(driver.draft)
	return nil
}

// commitRound commits a round that had no answer and turns out to be in the store.
func (driver *traceDriver) commitRound(_ traceStep) []string {
	driver.commit()
	return nil
}

// makeDirectCalls makes the direct calls that are due.
func (driver *traceDriver) makeDirectCalls(step traceStep) []string {
	return driver.directCalls(step.words[1:])
}

// finishOpenCalls gives the open direct calls their outcome.
func (driver *traceDriver) finishOpenCalls(step traceStep) []string {
	driver.leader.fleet.CallFinished(driver.openLaunches, map[string]fleet.CallOutcome{"refused": fleet.Refused, "executed": fleet.Executed}[step.words[1]])
	driver.openLaunches = nil
	return nil
}

// finishScaleOut answers a scale-out request with the names of the new machines.
func (driver *traceDriver) finishScaleOut(step traceStep) []string {
	names := step.words[2:]
	for i := range step.intSetting("got", 0) {
		names = append(names, fmt.Sprintf("%s-%02d", step.words[1], i))
	}
	driver.leader.completeScaleOut(driver.now, step.words[1], names)
	return nil
}

// showScaleOuts returns the pending scale-out requests.
func (driver *traceDriver) showScaleOuts(_ traceStep) []string {
	var out []string
	for _, request := range driver.leader.scaler.Pending() {
		out = append(out, fmt.Sprintf("%s for %d in %s", request.Name, request.Count, request.Zone))
	}
	return out
}

// sendScaleOuts sends the scale-out requests that may be sent.
func (driver *traceDriver) sendScaleOuts(step traceStep) []string {
	var out []string
	for i := 0; i < step.intSetting("most", 99) && driver.leader.nextScaleOut(driver.now) != nil; i++ {
		request := driver.leader.takeScaleOut(driver.now)
		out = append(out, fmt.Sprintf("send %s for %d in %s", request.Name, request.Count, request.Zone))
	}
	return out
}

// listMachines has the leader handle a list of machines from the cloud.
func (driver *traceDriver) listMachines(step traceStep) []string {
	var list []wire.ListedMachine
	for _, id := range step.words[1:] {
		list = append(list, wire.ListedMachine{ID: id, Type: "g4", Zone: "a", Stage: wire.MachineRunning})
	}
	driver.leader.handleMachineList(driver.now, driver.now, list)
	return nil
}

// acknowledgeRelease has the leader handle the cloud's confirmation that a machine is released.
func (driver *traceDriver) acknowledgeRelease(step traceStep) []string {
	driver.leader.fleet.MarkReleased(step.words[1])
	driver.leader.forgetMachine(step.words[1], "released")
	return nil
}

// showUnfinished returns the jobs that must not be compacted yet.
func (driver *traceDriver) showUnfinished(_ traceStep) []string {
	jobs, ok := driver.leader.UnfinishedJobs()
	return []string{fmt.Sprint(sortedKeys(jobs), ok)}
}

// noteCallResults records calls to machines, one after the other, with the same result for all.
func (driver *traceDriver) noteCallResults(step traceStep) []string {
	for _, id := range step.words[2:] {
		driver.leader.monitor.RecordCallResult(driver.now, id, step.words[1] == "answered")
	}
	return nil
}

// showCallsFailing returns whether hardly any call reaches machines that send heartbeats.
func (driver *traceDriver) showCallsFailing(_ traceStep) []string {
	return []string{fmt.Sprint(driver.leader.CallsFailing(driver.now))}
}

// showUnreachable returns how many machines the leader can't reach because of the network rather than the machines.
func (driver *traceDriver) showUnreachable(_ traceStep) []string {
	return []string{fmt.Sprint(driver.leader.UnreachableMachines(driver.now))}
}

// showPlacements returns the machines, their placements and the pending scale-out requests.
func (driver *traceDriver) showPlacements(_ traceStep) []string {
	return driver.describePlacements()
}
