package simtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// The tests of this file run clusters with hundreds of teams while controllers fail.

// teamNames returns n names of length bytes each.
func teamNames(n, length int) (names []string) {
	for i := range n {
		number := fmt.Sprintf("%04d", i)
		names = append(names, strings.Repeat("t", length-len(number))+number)
	}
	return names
}

// newTeamSimulation starts a simulation in which each team may use one GPU.
func newTeamSimulation(t *testing.T, names []string, changeSettings func(*config.Config)) *simulation {
	limits := make(map[string]float64)
	var teams []config.Team
	for _, name := range names {
		limits[name] = 1
		teams = append(teams, config.Team{Name: name, GPUsMax: 1})
	}
	w := newProxiedSimulation(t, 3, 1, func(c *config.Config) {
		if c.Teams = teams; changeSettings != nil {
			changeSettings(c)
		}
	})
	w.checker.GPULimits = limits
	return w
}

// teamJob returns a job of a team. A team's quota allows only one of its tasks to run at a time.
func teamJob(i int, team string, tasks int, run time.Duration) *wire.Job {
	return jobOf(fmt.Sprintf("wk-%06d", i), wire.Array, tasks, run, func(j *wire.Job) { j.Team, j.CPUs, j.MemoryGB = team, 1, 4 })
}

// TestManyTeams runs hundreds of teams, all of which have more work than their quotas allow. Every
// job has to be completed although the leader changes twice, and no quota may be exceeded. Half of
// the leaders end while all teams are at their quotas.
func TestManyTeams(t *testing.T) {
	for _, x := range []struct {
		teams, length, active int
	}{
		{530, 12, 530}, {530, 200, 60}, {2000, 12, 120},
	} {
		t.Run(fmt.Sprintf("%d teams with names of %d bytes", x.teams, x.length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				names := teamNames(x.teams, x.length)
				w := newTeamSimulation(t, names, nil)
				w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Capacity = 40 })
				const run = 8 * time.Second
				for i := range x.active {
					w.startClient(1, teamJob(i, names[i*len(names)/x.active], 3, run), time.Duration(i%20)*time.Second, 0, run)
				}
				rng := rand.New(rand.NewPCG(1, 40))
				for _, at := range []time.Duration{25 * time.Second, 30 * time.Second} {
					time.Sleep(at)
					w.handOverAll(handovers[0].apply, rng)
				}
				w.finishQuietly(0, 12*time.Minute)
				if token := w.lastFencingToken(); token < 3 {
					t.Errorf("fencing token is %d, want at least 3: the leader has not changed twice", token)
				}
			})
		})
	}
}

// TestTeamLeavesTheSettings removes a team from the settings of each controller as it restarts, while
// one job of the team runs and another waits. Both have to be completed within the team's previous
// quota, and later submissions for the team have to be refused.
func TestTeamLeavesTheSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var removed atomic.Bool
		names := teamNames(3, 8)
		w := newTeamSimulation(t, names, func(c *config.Config) {
			if removed.Load() {
				c.Teams = c.Teams[1:]
			}
		})
		const run = 15 * time.Second
		running, waiting := teamJob(1, names[0], 3, run), teamJob(2, names[0], 2, run)
		w.startClient(1, running, 0, 0, run)
		w.startClient(1, waiting, time.Second, 0, run)
		w.startClient(1, teamJob(3, names[1], 4, run), 0, 0, run)
		if !waitUntil(40*time.Second, func() bool { return w.checker.RunningTasks(running.ID)+w.checker.RunningTasks(waiting.ID) > 0 }) {
			t.Error("no job of the team has started within 40 s")
		}
		removed.Store(true)
		for i := range w.count {
			w.crash(i, time.Second, 0)
			time.Sleep(12 * time.Second)
		}
		late := w.client(teamJob(4, names[0], 1, run), rngOf(1, "late"), run)
		if status := late.submitUntilDecided(); status != 422 {
			t.Errorf("submission for a removed team is answered %d, want 422", status)
		}
		w.finishQuietly(0, 5*time.Minute)
		for _, j := range []*wire.Job{running, waiting} {
			if stage := w.checker.Stage(j.ID); stage != wire.Done {
				t.Errorf("%s is %s, want it done", j.ID, stage)
			}
		}
	})
}

// submitUntilDecided submits a job until a controller decides, and returns the status of its answer. The answer
// is not passed to the checker.
func (c *client) submitUntilDecided() (status int) {
	for c.ctx.Err() == nil {
		resp, err := c.request(c.anyController(), 5*time.Second, "POST", wire.PathJobs, wire.Encode(c.job))
		if err == nil && resp.Status != 503 {
			return resp.Status
		}
		time.Sleep(time.Second)
	}
	return 0
}
