package simtest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/wire"
)

// leaderFailures lists the ways in which a leader fails.
var leaderFailures = []struct {
	name string
	fail func(w *simulation, i int) // makes leader i fail
}{
	{"killed, back at once", func(w *simulation, i int) { w.crash(i, 100*time.Millisecond, 0) }},
	{"killed, back after half a second, its last messages are late", func(w *simulation, i int) { w.crash(i, 500*time.Millisecond, 4*time.Second) }},
	{"killed, back after 9 s", func(w *simulation, i int) { w.kill(i, 9*time.Second) }},
	{"cut off from the state service and the others", func(w *simulation, i int) {
		during(15*time.Second, func(on bool) { w.partitionFromStoreAndPeers(i, on) })
	}},
	{"refused alone", func(w *simulation, i int) { during(12*time.Second, func(on bool) { w.refuseByStore(i, on) }) }},
}

// TestTenLeaderFailures makes the leader fail ten times within two minutes, in various ways. In some cases
// the state service has an outage in the meantime, during which no controller can become leader. Users
// cancel jobs around each failure. All rules have to hold, jobs that are not cancelled have to
// continue, and afterwards no job may be left waiting.
func TestTenLeaderFailures(t *testing.T) {
	for n, c := range []struct {
		count  int
		by     string
		outage time.Duration // 0 for none
	}{{3, "off", 0}, {5, "off", 28 * time.Second}, {3, "zone", 50 * time.Second}, {5, "zone", 14 * time.Second}} {
		t.Run(fmt.Sprint(c.count, " controllers, shards by ", c.by, ", an outage of ", c.outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runTenLeaderFailures(t, n, c.count, c.by, c.outage) })
		})
	}
}

const (
	leaderFailureInterval = 11 * time.Second // between two failures of a leader
	firstLeaderFailure    = 26 * time.Second // from the first submissions to the first failure
	outageDelay           = 33 * time.Second // from the first failure to the outage
)

// runTenLeaderFailures runs the simulation of a case of TestTenLeaderFailures, its number n, with an outage of the
// state service unless its duration is 0.
func runTenLeaderFailures(t *testing.T, n, count int, by string, outage time.Duration) {
	seed := uint64(300 + n)
	w := newProxiedSimulation(t, count, seed, func(s *config.Config) { s.Tuning.Shards.By = by })
	w.replayHeartbeats(seed, 0.05)
	w.submitAroundLeaderFailures(seed)
	time.Sleep(firstLeaderFailure)
	start, token, failures, inOutage := time.Now(), w.lastFencingToken(), 0, 0
	if outage > 0 {
		time.AfterFunc(outageDelay, func() { during(outage, w.store.SetOutage) })
	}
	for k := range 10 {
		for w.anyLeader() < 0 || w.nodes[w.anyLeader()].down.Load() {
			time.Sleep(50 * time.Millisecond)
		}
		failure := leaderFailures[(k+n)%len(leaderFailures)]
		log(failure.name)
		failure.fail(w, w.anyLeader())
		failures++
		if outage > 0 && time.Since(start) > outageDelay && time.Since(start) < outageDelay+outage {
			inOutage++
		}
		time.Sleep(time.Until(start.Add(time.Duration(k+1) * leaderFailureInterval)))
	}
	took := time.Since(start)
	time.Sleep(15 * time.Second)
	changes := w.lastFencingToken() - token
	report := t.Logf
	if changes < 5 || failures < 10 || took > 2*time.Minute || outage > 0 && inOutage == 0 {
		report = t.Errorf
	}
	report("%d ended in %v, %d of them in the outage, and the fleet changed hands %d times", failures, took, inOutage, changes)
	w.finishQuietly(90*time.Second, 10*time.Minute)
}

// submitAroundLeaderFailures starts users who submit jobs of every shape. Every second one of the twenty
// short jobs is cancelled around the failure of a leader.
func (w *simulation) submitAroundLeaderFailures(seed uint64) {
	w.startClient(seed, jobOf("wk-900", wire.Service, 4, serviceRunTime, spreadOverZones), 6*time.Second, 4*time.Minute, serviceRunTime)
	w.startClient(seed, jobOf("wk-901", wire.Gang, 2, 70*time.Second, withCheckpoints, inOneZone), 6*time.Second, 0, 70*time.Second)
	w.startClient(seed, jobOf("wk-902", wire.Array, 3, 20*time.Second, teamRed), 6*time.Second, 0, 20*time.Second, 50*time.Second, 110*time.Second)
	for k := range 20 {
		at, cancel := firstLeaderFailure+time.Duration(k)*leaderFailureInterval/2, time.Duration(0)
		if k%2 == 1 {
			cancel = firstLeaderFailure + time.Duration(k/2+1)*leaderFailureInterval + time.Duration(k-10)*200*time.Millisecond
		}
		w.startClient(seed, jobOf(fmt.Sprint("wk-", k), []wire.Shape{wire.Array, wire.Array, wire.Gang}[k%3], 1+k%3, 9*time.Second), at, cancel, 9*time.Second)
	}
}
