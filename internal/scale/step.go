package scale

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
)

// fullFraction is the fraction of the fleet's capacity that has to be in use for the fleet to count as full. The
// measurement of a step starts once it is full, or when FillTimeout has passed.
const fullFraction = 0.9

// runStep runs and measures a step.
func runStep(ctx context.Context, p *Plan, step Point, program string, port int) (*Outcome, error) {
	t, err := startTestbed(ctx, p, step, program, port)
	if err != nil {
		return nil, err
	}
	defer t.close()
	working, stop := context.WithCancel(ctx)
	defer stop()
	t.loadGen.group.Go(func() { t.loadGen.fillCapacity(working); t.loadGen.submitAtTargetRate(working) })
	t.loadGen.group.Go(func() { t.loadGen.submitUrgentJobs(working, p.UrgentRate) })
	agentErr := make(chan error, 1)
	if len(p.ActionsPerAgent) > 0 {
		t.loadGen.group.Go(func() { agentErr <- t.agents.runActions(working) })
	}
	o := &Outcome{Step: step}
	t.waitUntilFull(ctx, o)
	before := t.takeSample()
	pause(ctx, p.MeasureDuration)
	after := t.takeSample()
	leader, err := t.leader()
	if err != nil {
		return nil, err
	}
	t.record(o, before, after, leader)
	t.measureFailover(ctx, o, leader)
	stop()
	t.loadGen.group.Wait()
	t.recordLoad(o)
	select {
	case err := <-agentErr:
		if err != nil {
			return nil, fmt.Errorf("agents: %w", err)
		}
	default:
	}
	return o, ctx.Err()
}

// waitUntilFull waits until the fleet is full or FillTimeout has passed.
func (t *testbed) waitUntilFull(ctx context.Context, o *Outcome) {
	begun, required := time.Now(), int(fullFraction*float64(t.loadGen.taskCapacity()))
	for ctx.Err() == nil && time.Since(begun) < t.plan.FillTimeout && !o.FleetFull {
		pause(ctx, 200*time.Millisecond)
		o.FleetFull = t.cluster.Status().RunningTasks >= required
	}
	o.FillSeconds = time.Since(begun).Seconds()
}

// record records what each role used between two samples.
func (t *testbed) record(o *Outcome, before, after sample, leader string) {
	seconds := after.at.Sub(before.at).Seconds()
	o.Up, o.TasksRunning = after.status.Up, after.status.RunningTasks
	starts := float64(after.tasksStarted - before.tasksStarted)
	o.StartsReached = starts / seconds
	flows := subtractFlows(before.traffic, after.traffic)
	if starts > 0 {
		o.BytesPerStart = float64(flows[emulator.Direction{From: leader, To: emulator.StateName}].Bytes) / starts
	}
	followers := 0.0
	var followersUsage controllerUsage
	for name, usage := range after.usage {
		controller := newControllerUsage(name, name == leader, usage, before.usage[name], flows, seconds)
		if name == leader {
			controller.record(o, Leader)
			continue
		}
		followersUsage = followersUsage.plus(controller)
		followers++
	}
	if followers > 0 {
		followersUsage.dividedBy(followers).record(o, Follower)
	}
	for machineType, usage := range after.agents {
		role := Role(fmt.Sprintf("%s with %s actions at once", Agent, machineType[len("agent-"):]))
		o.add(role, CPU, (usage.cpuTime-before.agents[machineType].cpuTime).Seconds()/seconds)
		o.add(role, Memory, megabytes(usage.peakMemory))
	}
	t.recordWorkers(o, flows, seconds)
	o.add(StateService, Keys, float64(after.status.Keys))
	o.add(StateService, Requests, float64(after.status.Requests-before.status.Requests)/seconds)
	o.add(StateService, Changes, float64(after.status.Changes-before.status.Changes)/seconds)
	recordFlows(o, StateService, flowTo(flows, emulator.StateName), flowFrom(flows, emulator.StateName), seconds)
	t.recordLinks(o, flows, seconds)
}

// recordWorkers records what an emulated worker sends and receives, on average.
func (t *testbed) recordWorkers(o *Outcome, flows map[emulator.Direction]emulator.Flow, seconds float64) {
	workers := float64(max(1, o.Up-len(t.plan.ActionsPerAgent)))
	recordFlows(o, Worker, flowTo(flows, emulator.Machines), flowFrom(flows, emulator.Machines), seconds*workers)
}

// recordLinks records the traffic from one controller to another, on average over all ordered pairs.
func (t *testbed) recordLinks(o *Outcome, flows map[emulator.Direction]emulator.Flow, seconds float64) {
	var sum emulator.Flow
	for direction, flow := range flows {
		if isController(direction.From) && isController(direction.To) {
			sum = sum.Add(flow)
		}
	}
	n := float64(t.clusterConfig.Controllers)
	o.add(Link, BytesOut, float64(sum.Bytes)/1000/seconds/(n*(n-1)))
	o.add(Link, MessagesOut, float64(sum.Messages)/seconds/(n*(n-1)))
}

// measureFailover kills the leader and waits for FailoverDuration. It records when the next leader was elected;
// the load generator counts the start times of urgent jobs from the kill on separately.
func (t *testbed) measureFailover(ctx context.Context, o *Outcome, leader string) {
	token, killed := t.cluster.Status().FencingToken, time.Now()
	t.loadGen.markLeaderKilled(killed)
	t.procs.Kill(controllerNumber(leader)) // it is not restarted
	for ctx.Err() == nil && time.Since(killed) < t.plan.FailoverDuration {
		if o.FailoverSeconds == 0 && t.cluster.Status().FencingToken > token {
			o.FailoverSeconds = time.Since(killed).Seconds()
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// recordLoad records what the load generator measured, once all its goroutines have ended.
func (t *testbed) recordLoad(o *Outcome) {
	g := t.loadGen
	g.close(time.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	o.Accept, o.Start, o.Urgent, o.FailoverStart = load.TimesOf(g.acceptTimes), load.TimesOf(g.startTimes), load.TimesOf(g.urgentStartTimes), load.TimesOf(g.failoverStartTimes)
	o.Submitted, o.FailedSubmissions, o.Actions = int(g.acceptedJobs.Load()), int(g.failedSubmissions.Load()), int(t.agents.completedActions.Load())
	o.Violations = t.cluster.Status().Violations
}

// controllerUsage is what a controller used during a measurement.
type controllerUsage struct {
	cpuShare, peakMegabytes float64
	in, out                 flowRate
}

// flowRate is a traffic rate in kilobytes and messages per second.
type flowRate struct{ kilobytes, messages float64 }

func (f flowRate) plus(other flowRate) flowRate {
	return flowRate{f.kilobytes + other.kilobytes, f.messages + other.messages}
}

func rateOf(f emulator.Flow, seconds float64) flowRate {
	return flowRate{float64(f.Bytes) / 1000 / seconds, float64(f.Messages) / seconds}
}

// newControllerUsage returns what a controller used between two samples. Calls to machines do not carry the name
// of the calling controller; they are attributed to the leader.
func newControllerUsage(name string, isLeader bool, usage, before processUsage, flows map[emulator.Direction]emulator.Flow, seconds float64) controllerUsage {
	in, out := flowTo(flows, name), flowFrom(flows, name)
	if isLeader {
		in, out = in.Add(flowTo(flows, emulator.Controllers)), out.Add(flowFrom(flows, emulator.Controllers))
	}
	return controllerUsage{(usage.cpuTime - before.cpuTime).Seconds() / seconds, megabytes(usage.peakMemory), rateOf(in, seconds), rateOf(out, seconds)}
}

func (c controllerUsage) plus(other controllerUsage) controllerUsage {
	return controllerUsage{c.cpuShare + other.cpuShare, max(c.peakMegabytes, other.peakMegabytes), c.in.plus(other.in), c.out.plus(other.out)}
}

// dividedBy returns the mean of a sum over n controllers. Memory is not divided: it is the maximum over them.
func (c controllerUsage) dividedBy(n float64) controllerUsage {
	return controllerUsage{c.cpuShare / n, c.peakMegabytes, flowRate{c.in.kilobytes / n, c.in.messages / n}, flowRate{c.out.kilobytes / n, c.out.messages / n}}
}

func (c controllerUsage) record(o *Outcome, role Role) {
	o.add(role, CPU, c.cpuShare)
	o.add(role, Memory, c.peakMegabytes)
	o.add(role, BytesIn, c.in.kilobytes)
	o.add(role, BytesOut, c.out.kilobytes)
	o.add(role, MessagesIn, c.in.messages)
	o.add(role, MessagesOut, c.out.messages)
}

func recordFlows(o *Outcome, role Role, in, out emulator.Flow, seconds float64) {
	received, sent := rateOf(in, seconds), rateOf(out, seconds)
	o.add(role, BytesIn, received.kilobytes)
	o.add(role, BytesOut, sent.kilobytes)
	o.add(role, MessagesIn, received.messages)
	o.add(role, MessagesOut, sent.messages)
}

func subtractFlows(before, after map[emulator.Direction]emulator.Flow) map[emulator.Direction]emulator.Flow {
	out := make(map[emulator.Direction]emulator.Flow, len(after))
	for direction, flow := range after {
		out[direction] = flow.Sub(before[direction])
	}
	return out
}

func flowTo(flows map[emulator.Direction]emulator.Flow, end string) (sum emulator.Flow) {
	for direction, flow := range flows {
		if direction.To == end {
			sum = sum.Add(flow)
		}
	}
	return sum
}

func flowFrom(flows map[emulator.Direction]emulator.Flow, end string) (sum emulator.Flow) {
	for direction, flow := range flows {
		if direction.From == end {
			sum = sum.Add(flow)
		}
	}
	return sum
}

func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }
