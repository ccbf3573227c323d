package simtest

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/wire"
)

// queuedJob is one of the jobs of a case in blockedQueueCases.
type queuedJob struct {
	shape    wire.Shape
	team     string
	priority wire.Priority
	tasks    int
	gpus     float64
	run      time.Duration
	change   func(*wire.Job) // changes further fields, if set
}

// untilCancelled is the run time of jobs that end only when they are cancelled, after 4 minutes.
const untilCancelled = 10 * time.Minute

// blockedQueueCases lists jobs in the order of their submission, by what keeps an earlier job from starting.
// There is capacity and quota for the last job.
var blockedQueueCases = map[string][]queuedJob{
	"a task of its team needs more than the limit leaves": {
		{wire.Array, "red", wire.High, 2, 4, 4 * time.Minute, nil},
		{wire.Service, "blue", wire.Production, 3, 1, untilCancelled, nil},
		{wire.Array, "red", wire.Normal, 1, 1, 20 * time.Second, nil}},
	"a task of its team and priority needs more than the limit leaves": {
		{wire.Array, "red", wire.Normal, 2, 4, 4 * time.Minute, nil},
		{wire.Service, "blue", wire.Production, 3, 1, untilCancelled, nil},
		{wire.Array, "red", wire.Normal, 2, 1, 20 * time.Second, nil}},
	"a gang of its team needs more than the limit leaves": {
		{wire.Service, "red", wire.Production, 1, 1, untilCancelled, nil},
		{wire.Gang, "red", wire.High, 3, 2, 20 * time.Second, nil},
		{wire.Array, "red", wire.Low, 1, 1, 20 * time.Second, nil}},
	"a gang needs more than the cloud has": {
		{wire.Service, "blue", wire.Production, 9, 1, untilCancelled, nil},
		{wire.Gang, "blue", wire.High, 9, 4, 20 * time.Second, nil},
		{wire.Array, "blue", wire.Low, 1, 1, 20 * time.Second, nil},
		{wire.Gang, "blue", wire.Low, 2, 1, 20 * time.Second, nil}},
	"a gang needs more than its zone has": {
		{wire.Service, "blue", wire.Production, 5, 1, untilCancelled, func(j *wire.Job) { j.Zone = "a" }},
		{wire.Gang, "blue", wire.High, 5, 4, 20 * time.Second, func(j *wire.Job) { j.OneZone = true }},
		{wire.Array, "blue", wire.Low, 1, 1, 20 * time.Second, func(j *wire.Job) { j.Zone = "a" }}},
	"an array is larger than the cloud": {
		{wire.Service, "blue", wire.Production, 4, 3, untilCancelled, nil},
		{wire.Array, "blue", wire.High, 40, 4, 4 * time.Minute, nil},
		{wire.Array, "blue", wire.Low, 1, 1, 20 * time.Second, nil}},
	"a spread production service finds a zone full": {
		{wire.Array, "blue", wire.High, 4, 4, untilCancelled, func(j *wire.Job) { j.Zone = "b" }},
		{wire.Service, "blue", wire.Production, 4, 3, untilCancelled, func(j *wire.Job) { j.Spread = true }},
		{wire.Array, "blue", wire.Low, 2, 1, 20 * time.Second, func(j *wire.Job) { j.OneZone = true }}},
}

// TestNoJobWaitsBesideIdleCapacity checks that jobs which cannot start yet do not block a later job
// for which there is capacity and quota. No faults are injected. AMBERDEAL_WAITING runs the cases with
// a single shard too.
func TestNoJobWaitsBesideIdleCapacity(t *testing.T) {
	for name, jobs := range blockedQueueCases {
		for _, by := range []string{"zone", "off"} {
			if by == "off" && os.Getenv("AMBERDEAL_WAITING") == "" {
				continue
			}
			t.Run(fmt.Sprint(name, ", shards by ", by), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runBlockedQueue(t, jobs, by) })
			})
		}
	}
}

// runBlockedQueue submits the jobs in order. The checker reports jobs that wait although there is capacity
// for them.
func runBlockedQueue(t *testing.T, jobs []queuedJob, by string) {
	w := newSimulation(t, 71, 0, func(c *config.Config) { c.Tuning.Shards.By = by })
	time.Sleep(8 * time.Second)
	for i, c := range jobs {
		j := &wire.Job{ID: fmt.Sprint("wk-", i+1), Class: "c", Team: c.team, Shape: c.shape, Priority: c.priority, Tasks: c.tasks, CPUs: 1, GPUs: c.gpus, MemoryGB: 4, Image: "img", ImageGB: 1, EstimateS: c.run.Seconds()}
		if c.change != nil {
			c.change(j)
		}
		w.startUser(j, c.run, 4*time.Minute)
		time.Sleep(20 * time.Second)
	}
	w.declareQuiet()
	time.Sleep(150 * time.Second)
	w.finish(20 * time.Minute)
	w.checkResults()
}
