package simtest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// combinedFault is a fault that lasts for a time between minLength and maxLength. If both are 0 it is
// over at once.
type combinedFault struct {
	name                 string
	minLength, maxLength time.Duration
	apply                func(m *faultCombination, d time.Duration)
}

// timeBounds are the times on which the protocol's rules depend in a simulation: how long a response is
// waited for, when a machine is suspected, the maximum age of a leader's view, a leader's lease, the
// workers' lease, the longest time for which a leader answers without confirmation together with the
// lease after that, and cancel_s.
var timeBounds = []time.Duration{2 * time.Second, 4 * time.Second, 5750 * time.Millisecond, 8 * time.Second, 9 * time.Second, workerLease, 40 * time.Second, 45 * time.Second}

// drawNearBound draws a time close to one of timeBounds, limited to the range from least to most.
func drawNearBound(rng *rand.Rand, least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	d := timeBounds[rng.IntN(len(timeBounds))] + time.Duration(rng.IntN(1600)-800)*time.Millisecond
	if d < least || d > most {
		d = least + time.Duration(rng.Int64N(int64(most-least)))
	}
	return d
}

// faultCombination is a simulation in which faults overlap.
type faultCombination struct {
	*simulation
	number              uint64
	faultRNG            *rand.Rand
	target              int          // the controller that faults affect
	replayedToNewLeader atomic.Int64 // number of heartbeats that were replayed to the next leader
	mu                  sync.Mutex
	clients             []*client
}

// targetIP returns the address of the target.
func (m *faultCombination) targetIP() string { return m.ip(m.target) }

// addClient starts a user who submits a job, and adds the user to allClients.
func (m *faultCombination) addClient(j *wire.Job, submit, cancel time.Duration, runs ...time.Duration) {
	c := m.startClient(m.number, j, submit, cancel, runs...)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clients = append(m.clients, c)
}

// allClients returns all users that were added so far.
func (m *faultCombination) allClients() []*client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.clients)
}

// pickTarget draws the controller that the next fault affects, usually a leader.
func (m *faultCombination) pickTarget() {
	m.target = m.faultRNG.IntN(m.count)
	if m.faultRNG.IntN(4) > 0 {
		for _, shard := range []string{"fleet", "a", "b"} {
			if i := m.leaderOf(shard); i >= 0 && (shard != "a" || m.faultRNG.IntN(2) == 0) {
				m.target = i
			}
		}
	}
}

// pickMachines returns one, half or all of the running machines.
func (m *faultCombination) pickMachines() (out []runningMachine) {
	selection := m.faultRNG.IntN(3)
	for i, x := range m.runningMachines() {
		if selection == 0 && i == 0 || selection == 1 && i%2 == 0 || selection == 2 {
			out = append(out, x)
		}
	}
	return out
}

// machineHosts returns the hosts of all machines, including machines that are not rented yet.
func machineHosts() (hosts []string) {
	for n := range 60 {
		hosts = append(hosts, fmt.Sprintf("10.1.0.%d", n+1))
	}
	return hosts
}

const (
	minRestartDelay = 50 * time.Millisecond
	sec             = time.Second
)

// combinedFaults lists the faults that are combined with each other.
var combinedFaults = []combinedFault{
	{"a controller is killed and back at once", 0, 0, func(m *faultCombination, _ time.Duration) {
		m.crash(m.target, restartDelay(m.faultRNG), finalHoldTime(m.faultRNG))
	}},
	{"a controller is killed and back later", 1 * sec, 30 * sec, func(m *faultCombination, d time.Duration) { m.crash(m.target, d, 0) }},
	{"all are killed and back at once", 0, 0, func(m *faultCombination, _ time.Duration) {
		hold := finalHoldTime(m.faultRNG)
		for _, i := range m.faultRNG.Perm(m.count) {
			m.group.Go(func() { m.crash(i, minRestartDelay+time.Duration(i)*70*time.Millisecond, hold) })
		}
	}},
	{"all are killed and back later", 1 * sec, 30 * sec, func(m *faultCombination, d time.Duration) {
		for _, i := range m.faultRNG.Perm(m.count) {
			m.crash(i, d, 0)
		}
	}},
	{"all are rolled", 6 * sec, 20 * sec, func(m *faultCombination, d time.Duration) {
		for _, i := range m.faultRNG.Perm(m.count) {
			m.crash(i, restartDelay(m.faultRNG), 0)
			time.Sleep(d / time.Duration(m.count))
		}
	}},
	{"a controller stands still", 1 * sec, 50 * sec, func(m *faultCombination, d time.Duration) { m.net.Pause(m.targetIP(), d) }},
	{"all stand still", 1 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		for i := range m.count {
			m.net.Pause(m.ip(i), d)
		}
	}},
	{"a controller is slow", 5 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		ip, maxDelay, stepRNG := m.targetIP(), 100+m.faultRNG.IntN(1400), rand.New(rand.NewPCG(m.faultRNG.Uint64(), 7))
		m.net.SetStepDelay(ip, func() time.Duration { return time.Duration(m.draw(stepRNG, maxDelay)) * time.Millisecond })
		time.AfterFunc(d, func() { m.net.SetStepDelay(ip, nil) })
	}},
	{"two processes of one name", 50 * time.Millisecond, 6 * sec, func(m *faultCombination, d time.Duration) {
		m.startDuplicateProcess(m.target, d, finalHoldTime(m.faultRNG))
	}},
	{"a controller is refused by the state service", 2 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		i := m.target
		during(d, func(on bool) { m.refuseByStore(i, on) })
	}},
	{"a controller is cut from the state service", 2 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		ip := m.targetIP()
		during(d, func(on bool) { m.net.Partition(ip, stateHost, on) })
	}},
	{"a controller and the state service don't hear each other", 2 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		ip, both := m.targetIP(), m.faultRNG.IntN(2) == 0
		during(d, func(on bool) {
			m.net.DropOneWay(stateHost, ip, on)
			m.net.DropOneWay(ip, stateHost, on && both)
		})
	}},
	{"a controller is cut from the state service and its peers", 2 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		i := m.target
		during(d, func(on bool) { m.partitionFromStoreAndPeers(i, on) })
	}},
	{"a controller is refused by the state service and cut from its peers", 2 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		i := m.target
		during(d, func(on bool) {
			m.refuseByStore(i, on)
			m.partitionFromPeers(i, on)
		})
	}},
	{"a controller is cut from its peers", 2 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		i := m.target
		during(d, func(on bool) { m.partitionFromPeers(i, on) })
	}},
	{"a controller is cut from the machines", 2 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		ip := m.targetIP()
		in, out := m.faultRNG.IntN(3) > 0, m.faultRNG.IntN(3) > 0
		during(d, func(on bool) {
			for _, host := range machineHosts() {
				m.net.DropOneWay(host, ip, on && (in || !out))
				m.net.DropOneWay(ip, host, on && out)
			}
		})
	}},
	{"what a controller sends is delayed", 1 * sec, 40 * sec, func(m *faultCombination, d time.Duration) { m.net.Hold(m.targetIP(), d) }},
	{"what controllers send to machines is delayed", 1 * sec, 40 * sec, func(m *faultCombination, d time.Duration) {
		for i := range m.count {
			m.net.HoldTo(m.ip(i), func(peer string) bool { return strings.HasPrefix(peer, "10.1.") }, d)
		}
	}},
	{"what the state service sends to a controller is delayed", 1 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		ip, all := m.targetIP(), m.faultRNG.IntN(3) == 0
		m.net.HoldTo(stateHost, func(peer string) bool { return all || peer == ip }, d)
	}},
	{"the state service is out for a while", 1 * sec, 20 * sec, func(m *faultCombination, d time.Duration) { during(d, m.store.SetOutage) }},
	{"the state service is out for longer than cancel_s", 46 * sec, 70 * sec, func(m *faultCombination, d time.Duration) { during(d, m.store.SetOutage) }},
	{"the state service is slow", 5 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		maxDelay, stepRNG := 200+m.faultRNG.IntN(4000), rand.New(rand.NewPCG(m.faultRNG.Uint64(), 7))
		during(d, func(on bool) {
			m.store.Configure(func(s *simulator.StateService) {
				if s.ResponseDelay = nil; on {
					s.ResponseDelay = func() time.Duration { return time.Duration(m.draw(stepRNG, maxDelay)) * time.Millisecond }
				}
			})
		})
	}},
	{"writes are late", 5 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		share := []float64{0.1, 0.3, 0.6, 1}[m.faultRNG.IntN(4)]
		during(d, func(on bool) {
			m.store.Configure(func(s *simulator.StateService) { s.DelayedShare = map[bool]float64{true: share}[on] })
		})
	}},
	{"writes get no answer", 5 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		during(d, func(on bool) {
			m.store.Configure(func(s *simulator.StateService) { s.LossShare = map[bool]float64{true: 0.4}[on] })
		})
	}},
	{"the state service forgets its changes", 2 * sec, 10 * sec, func(m *faultCombination, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(700 * time.Millisecond) {
			m.store.DropHistory()
		}
	}},
	{"heartbeats are late", 5 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		m.heartbeatReplayer.SetShare([]float64{0.1, 0.5, 1}[m.faultRNG.IntN(3)])
		time.AfterFunc(d, func() { m.heartbeatReplayer.SetShare(0) })
	}},
	{"machines receive nothing", 2 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		dropInbound(d, m.pickMachines()...)
	}},
	{"machines are cut off", 2 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		for _, x := range m.pickMachines() {
			during(d, func(on bool) { m.net.SetDown(x.host, on) })
		}
	}},
	{"what machines send is delayed", 1 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		for _, x := range m.pickMachines() {
			m.net.Hold(x.host, d)
		}
	}},
	{"machines can only be called", 2 * sec, 40 * sec, func(m *faultCombination, d time.Duration) {
		for _, x := range m.pickMachines() {
			during(d, func(on bool) { m.net.RefuseOutbound(x.host, on) })
		}
	}},
	{"machines hang", 2 * sec, 30 * sec, func(m *faultCombination, d time.Duration) {
		for _, x := range m.pickMachines() {
			x.Pause(d)
		}
	}},
	{"machines reboot", 0, 0, func(m *faultCombination, _ time.Duration) {
		for _, x := range m.pickMachines() {
			m.reboot(x.id, x.host, x, m.faultRNG)
		}
	}},
	{"machines die", 0, 0, func(m *faultCombination, _ time.Duration) {
		for _, x := range m.pickMachines() {
			m.cloud.Crash(x.id)
		}
	}},
	{"a zone is cut off", 2 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		zone := []string{"a", "b"}[m.faultRNG.IntN(2)]
		during(d, func(on bool) { m.net.IsolateZone(zone, on) })
	}},
	{"spot machines are taken", 10 * sec, 10 * sec, func(m *faultCombination, d time.Duration) {
		notice := []time.Duration{0, 3 * sec, d}[m.faultRNG.IntN(3)]
		m.cloud.EachRunning(func(l wire.ListedMachine, _ simulator.Machine) {
			if l.Spot {
				m.cloud.Preempt(l.ID, notice)
			}
		})
	}},
	{"the cloud is in trouble", 5 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		change := []func(f *simulator.CloudFaults){
			func(f *simulator.CloudFaults) { f.Unavailable = true },
			func(f *simulator.CloudFaults) { f.MissingCapacityShare = 1 },
			func(f *simulator.CloudFaults) { f.RentDelay = 8 * sec },
			func(f *simulator.CloudFaults) { f.NeverBootShare = 0.5 },
		}[m.faultRNG.IntN(4)]
		m.cloud.SetFaults(change)
		time.AfterFunc(d, func() { m.cloud.SetFaults(func(f *simulator.CloudFaults) { *f = simulator.CloudFaults{} }) })
	}},
	{"writes are taken, their answers lost", 10 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		share, kindIndex, stepRNG := []int{30, 60, 100}[m.faultRNG.IntN(3)], m.faultRNG.IntN(3), rand.New(rand.NewPCG(m.faultRNG.Uint64(), 7))
		kind := []string{"", "ledger/", "batch/"}[kindIndex]
		during(d, func(on bool) {
			m.store.Configure(func(s *simulator.StateService) {
				if s.OutcomeOf, s.OnCommit = nil, nil; !on {
					return
				}
				lost := false
				s.OutcomeOf = func(puts map[string]wire.Raw) simulator.TxnOutcome {
					lost = false
					for key := range puts {
						lost = lost || strings.HasPrefix(key, store.StatePrefix+kind)
					}
					if lost = lost && m.draw(stepRNG, 100) < share; lost {
						return simulator.TxnReplyLost
					}
					return simulator.TxnAnswered
				}
				s.OnCommit = func([]string) {
					if lost {
						faultCounts.committedWithoutReply.Add(1)
					}
					lost = false
				}
			})
		})
	}},
	{"heartbeats are kept for the next leader", 40 * sec, 60 * sec, func(m *faultCombination, d time.Duration) {
		m.heartbeatReplayer.KeepForNextLeader([]float64{0.1, 0.5, 1}[m.faultRNG.IntN(3)])
		token, before := m.lastFencingToken(), m.heartbeatReplayer.DeliveredToNewLeader()
		m.group.Go(func() {
			end := time.Now().Add(d - 6*sec)
			for crashAt := time.Now().Add(d / 4); m.lastFencingToken() == token && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if time.Now().After(crashAt) { // no other fault has replaced the leader
					crashAt = end
					m.crash(max(0, m.anyLeader()), 15*sec, 0)
				}
			}
			time.Sleep(5 * sec) // the new leader has taken over, and the heartbeats have arrived there
			m.replayedToNewLeader.Add(int64(m.heartbeatReplayer.DeliveredToNewLeader() - before))
			m.heartbeatReplayer.KeepForNextLeader(0)
		})
	}},
	{"many jobs are cancelled at once", 0, 0, func(m *faultCombination, _ time.Duration) { m.cancelRunning(0) }},
	{"many jobs are cancelled at once, and their machines hang", 2 * sec, 30 * sec, func(m *faultCombination, d time.Duration) { m.cancelRunning(d) }},
	{"jobs are cancelled at their end", 10 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		m.group.Go(func() {
			m.atJobEnds(d, -300*time.Millisecond, func(c *client) {
				if c.untilAnswered(c.cancel) == 200 {
					faultCounts.cancelledAtEnd.Add(1)
				}
			})
		})
	}},
	{"users look closely", 10 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		m.tasks.setConcurrentReads(d)
		m.group.Go(func() { m.atJobEnds(d, 0, func(c *client) { c.readConcurrently(8) }) })
	}},
	{"requests are odd", 5 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		rng := rand.New(rand.NewPCG(m.faultRNG.Uint64(), 7))
		m.group.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond) {
				m.sendMalformed(rng)
			}
		})
	}},
	{"machines are up at once", 20 * sec, 50 * sec, func(m *faultCombination, d time.Duration) {
		boot := time.Duration(200+m.faultRNG.IntN(1700)) * time.Millisecond
		m.tasks.setInstantBoot(d + boot)
		during(d, func(on bool) {
			m.cloud.SetFaults(func(*simulator.CloudFaults) {
				m.cloud.BootTime, m.cloud.Capacity = 5*sec, 6
				if on { // some more machines are available too
					m.cloud.BootTime, m.cloud.Capacity = boot, 9
				}
			})
		})
		for k := range 3 {
			j := jobOf(fmt.Sprintf("wk-7%05d", len(m.allClients())), wire.Array, 3, 8*sec, func(j *wire.Job) { j.GPUs = 4 }) // needs the additional machines
			m.addClient(j, d*time.Duration(k)/4, 0, 8*sec)
		}
	}},
}

// cancelRunning makes users cancel most of the running jobs that have long to go, within a fifth of a
// second. If hang is not 0, it pauses up to 8 machines on which these jobs run for that long.
func (m *faultCombination) cancelRunning(hang time.Duration) {
	paused := 0
	for _, c := range m.allClients() {
		if c.maxRunTime < 40*sec || m.checker.RunningTasks(c.job.ID) == 0 || m.checker.Stage(c.job.ID).Final() || m.faultRNG.IntN(4) == 0 {
			continue
		}
		counts := &faultCounts.cancelledTogether
		for _, x := range m.runningMachines() {
			if hang > 0 && paused < 8 && m.tasks.ranOn(x.id, c.job) {
				paused, counts = paused+1, &faultCounts.cancelledWhilePaused
				x.Pause(hang)
			}
		}
		delay := time.Duration(m.faultRNG.IntN(200)) * time.Millisecond
		m.group.Go(func() {
			time.Sleep(delay)
			if c.untilAnswered(c.cancel) == 200 && m.checker.Stage(c.job.ID) == wire.Cancelled {
				counts.Add(1)
			}
		})
	}
}

// atJobEnds calls do, during d, for each job close to the end of its last task: between from (at most 0)
// and half a second after that end.
func (m *faultCombination) atJobEnds(d, from time.Duration, do func(c *client)) {
	rng, handled := rand.New(rand.NewPCG(m.number, 23)), map[*client]bool{}
	const step = 200 * time.Millisecond
	for start := time.Now(); time.Since(start) < d && m.ctx.Err() == nil; time.Sleep(step) {
		for _, c := range m.allClients() {
			jobEnd, ok := m.tasks.jobEnd(c.job)
			if wait := time.Until(jobEnd) + from; !ok || handled[c] || wait > step || wait < -step || m.checker.Stage(c.job.ID).Final() {
				continue
			}
			handled[c] = true
			wait := time.Until(jobEnd) + from + time.Duration(rng.IntN(int((500*time.Millisecond-from)/time.Millisecond)))*time.Millisecond
			m.group.Go(func() {
				time.Sleep(wait)
				do(c)
			})
		}
	}
}

// sendMalformed sends an unusual request: a repeated submission, possibly with different content, the
// cancellation of a job that is done, or a new job that lacks a field, has an invalid one or can never
// run.
func (m *faultCombination) sendMalformed(rng *rand.Rand) {
	users := m.allClients()
	c := users[rng.IntN(len(users))]
	switch stage := m.checker.Stage(c.job.ID); {
	case stage == wire.Done && rng.IntN(2) == 0:
		if c.cancel(c.anyController()) == 200 {
			faultCounts.malformedRequests.Add(1)
		}
		return
	case stage != "" && rng.IntN(2) == 0:
		c.ask(c.anyController(), 5*sec, "POST", wire.PathJobs, c.body())
		return
	}
	j, wantStatus := jobOf(fmt.Sprintf("wk-8%05d", rng.IntN(1e5)), wire.Array, 1+rng.IntN(3), 10*sec), 422
	var fields map[string]any
	switch rng.IntN(6) {
	case 0:
		j.Team = "nobody"
	case 1:
		j.CPUs = g4.CPUs + 1
	case 2:
		j.Types = []string{"none"}
	case 3:
		j.Team, j.Shape, j.GPUs, j.Tasks = "red", wire.Gang, 4, 2 // the limit of team red is 6 GPUs
	default:
		wantStatus = 400
		_ = wire.DecodeValue(wire.Encode(j), &fields)
		names := slices.DeleteFunc(slices.Sorted(maps.Keys(fields)), func(name string) bool { return fields[name] == nil })
		if name := names[rng.IntN(len(names))]; rng.IntN(2) == 0 {
			delete(fields, name)
		} else {
			fields[name] = []any{nil, []string{"x"}, -1}[rng.IntN(3)]
		}
	}
	body := wire.Encode(j)
	if wantStatus == 400 {
		body = wire.Encode(fields)
	}
	resp, err := m.request(rng.IntN(m.count), 5*sec, "POST", wire.PathJobs, body)
	switch {
	case err != nil || resp.Status == 429 || resp.Status >= 500:
	case resp.Status != wantStatus:
		m.t.Errorf("submission with fields %v of job %+v is answered %d instead of %d", fields, j, resp.Status, wantStatus)
	default:
		faultCounts.malformedRequests.Add(1)
	}
}

// faultPair returns the two faults of a case. With n faults, the first n cases contain each fault once as
// the first and once as the second, and the first n*n cases contain every ordered pair.
func faultPair(number uint64) (first, second *combinedFault) {
	n := uint64(len(combinedFaults))
	i, round := number%n, number/n%n
	return &combinedFaults[i], &combinedFaults[(i+7+round*5)%n] // 5 and the number of faults have no common divisor
}

// drawFaultTriple draws the three faults of a case.
func drawFaultTriple(number uint64) (out []*combinedFault) {
	for _, i := range rand.New(rand.NewPCG(number, 21)).Perm(len(combinedFaults))[:3] {
		out = append(out, &combinedFaults[i])
	}
	return out
}

// faultCounts counts the effects of faults over all cases that were run, to verify that each kind of
// fault takes effect.
var faultCounts struct {
	played, delayedWrites, delayedWritesCommitted, replayedHeartbeats, takeovers, cancelled, twoShards, committedWithoutReply, heartbeatsToNewLeader, cancelledTogether, cancelledWhilePaused, cancelledAtEnd, concurrentPolls, malformedRequests, bootStarts atomic.Int64
}

// playCombinedFaults runs a simulation in which faults overlap while jobs of every shape run, among them
// arrays whose tasks end far apart, and users cancel jobs at all controllers before, during and after the
// faults. No fault is active when it checks that all jobs end.
func playCombinedFaults(t *testing.T, number uint64, faults ...*combinedFault) {
	rng := rand.New(rand.NewPCG(number, 20))
	d := drawCombination(rng, number, faults)
	w := newProxiedSimulation(t, d.count, number, func(c *config.Config) {
		c.Zone = []string{"a", "b"}[controllerNumber(c.Name)%2]
		c.Tuning.Shards.By, c.Tuning.MaxDirectHeartbeats, c.Tuning.HeartbeatTimeout = d.sharding, d.directHeartbeats, d.heartbeatTimeout
	})
	w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Capacity = 6 })
	w.checker.Liveness.MaxPending = 4 * time.Minute
	w.checker.Liveness.SetFaultFreeSince(time.Time{})
	m := &faultCombination{simulation: w, number: number, faultRNG: rng}
	defer func() {
		if t.Failed() {
			t.Log(d)
		}
	}()
	log(d)

	firstStart := 24*sec + time.Duration(rng.IntN(6000))*time.Millisecond
	starts, lastEnd, at := make([]time.Duration, len(faults)), time.Duration(0), firstStart
	for k := range faults {
		at += d.offsets[k]
		starts[k], lastEnd = at, max(lastEnd, at+d.lengths[k])
	}
	m.submitJobs(firstStart, starts[1], lastEnd)
	start, token := time.Now(), uint64(0)
	for k, x := range faults {
		time.Sleep(time.Until(start.Add(starts[k])))
		if k == 0 {
			token = w.lastFencingToken()
		}
		m.pickTarget()
		log(x.name, "for", d.lengths[k], "about", m.target)
		x.apply(m, d.lengths[k])
	}
	time.Sleep(time.Until(start.Add(lastEnd)))
	log("faults are over")
	w.finishQuietly(100*sec, 10*time.Minute)
	m.countEffects(token, d.sharding)
}

// drawnCombination holds the drawn parameters of a combination of faults.
type drawnCombination struct {
	number           uint64
	faults           []*combinedFault
	lengths, offsets []time.Duration // an offset counts from the start of the previous fault
	sharding         string
	count            int // number of controllers
	directHeartbeats int
	heartbeatTimeout time.Duration
}

// drawCombination draws when each fault starts, how long it lasts, and the controllers' settings.
func drawCombination(rng *rand.Rand, number uint64, faults []*combinedFault) drawnCombination {
	// Each fault starts close to one of timeBounds after the start of the previous one, or close to the end
	// of that.
	d := drawnCombination{number: number, faults: faults, lengths: make([]time.Duration, len(faults)), offsets: make([]time.Duration, len(faults))}
	for k, x := range faults {
		d.lengths[k] = drawNearBound(rng, x.minLength, x.maxLength)
	}
	for k := range faults[1:] {
		if d.offsets[k+1] = drawNearBound(rng, 0, 46*sec); rng.IntN(2) == 0 {
			d.offsets[k+1] = max(0, d.lengths[k]+time.Duration(rng.IntN(5000)-1500)*time.Millisecond)
		}
	}
	d.sharding, d.count = []string{"off", "zone"}[rng.IntN(2)], []int{3, 3, 5}[rng.IntN(3)]
	d.directHeartbeats = []int{0, 2, 200}[rng.IntN(3)]
	d.heartbeatTimeout = []time.Duration{0, 0, time.Hour}[rng.IntN(3)]
	return d
}

func (d drawnCombination) String() string {
	text := fmt.Sprintf("case %d:", d.number)
	for k, x := range d.faults {
		text += fmt.Sprintf(" %v later %s for %v;", d.offsets[k], x.name, d.lengths[k])
	}
	return text + fmt.Sprintf(" shards by %s, %d controllers, %d direct heartbeats, heartbeat timeout %v", d.sharding, d.count, d.directHeartbeats, d.heartbeatTimeout)
}

// countEffects adds the effects of the faults to faultCounts. token is the fencing token before the first
// fault.
func (m *faultCombination) countEffects(token uint64, sharding string) {
	faultCounts.played.Add(1)
	delayed, committed := m.store.DelayedCounts()
	faultCounts.delayedWrites.Add(int64(delayed))
	faultCounts.delayedWritesCommitted.Add(int64(committed))
	faultCounts.replayedHeartbeats.Add(int64(m.heartbeatReplayer.Delivered()) - m.replayedToNewLeader.Load())
	faultCounts.heartbeatsToNewLeader.Add(m.replayedToNewLeader.Load())
	faultCounts.takeovers.Add(int64(m.lastFencingToken() - token))
	faultCounts.cancelled.Add(m.tasks.cancelled.Load())
	faultCounts.concurrentPolls.Add(m.tasks.polls.Load())
	faultCounts.bootStarts.Add(m.tasks.startsAtBoot.Load())
	if sharding == "zone" {
		faultCounts.twoShards.Add(1)
	}
}

// submitJobs makes users submit jobs and cancel some of them around the start of the first fault, the
// start of the second one and the end of the last one.
func (m *faultCombination) submitJobs(firstStart, secondStart, lastEnd time.Duration) {
	n := 0
	job := func(shape wire.Shape, tasks int, change func(j *wire.Job), submit, cancel time.Duration, runs ...time.Duration) {
		n++
		j := jobOf(fmt.Sprintf("wk-%06d", n), shape, tasks, runs[0], func(j *wire.Job) { j.Image = fmt.Sprint("img-", n%2) })
		if change != nil {
			change(j)
		}
		m.addClient(j, submit, cancel, runs...)
	}
	jitter := func(around time.Duration, ms int) time.Duration {
		return max(14*sec, around+time.Duration(m.faultRNG.IntN(2*ms)-ms)*time.Millisecond)
	}
	early := 6 * sec
	job(wire.Service, 4, spreadOverZones, early, lastEnd+60*sec, serviceRunTime)
	job(wire.Service, 2, spreadOverZones, early, jitter(secondStart, 1500), serviceRunTime)
	job(wire.Gang, 3, func(j *wire.Job) { withCheckpoints(j); j.OneZone, j.Priority = true, wire.High }, early, 0, 70*sec)
	job(wire.Gang, 2, spreadOverZones, early, 0, 40*sec)
	job(wire.Gang, 2, withCheckpoints, early, jitter(firstStart, 1500), 5*time.Minute)
	job(wire.Array, 3, nil, early, 0, 12*sec, 45*sec, 100*sec)
	job(wire.Array, 2, func(j *wire.Job) { withCheckpoints(j); j.Spot = true }, early, 0, 30*sec, 80*sec)
	job(wire.Array, 3, teamRed, early, 0, 18*sec, 35*sec, 75*sec)
	job(wire.Array, 4, teamRed, early, 0, 20*sec)
	job(wire.Array, 3, spreadOverZones, early, jitter(secondStart+1*sec, 2000), 20*sec, 5*time.Minute)
	job(wire.Array, 2, nil, early, jitter(firstStart+(lastEnd-firstStart)/2, int((lastEnd-firstStart).Milliseconds())/2+1), 5*time.Minute)
	job(wire.Array, 2, func(j *wire.Job) { j.Zone, j.Spot = "a", true }, early, jitter(lastEnd, 2000), 25*sec, 5*time.Minute)
	job(wire.Array, 2, inOneZone, early, lastEnd+5*sec, 5*time.Minute)
	for k := range 5 { // while the faults are active
		submit := jitter(firstStart, 2000) + time.Duration(m.faultRNG.Int64N(int64(lastEnd-firstStart+sec)))
		cancel := time.Duration(0)
		if k%2 == 1 {
			cancel = submit + time.Duration(m.faultRNG.IntN(6000))*time.Millisecond
		}
		job(wire.Array, 1+k%3, nil, submit, cancel, 4*sec, 9*sec, 20*sec)
	}
	job(wire.Gang, 2, withCheckpoints, jitter(secondStart, 2000), 0, 15*sec)
}

// caseRange returns the range of cases that environment variables select: the one whose name ends in S
// selects the first N cases, or FROM-TO; the one without the S selects a single case. By default it is the
// first defaultCount cases.
func caseRange(variable string, defaultCount uint64) (from, to uint64) {
	to = defaultCount
	if text := os.Getenv(variable + "S"); text != "" {
		first, end, ranged := strings.Cut(text, "-")
		if to, _ = strconv.ParseUint(first, 10, 64); ranged {
			from = to
			to, _ = strconv.ParseUint(end, 10, 64)
		}
	}
	if text := os.Getenv(variable); text != "" {
		from, _ = strconv.ParseUint(text, 10, 64)
		to = from + 1
	}
	return from, to
}

// playCaseRange runs a range of cases as parallel subtests.
func playCaseRange(t *testing.T, from, to uint64, faults func(number uint64) []*combinedFault) {
	t.Run("cases", func(t *testing.T) {
		for n := from; n < to; n++ {
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playCombinedFaults(t, n, faults(n)...) })
			})
		}
	})
}

// TestFaultPairs checks that no rule is violated while two faults overlap. By default every fault is once
// the first and once the second of a pair. AMBERDEAL_MEETINGS selects the cases, as N or FROM-TO: as many
// cases as the square of the number of faults contain all ordered pairs, and further cases repeat them at
// other offsets. AMBERDEAL_MEETING selects a single case.
func TestFaultPairs(t *testing.T) {
	from, to := caseRange("AMBERDEAL_MEETING", uint64(len(combinedFaults)))
	playCaseRange(t, from, to, func(number uint64) []*combinedFault {
		first, second := faultPair(number)
		return []*combinedFault{first, second}
	})
	if n := uint64(faultCounts.played.Load()); n < uint64(len(combinedFaults)) || n < to-from {
		return // only some cases were run
	}
	for what, n := range map[string]*atomic.Int64{"writes put off": &faultCounts.delayedWrites, "writes that were put off and taken": &faultCounts.delayedWritesCommitted, "replayed heartbeats": &faultCounts.replayedHeartbeats,
		"claims": &faultCounts.takeovers, "jobs cancelled": &faultCounts.cancelled, "days in two shards": &faultCounts.twoShards,
		"writes taken without an answer": &faultCounts.committedWithoutReply, "heartbeats kept for the next leader": &faultCounts.heartbeatsToNewLeader, "jobs cancelled at once": &faultCounts.cancelledTogether,
		"jobs cancelled while their machines hang": &faultCounts.cancelledWhilePaused, "jobs cancelled at their end": &faultCounts.cancelledAtEnd, "close looks": &faultCounts.concurrentPolls,
		"odd requests answered": &faultCounts.malformedRequests, "tasks on machines that were up at once": &faultCounts.bootStarts} {
		if t.Logf("%d %s", n.Load(), what); n.Load() == 0 {
			t.Errorf("no %s in any of these cases", what)
		}
	}
}

// TestFaultTriples checks that no rule is violated while three randomly drawn faults overlap.
// AMBERDEAL_THREES selects the cases, as N or FROM-TO, AMBERDEAL_THREE selects a single case.
func TestFaultTriples(t *testing.T) {
	from, to := caseRange("AMBERDEAL_THREE", 3)
	playCaseRange(t, from, to, drawFaultTriple)
}

// TestFaultPairsAreComplete checks that faultPair enumerates every ordered pair, and that the default
// cases contain every fault both as the first and as the second.
func TestFaultPairsAreComplete(t *testing.T) {
	n := uint64(len(combinedFaults))
	seen, firsts, seconds := map[[2]string]bool{}, map[string]bool{}, map[string]bool{}
	for number := range n * n {
		first, second := faultPair(number)
		seen[[2]string{first.name, second.name}] = true
		if number < n {
			firsts[first.name], seconds[second.name] = true, true
		}
	}
	if uint64(len(seen)) != n*n || uint64(len(firsts)) != n || uint64(len(seconds)) != n {
		t.Errorf("%d of %d pairs; the default cases have %d first and %d second faults", len(seen), n*n, len(firsts), len(seconds))
	}
	names := make([]string, 0, n)
	for _, x := range combinedFaults {
		names = append(names, x.name)
	}
	slices.Sort(names)
	if len(slices.Compact(names)) != int(n) {
		t.Error("two faults have the same name")
	}
}
