package scale

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
)

// fullFraction is the share of the fleet's capacity that is in use when the measurement of a step
// starts.
const fullFraction = 0.9

// runStep runs and measures a step.
func runStep(ctx context.Context, p *Plan, step Point, program string, port int) (*Outcome, error) {
	s, err := startTestbed(ctx, p, step, program, port)
	if err != nil {
		return nil, err
	}
	defer s.close()
	working, stop := context.WithCancel(ctx)
	defer stop()
	s.loadGen.group.Go(func() { s.loadGen.fillCapacity(working); s.loadGen.submitAtTargetRate(working) })
	s.loadGen.group.Go(func() { s.loadGen.submitUrgentJobs(working, p.UrgentRate) })
	agentErr := make(chan error, 1)
	if len(p.ActionsPerAgent) > 0 {
		s.loadGen.group.Go(func() { agentErr <- s.agents.runActions(working) })
	}
	o := &Outcome{Step: step}
	s.waitUntilFull(ctx, o)
	before := s.takeSample()
	pause(ctx, p.MeasureDuration)
	after := s.takeSample()
	leader, err := s.leader()
	if err != nil {
		return nil, err
	}
	s.record(o, before, after, leader)
	s.measureFailover(ctx, o, leader)
	stop()
	s.loadGen.group.Wait()
	s.recordLoad(o)
	select {
	case err := <-agentErr:
		if err != nil {
			return nil, fmt.Errorf("agents: %w", err)
		}
	default:
	}
	return o, ctx.Err()
}

// waitUntilFull waits until the fleet is up and full, or its time is over.
func (s *testbed) waitUntilFull(ctx context.Context, o *Outcome) {
	begun, enough := time.Now(), int(fullFraction*float64(s.loadGen.taskCapacity()))
	for ctx.Err() == nil && time.Since(begun) < s.plan.FillTimeout && !o.FleetFull {
		pause(ctx, 200*time.Millisecond)
		o.FleetFull = s.cluster.Status().RunningTasks >= enough
	}
	o.FillSeconds = time.Since(begun).Seconds()
}

// record records what a site has used between two readings.
func (s *testbed) record(o *Outcome, before, after sample, leader string) {
	span := after.at.Sub(before.at).Seconds()
	o.WorkersUp, o.TasksRunning = after.status.Up, after.status.RunningTasks
	starts := float64(after.startedTasks - before.startedTasks)
	o.StartsReached = starts / span
	flows := subtractFlows(before.traffic, after.traffic)
	if starts > 0 {
		o.BytesPerStart = float64(flows[emulator.Direction{From: leader, To: emulator.StateName}].Bytes) / starts
	}
	others := 0.0
	var other controllerUsage
	for name, used := range after.controllers {
		figures := newControllerUsage(name, name == leader, used, before.controllers[name], flows, span)
		if name == leader {
			figures.record(o, Leader)
			continue
		}
		other = other.plus(figures)
		others++
	}
	if others > 0 {
		other.dividedBy(others).record(o, Follower)
	}
	for typ, used := range after.agents {
		role := Role(fmt.Sprintf("%s with %s actions at once", Agent, typ[len("agent-"):]))
		o.add(role, CPU, (used.cpuTime-before.agents[typ].cpuTime).Seconds()/span)
		o.add(role, Memory, megabytes(used.peakMemory))
	}
	s.recordWorkers(o, flows, span)
	o.add(StateService, Keys, float64(after.status.Keys))
	o.add(StateService, Requests, float64(after.status.Requests-before.status.Requests)/span)
	o.add(StateService, Changes, float64(after.status.Changes-before.status.Changes)/span)
	recordFlows(o, StateService, flowTo(flows, emulator.StateName), flowFrom(flows, emulator.StateName), span)
	s.recordLinks(o, flows, span)
}

// recordWorkers records what an emulated worker sends and receives.
func (s *testbed) recordWorkers(o *Outcome, flows map[emulator.Direction]emulator.Flow, span float64) {
	workers := float64(max(1, o.WorkersUp-len(s.plan.ActionsPerAgent)))
	recordFlows(o, Worker, flowTo(flows, emulator.Machines), flowFrom(flows, emulator.Machines), span*workers)
}

// recordLinks records the traffic between two controllers, in each direction.
func (s *testbed) recordLinks(o *Outcome, flows map[emulator.Direction]emulator.Flow, span float64) {
	var sum emulator.Flow
	for way, f := range flows {
		if isController(way.From) && isController(way.To) {
			sum = sum.Add(f)
		}
	}
	n := float64(s.clusterConfig.Controllers)
	o.add(Link, BytesOut, float64(sum.Bytes)/1000/span/(n*(n-1)))
	o.add(Link, MessagesOut, float64(sum.Messages)/span/(n*(n-1)))
}

// measureFailover kills the leader and records what happens to urgent work until the next
// election.
func (s *testbed) measureFailover(ctx context.Context, o *Outcome, leader string) {
	token, killed := s.cluster.Status().FencingToken, time.Now()
	s.loadGen.markLeaderKilled(killed)
	s.procs.Kill(controllerNumber(leader)) // for good
	for ctx.Err() == nil && time.Since(killed) < s.plan.FailoverDuration {
		if o.FailoverSeconds == 0 && s.cluster.Status().FencingToken > token {
			o.FailoverSeconds = time.Since(killed).Seconds()
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// recordLoad records what users have seen, once all of them have ended.
func (s *testbed) recordLoad(o *Outcome) {
	u := s.loadGen
	u.recordUnstartedUrgentJobs(time.Now())
	u.mu.Lock()
	defer u.mu.Unlock()
	o.Accept, o.Start, o.Urgent, o.FailoverStart = load.TimesOf(u.acceptTimes), load.TimesOf(u.startTimes), load.TimesOf(u.urgentStartTimes), load.TimesOf(u.failoverStartTimes)
	o.Submitted, o.FailedSubmissions, o.Actions = int(u.acceptedJobs.Load()), int(u.failedSubmissions.Load()), int(s.agents.completedActions.Load())
	o.Violations = s.cluster.Status().Violations
}

// controllerUsage is what a controller uses.
type controllerUsage struct {
	cpuShare, peakMegabytes float64
	in, out                 flowRate
}

// flowRate is a flow per second.
type flowRate struct{ kilobytes, messages float64 }

func (f flowRate) plus(other flowRate) flowRate {
	return flowRate{f.kilobytes + other.kilobytes, f.messages + other.messages}
}

func rateOf(f emulator.Flow, span float64) flowRate {
	return flowRate{float64(f.Bytes) / 1000 / span, float64(f.Messages) / span}
}

// newControllerUsage returns what a controller has used. Calls to machines are not known by the
// caller's name; they are attributed to the leader.
func newControllerUsage(name string, holds bool, used, before processUsage, flows map[emulator.Direction]emulator.Flow, span float64) controllerUsage {
	in, out := flowTo(flows, name), flowFrom(flows, name)
	if holds {
		in, out = in.Add(flowTo(flows, emulator.Controllers)), out.Add(flowFrom(flows, emulator.Controllers))
	}
	return controllerUsage{(used.cpuTime - before.cpuTime).Seconds() / span, megabytes(used.peakMemory), rateOf(in, span), rateOf(out, span)}
}

func (c controllerUsage) plus(other controllerUsage) controllerUsage {
	return controllerUsage{c.cpuShare + other.cpuShare, max(c.peakMegabytes, other.peakMegabytes), c.in.plus(other.in), c.out.plus(other.out)}
}

// dividedBy returns the mean of n controllers, except for memory, which is the maximum.
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

func recordFlows(o *Outcome, role Role, in, out emulator.Flow, span float64) {
	received, sent := rateOf(in, span), rateOf(out, span)
	o.add(role, BytesIn, received.kilobytes)
	o.add(role, BytesOut, sent.kilobytes)
	o.add(role, MessagesIn, received.messages)
	o.add(role, MessagesOut, sent.messages)
}

func subtractFlows(before, after map[emulator.Direction]emulator.Flow) map[emulator.Direction]emulator.Flow {
	out := make(map[emulator.Direction]emulator.Flow, len(after))
	for way, f := range after {
		out[way] = f.Sub(before[way])
	}
	return out
}

func flowTo(flows map[emulator.Direction]emulator.Flow, end string) (sum emulator.Flow) {
	for way, f := range flows {
		if way.To == end {
			sum = sum.Add(f)
		}
	}
	return sum
}

func flowFrom(flows map[emulator.Direction]emulator.Flow, end string) (sum emulator.Flow) {
	for way, f := range flows {
		if way.From == end {
			sum = sum.Add(f)
		}
	}
	return sum
}

func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }
