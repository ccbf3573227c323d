package leader

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// ageSeconds returns how many seconds ago a time was, or -1 for the zero time. Ages above 90 s, which make no
// difference any more, count as 90 s.
func (m *timedModel) ageSeconds(t time.Time) int {
	if t.IsZero() {
		return -1
	}
	return int(min(m.now.Sub(t), 90*time.Second) / time.Second)
}

// fingerprint returns a hash by which states are told apart. It uses ages in place of times.
func (m *timedModel) fingerprint() uint64 {
	d := xxhash.New()
	put := func(format string, args ...any) { fmt.Fprintf(d, format+"\n", args...) }
	for _, key := range slices.Sorted(maps.Keys(m.keys)) {
		if key == store.BatchKey("x") {
			var batch store.BatchRecord
			_ = wire.DecodeValue(m.keys[key].raw, &batch)
			rec := batch.Jobs[timedJob]
			put("%s %s %v %d", key, rec.Stage, rec.Ranges, m.now.UnixMilli()-max(rec.Ended, m.now.UnixMilli()-90_000))
			continue
		}
		put("%s %x", key, []byte(m.keys[key].raw))
	}
	putTxn := func(txn wire.Txn) { put("txn %v", m.conditionsHold(txn)); put("%x", wire.Encode(txn.Then)) }
	for _, c := range m.nodes {
		put("%v %v %d %d %d %d", c.refused, c.dead, c.leaseID, m.ageSeconds(c.leaseRenewedAt), m.ageSeconds(c.election.LastRenewal()), m.ageSeconds(c.view.CurrentAt()))
		tenure, _ := c.election.Tenure(timedShard)
		put("%d %d", c.election.Lease(), tenure.FencingToken)
		for _, e := range m.log {
			if e.Version > c.seenRevision {
				put("unseen %s%s %d", e.Put, e.Delete, m.revision-e.Version)
			}
		}
		if c.pendingRead != nil {
			put("reading %d %d", m.ageSeconds(c.pendingRead.startedAt), len(c.pendingRead.changes.Events))
		}
		leader := c.leader
		if leader == nil {
			continue
		}
		put("%d %v %v %d %d %d %d %d %d", leader.lastRound, leader.rebuilt, leader.rebuiltReachable, m.ageSeconds(leader.fleet.ElectedAt), m.ageSeconds(leader.viewCurrentAt), m.ageSeconds(leader.lastReconciledAt), m.ageSeconds(leader.monitor.ResumedAt()), m.ageSeconds(leader.lastDecidedAt), len(leader.liveJobs))
		for _, fleetMachine := range leader.fleet.Machines() {
			machineFields := reflect.ValueOf(fleetMachine).Elem()
			hb := m.machines[strings.TrimPrefix(fleetMachine.ID, "n-")].core.Heartbeat()
			put("%s %v %v %v %d %d %d %d %d %d %v %v", fleetMachine.ID, fleetMachine.Up, fleetMachine.SeenAtToken, fleetMachine.Releasing, m.ageSeconds(fleetMachine.LastHeartbeat), m.ageSeconds(fleetMachine.LastResponse),
				int(hb.Incarnation)-int(fleetMachine.Incarnation), int(hb.Seq)-int(machineFields.FieldByName("lastSeq").Uint()), int(hb.Seq)-int(machineFields.FieldByName("heartbeatSeq").Uint()), fleetMachine.RecordedIncarnation,
				machineFields.FieldByName("incarnationSeen").Bool(), machineFields.FieldByName("provenEmpty").Bool())
			for _, p := range fleetMachine.Placements() {
				placementFields := reflect.ValueOf(p).Elem()
				put("%v %d %d %v %v %v %v %v %v", p.Task, p.Attempt, p.State, p.Committed, p.EndHandled, p.Reported, p.Stop, p.CallPending(), p.Cause)
				put("%v %v %v %v", placementFields.FieldByName("sentInResponse").Bool(), placementFields.FieldByName("sentByCall").Bool(), placementFields.FieldByName("restored").Bool(), m.ageSeconds(p.PlacedAt))
			}
			last := leader.monitor.Calls.Last(fleetMachine.ID)
			put("%d %v %d %s", m.ageSeconds(last.StartedAt), last.Open, last.Failures, last.Digest)
		}
		for _, id := range sortedKeys(leader.jobStates) {
			j := leader.jobStates[id]
			put("%s %d %d %d", id, j.finished.Count(), j.storedFinished.Count(), m.ageSeconds(j.endedAt))
		}
		put("%v", leader.scaler.Releasing())
		if c.draft != nil {
			putTxn(c.draft.Txn)
		}
	}
	for _, t := range m.lateCommits {
		put("%s %d %d", t.kind, t.node, t.requiredLease)
		putTxn(t.Txn)
	}
	for _, call := range m.lateCalls {
		put("%s %d %d %v", call.machine, call.request.FencingToken, call.request.Incarnation, call.request.Commands)
	}
	for _, id := range []string{"a", "b"} {
		w := m.machines[id]
		hb := w.core.Heartbeat()
		put("%s %v %d %d %d %v", id, w.released, hb.Incarnation, hb.FencingToken, m.ageSeconds(w.lastAnsweredAt), hb.Tasks)
	}
	if slices.ContainsFunc(m.budgets, func(b budget) bool { return strings.HasPrefix(b.prefix, "copy") }) {
		for _, hb := range m.duplicateHeartbeats {
			now := m.machines[strings.TrimPrefix(hb.Machine, "n-")].core.Heartbeat()
			put("%s %d %d %d %v", hb.Machine, now.Incarnation-hb.Incarnation, int(now.Seq)-int(hb.Seq), hb.FencingToken, hb.Tasks)
		}
	}
	if !m.anyOrder {
		put("%d", m.lastRank)
	}
	put("%v %d %v", m.serviceDown, m.ageSeconds(m.cancelAckedAt), m.completed)
	for _, b := range m.budgets {
		put("%d", m.stepCounts[b.prefix])
	}
	return d.Sum64()
}

// replayTimedPath returns the state that a path leads to from the start of a scenario. The scenario's prefix does not
// count against the budgets.
func replayTimedPath(s *timedScenario, path []string) *timedModel {
	m := newTimedModel(s)
	for _, step := range strings.Split(s.prefix, "; ") {
		if step != "" {
			m.takeStep(step)
		}
	}
	m.lastRank = 0
	clear(m.stepCounts)
	for _, step := range path {
		m.takeStep(step)
	}
	return m
}

// searchResult is the result of a search.
type searchResult struct {
	states, transitions int
	path                []string
	violation           string
	reached             map[string]bool
}

// timedSearchState is a state that a search has reached, with the steps that are possible in it.
type timedSearchState struct {
	path, possibleSteps []string
	fingerprint         uint64
	brokenRule          string
	reachedSituations   map[string]bool
}

// expand takes each possible step from each state of a level. States are expanded concurrently.
func (s *timedScenario) expand(level []timedSearchState) [][]timedSearchState {
	next := make([][]timedSearchState, len(level))
	var group sync.WaitGroup
	work := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := range work {
				for _, step := range level[i].possibleSteps {
					m := replayTimedPath(s, level[i].path)
					m.takeStep(step)
					next[i] = append(next[i], timedSearchState{append(slices.Clone(level[i].path), step), m.possibleSteps(m.budgets), m.fingerprint(), m.violation, m.reached})
				}
			}
		})
	}
	for i := range level {
		work <- i
	}
	close(work)
	group.Wait()
	return next
}

// search tries all orders of the steps that a scenario allows, breadth first, until one breaks a rule.
func (s *timedScenario) search(depth int) searchResult {
	result := searchResult{reached: map[string]bool{}}
	visited := map[uint64]bool{}
	first := replayTimedPath(s, nil)
	level := []timedSearchState{{possibleSteps: first.possibleSteps(first.budgets)}}
	for range depth {
		next := s.expand(level)
		level = nil
		for _, successors := range next {
			for _, state := range successors {
				result.transitions++
				maps.Copy(result.reached, state.reachedSituations)
				if state.brokenRule != "" {
					result.states, result.path, result.violation = len(visited), state.path, state.brokenRule
					return result
				}
				if !visited[state.fingerprint] {
					visited[state.fingerprint] = true
					level = append(level, state)
				}
			}
		}
		if len(level) == 0 {
			break
		}
	}
	result.states = len(visited)
	return result
}

// timedPrefix commits the leader's first round and has both machines send two heartbeats.
const timedPrefix = "decide 0; commit 0; report a 0; report b 0; report a 0; report b 0"

// idleTick is a tick after which the leader renews its lease, reads and receives the heartbeat of one machine.
const idleTick = "; tick; renew 0; sync 0; report a 0"

var timedScenarios = []timedScenario{
	{name: "the leader alone is refused", tasks: 1, prefix: timedPrefix + "; refuse 0; cancel 1", depth: 30,
		stepLimits:    "renew 0:1; report b 0:2; tick:11",
		mustReach:     "refused alone after a cancellation; the old leader answers after a cancellation; cancel_s has passed",
		detectsFaults: "answers by the lease alone; answers by the last renewal alone"},
	{name: "the leader is refused, then all controllers", tasks: 1, prefix: timedPrefix + "; refuse 0; cancel 1; tick; tick; renew 0; tick; down", depth: 30,
		stepLimits:    "up:1; renew 0:1; report b 0:2; tick:8",
		mustReach:     "refused alone after a cancellation; down after a cancellation; the old leader answers after a cancellation; cancel_s has passed",
		detectsFaults: "answers by the lease alone; answers by the knowledge alone"},
	{name: "a read that is answered late", tasks: 1, prefix: timedPrefix + "; ask 0; cancel 1; tick; tick", depth: 30,
		stepLimits:    "renew 0:1; answer 0:1; report b 0:2; tick:9",
		mustReach:     "the old leader answers after a cancellation; cancel_s has passed",
		detectsFaults: "a read counts from its answer"},
	{name: "a takeover from a leader that is refused", tasks: 1, prefix: timedPrefix + "; refuse 0; tick; tick; tick; report b 0; sync 1; claim 1; report a 1; report a 1", depth: 30, steadySender: "a 1",
		stepLimits:    "report b 0:1; lose b 1:1; round 1:1; report a 1:1; tick:9",
		mustReach:     "takeover with a task running; a lost answer",
		detectsFaults: "proof 5 without the time that others answer"},
	{name: "a takeover and a cancellation", tasks: 1, prefix: timedPrefix + "; refuse 0; tick; tick; tick; report b 0; sync 1; claim 1; cancel 1", depth: 30,
		stepLimits: "report b 0:1; report b 1:1; call 1:1; tick:10",
		mustReach:  "takeover with a task running; the old leader answers after a cancellation; cancel_s has passed"},
	{name: "a machine that gets no answers", tasks: 1, prefix: timedPrefix + idleTick, depth: 30, steadySender: "a 0",
		stepLimits:    "renew 0:1; lose b 0:1; round 0:1; report a 0:1; tick:4",
		mustReach:     "a lost answer",
		detectsFaults: "proof 3 without its margin"},
	{name: "a team's limit and a machine that gets no answers", tasks: 2, teamLimit: 1, prefix: timedPrefix + idleTick, depth: 30, steadySender: "a 0",
		stepLimits:    "renew 0:1; lose b 0:1; round 0:1; report a 0:1; tick:4",
		mustReach:     "a lost answer",
		detectsFaults: "proof 3 without its margin"},
	{name: "late copies of heartbeats", tasks: 1, prefix: timedPrefix, steadySender: "a 0", depth: 30,
		stepLimits:    "copy:1; renew 0:1; round 0:1; report b 0:1; report a 0:1; tick:3",
		mustReach:     "a copy of an older heartbeat",
		detectsFaults: "a heartbeat is applied though older"},
	{name: "late copies from an earlier incarnation", tasks: 1, prefix: timedPrefix + idleTick + idleTick + idleTick + idleTick + "; expire b; renew 0; sync 0", depth: 9,
		stepLimits: "report b 0:2; copy:1; round 0:1; report a 0:1; tick:1",
		mustReach:  "a copy from an earlier incarnation; a later incarnation"},
	{name: "late rounds and cancellations", tasks: 1, prefix: timedPrefix + "; finish b; report b 0", depth: 9,
		stepLimits: "holdcancel 1:1; decide 0:1; hold 0:1; late:2; cancel 1:1; commit 0:1; sync 0:1", anyOrder: true,
		mustReach:     "a late round after newer ones; a late round is taken; a late cancellation after newer ones; a late cancellation is taken; a copy of a round was taken",
		detectsFaults: "an end is not bound to the job's record"},
	{name: "late rounds and campaigns of a takeover", tasks: 1, prefix: "decide 0; hold 0; refuse 0; tick; tick; tick; sync 1", depth: 9,
		stepLimits: "holdclaim 1:1; claim 1:1; late:2; sync 1:1; report a 1:2; report b 1:2; decide 1:1; commit 1:1; tick:1", anyOrder: true,
		mustReach: "a late claim is taken; a late claim after newer ones; a late round after newer ones; takeover"},
	{name: "a launch whose leader dies", tasks: 1, prefix: "decide 0; report b 0; report b 0; die 0; tick; tick; tick; sync 1; claim 1; report a 1; report a 1", depth: 8,
		stepLimits:    "late:1; round 1:1; report b 1:2; report a 1:1; tick:2",
		mustReach:     "takeover; a late round after newer ones",
		detectsFaults: "a launch is said before its round is stored"},
	{name: "a delayed direct call", tasks: 1, prefix: "decide 0; commit 0; losecall 0; tick; renew 0; sync 0", depth: 12, steadySender: "a 0",
		stepLimits:    "round 0:1; arrive:1; report a 0:1; tick:3",
		mustReach:     "a late call is carried out",
		detectsFaults: "a call without an answer counts as refused"},
	{name: "a delayed direct call and a cancellation", tasks: 1, prefix: "decide 0; commit 0; losecall 0; refuse 0; cancel 1", depth: 30,
		stepLimits: "arrive:1; renew 0:1; report b 0:2; tick:10",
		mustReach:  "a late call is carried out; the old leader answers after a cancellation; cancel_s has passed"},
	{name: "an end that is not stored yet", tasks: 1, prefix: timedPrefix + "; finish b", depth: 10,
		stepLimits: "report b 0:3; decide 0:1; commit 0:1; hold 0:1; late:1; refuse:1; tick:2", anyOrder: true,
		detectsFaults: "a clear before the end is stored"},
}

// runScenario searches a scenario. No rule may break, and each situation in mustReach must be reached.
func (s *timedScenario) runScenario(t *testing.T) {
	startedAt := time.Now()
	r := s.search(s.depth)
	if r.violation != "" {
		t.Errorf("%s, by %s", r.violation, strings.Join(r.path, "; "))
	}
	for _, situation := range strings.Split(s.mustReach, "; ") {
		if situation != "" && !r.reached[situation] {
			t.Errorf("never reached: %s", situation)
		}
	}
	t.Logf("%d transitions, %d states, %v; reached %v", r.transitions, r.states, time.Since(startedAt).Round(time.Millisecond), slices.Sorted(maps.Keys(r.reached)))
}

// widenScenario widens a search: AMBERDEAL_TIMED=N allows N more steps of each kind, and lets steps between two ticks
// come in any order.
func widenScenario(s timedScenario) *timedScenario {
	more, _ := strconv.Atoi(os.Getenv("AMBERDEAL_TIMED"))
	if more > 0 {
		s.anyOrder, s.depth = true, s.depth+5*more
		var limits []string
		for _, b := range s.parseBudgets() {
			limits = append(limits, fmt.Sprintf("%s:%d", b.prefix, b.limit+more))
		}
		s.stepLimits = strings.Join(limits, "; ")
	}
	return &s
}

// TestModelTime searches each scenario for a path that breaks a rule.
func TestModelTime(t *testing.T) {
	for _, s := range timedScenarios {
		t.Run(s.name, func(t *testing.T) { widenScenario(s).runScenario(t) })
	}
}

// TestModelTimeFinds plants faults into the scenarios, and requires that the search finds each.
func TestModelTimeFinds(t *testing.T) {
	for _, s := range timedScenarios {
		for _, fault := range strings.Split(s.detectsFaults, "; ") {
			if fault == "" {
				continue
			}
			t.Run(fault+" in "+s.name, func(t *testing.T) {
				s.plantedFault = fault
				r := s.search(s.depth)
				if r.violation == "" {
					t.Errorf("not found in %d transitions", r.transitions)
				}
				t.Logf("%d transitions: %s, by %s", r.transitions, r.violation, strings.Join(r.path, "; "))
			})
		}
	}
}
