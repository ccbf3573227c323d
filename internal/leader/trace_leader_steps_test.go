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

// The steps of a trace in which the leader takes part.

// leaderSteps returns the steps in which the leader takes part, by their first word.
func (driver *traceDriver) leaderSteps() map[string]func(traceStep) []string {
	return map[string]func(traceStep) []string{
		"zones":     driver.showZones,
		"returns":   driver.showZoneRecoveries,
		"sibling":   driver.addObserver,
		"tier":      driver.addTier,
		"workers":   driver.playWorkers,
		"play":      driver.playWorkers,
		"crash":     driver.playWorkers,
		"stubborn":  driver.playWorkers,
		"finish":    driver.playWorkers,
		"lose":      driver.playWorkers,
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

// showZones tells the states of the zones.
func (driver *traceDriver) showZones(_ traceStep) []string {
	var out []string
	for _, name := range sortedKeys(driver.leader.ZoneRecords()) {
		r := driver.leader.ZoneRecords()[name]
		out = append(out, fmt.Sprintf("%s is %s, number %d", name, r.State, r.Number))
	}
	return out
}

// showZoneRecoveries tells how far the recovery of each zone has come.
func (driver *traceDriver) showZoneRecoveries(_ traceStep) []string {
	var out []string
	for _, name := range sortedKeys(driver.leader.ZoneRecoveries()) {
		out = append(out, name+": "+driver.leader.ZoneRecoveries()[name])
	}
	return out
}

// addObserver adds a controller in a zone, and how many machines of one it observes to be up and how many to be missing.
func (driver *traceDriver) addObserver(step traceStep) []string {
	if driver.observers == nil {
		driver.observers = map[string]zone.Observer{}
	}
	driver.observers[step.words[1]] = zone.Observer{Zone: step.words[2], Observations: map[string]zone.Observation{step.settings["of"]: {Heard: step.number("hears", 0), Quiet: step.number("quiet", 0)}, "a": {Heard: 9}}}
	driver.cfg.Peers = make([]config.Peer, len(driver.observers))
	driver.leader.SetObservers(driver.observers)
	return nil
}

// addTier configures a tier.
func (driver *traceDriver) addTier(step traceStep) []string {
	driver.tier(step.words[1], step.settings)
	return nil
}

// playWorkers plays workers that do as they are told.
func (driver *traceDriver) playWorkers(step traceStep) []string {
	return driver.play(step.words)
}

// showPreemptions tells what is preempted for tiers.
func (driver *traceDriver) showPreemptions(_ traceStep) []string {
	return driver.preemptionsNow()
}

// elect has the leader elected.
func (driver *traceDriver) elect(step traceStep) []string {
	return driver.claim(uint64(step.number("term", 1)))
}

// setPeerShard takes in what another shard has said of itself.
func (driver *traceDriver) setPeerShard(step traceStep) []string {
	s := ShardStatus{Term: 99, Rooms: map[string]scheduler.FreeCapacity{"c": {Now: step.number("now", 0), Below: step.number("below", 0), Rent: step.settings["rent"] != ""}},
		Zones: map[string]reachability.ZoneHealth{step.words[1]: {Up: step.number("up", 9), Quiet: step.number("quiet", 0)}}}
	if step.settings["ready"] != "" {
		s.Ready = []string{step.settings["ready"]}
	}
	if n := step.number("want", 0); n > 0 {
		s.Wants = map[string]scheduler.QuotaDemand{"red": {GPUs: float64(n), Least: scheduler.Resources{GPUs: float64(n)}, Rank: step.number("rank", 1), Since: driver.now.Add(-time.Duration(step.number("age", 0)) * time.Second)}}
	}
	s.Stays = map[string]scheduler.Resources{"red": {GPUs: float64(step.number("stays", 0))}}
	driver.leader.SetPeerShards(map[string]ShardStatus{step.words[1]: s}, 1)
	return nil
}

// proposeGrants proposes a change of the grants.
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

// settleGrants settles the proposed change of the grants, which was taken or not.
func (driver *traceDriver) settleGrants(step traceStep) []string {
	if step.words[1] == "taken" {
		driver.apply(driver.grantChange.Txn.Then...)
	}
	driver.leader.GrantsSettled(driver.view.Snapshot().QuotaGrants)
	return nil
}

// showLimit tells what the shard may use of the limit of the team red.
func (driver *traceDriver) showLimit(_ traceStep) []string {
	snapshot := driver.leader.clusterSnapshot(driver.now)
	return []string{fmt.Sprintf("%.0f of GPUs, %v used, %v elsewhere", snapshot.Teams["red"].LimitGPUs, snapshot.Teams["red"].UsedGPUs, snapshot.Teams["red"].RemoteUsedGPUs)}
}

// wait lets time pass.
func (driver *traceDriver) wait(step traceStep) []string {
	d, _ := time.ParseDuration(step.words[1])
	driver.now = driver.now.Add(d)
	return nil
}

// sendHeartbeat has a machine send a heartbeat, or answer an inspection.
func (driver *traceDriver) sendHeartbeat(step traceStep) []string {
	return driver.report(step.words, step.settings["zone"], uint64(step.number("term", 0)), step.tasks)
}

// decideRound decides a round.
func (driver *traceDriver) decideRound(step traceStep) []string {
	return driver.round(step.words[1:])
}

// showFencingCalls tells the calls that a peer may make.
func (driver *traceDriver) showFencingCalls(step traceStep) []string {
	var out []string
	for _, c := range driver.leader.FencingCalls(driver.now, step.number("most", 9)) {
		out = append(out, fmt.Sprintf("call %s, term %d, session %d", c.Machine, c.Term, c.Session))
	}
	return out
}

// finishFencingCall takes in a call that a peer has made, in vain or with a heartbeat.
func (driver *traceDriver) finishFencingCall(step traceStep) []string {
	if slices.Contains(step.words, "vain") {
		driver.leader.FencingCallDone(driver.now, step.words[1], nil)
		return nil
	}
	session, seq, _ := strings.Cut(step.words[2], "/")
	s, _ := strconv.ParseUint(session, 10, 64)
	q, _ := strconv.ParseUint(seq, 10, 64)
	driver.leader.FencingCallDone(driver.now, step.words[1], &wire.Heartbeat{Machine: step.words[1], Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Incarnation: s, Seq: q, FencingToken: uint64(step.number("term", 0)), Tasks: driver.parseTasks(step.tasks)})
	return nil
}

// showRejected tells how many heartbeats changed nothing.
func (driver *traceDriver) showRejected(_ traceStep) []string {
	odd := driver.leader.RejectedHeartbeats()
	return []string{fmt.Sprintf("%d late, %d impossible", odd.Stale, odd.Impossible)}
}

// reconcile compares the placements with the jobs while a round waits for the store.
func (driver *traceDriver) reconcile(_ traceStep) []string {
	driver.leader.Reconcile(driver.now, driver.view.Snapshot())
	return nil
}

// showMayAnswer tells whether heartbeats may be answered when the lease was renewed just now.
func (driver *traceDriver) showMayAnswer(_ traceStep) []string {
	return []string{fmt.Sprint(driver.leader.MayAnswer(driver.now, true, driver.now))}
}

// discardRound discards the round that had no answer: it will never be in the store.
func (driver *traceDriver) discardRound(_ traceStep) []string {
	driver.leader.Discard(driver.draft)
	return nil
}

// commitRound commits the round that had no answer: it turns out to be in the store.
func (driver *traceDriver) commitRound(_ traceStep) []string {
	driver.commit()
	return nil
}

// makeDirectCalls makes the direct calls that are due.
func (driver *traceDriver) makeDirectCalls(step traceStep) []string {
	return driver.directCalls(step.words[1:])
}

// finishOpenCalls says what became of the direct calls that were left open.
func (driver *traceDriver) finishOpenCalls(step traceStep) []string {
	driver.leader.fleet.CallFinished(driver.open, map[string]fleet.CallOutcome{"refused": fleet.Refused, "executed": fleet.Executed}[step.words[1]])
	driver.open = nil
	return nil
}

// finishScaleOut answers a scale-out request.
func (driver *traceDriver) finishScaleOut(step traceStep) []string {
	names := step.words[2:]
	for i := range step.number("got", 0) {
		names = append(names, fmt.Sprintf("%s-%02d", step.words[1], i))
	}
	driver.leader.completeScaleOut(driver.now, step.words[1], names)
	return nil
}

// showScaleOuts tells the scale-out requests that are pending.
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
	for i := 0; i < step.number("most", 99) && driver.leader.nextScaleOut(driver.now) != nil; i++ {
		request := driver.leader.takeScaleOut(driver.now)
		out = append(out, fmt.Sprintf("send %s for %d in %s", request.Name, request.Count, request.Zone))
	}
	return out
}

// listMachines takes in a list of machines by the cloud.
func (driver *traceDriver) listMachines(step traceStep) []string {
	var list []wire.ListedMachine
	for _, id := range step.words[1:] {
		list = append(list, wire.ListedMachine{ID: id, Type: "g4", Zone: "a", Stage: wire.MachineRunning})
	}
	driver.leader.handleMachineList(driver.now, driver.now, list)
	return nil
}

// acknowledgeRelease takes in that the cloud has acknowledged the release of a machine.
func (driver *traceDriver) acknowledgeRelease(step traceStep) []string {
	driver.leader.fleet.MarkReleased(step.words[1])
	driver.leader.forgetMachine(step.words[1], "released")
	return nil
}

// showUnfinished tells the jobs that must not be compacted yet.
func (driver *traceDriver) showUnfinished(_ traceStep) []string {
	jobs, ok := driver.leader.UnfinishedJobs()
	return []string{fmt.Sprint(sortedKeys(jobs), ok)}
}

// noteCallResults notes calls to machines, one after the other, all of which have the same end.
func (driver *traceDriver) noteCallResults(step traceStep) []string {
	for _, id := range step.words[2:] {
		driver.leader.monitor.NoteCallResult(driver.now, id, step.words[1] == "answered")
	}
	return nil
}

// showCallsFailing tells whether hardly any call gets through to machines that send heartbeats.
func (driver *traceDriver) showCallsFailing(_ traceStep) []string {
	return []string{fmt.Sprint(driver.leader.CallsFailing(driver.now))}
}

// showUnreachable tells how many machines are unreachable for the leader, by no fault of theirs.
func (driver *traceDriver) showUnreachable(_ traceStep) []string {
	return []string{fmt.Sprint(driver.leader.UnreachableMachines(driver.now))}
}

// showPlacements tells the machines and the placements.
func (driver *traceDriver) showPlacements(_ traceStep) []string {
	return driver.show()
}
