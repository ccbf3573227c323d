package scale

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
)

// fullShare is the share of the fleet's capacity that is in use when the measurement of a step
// starts.
const fullShare = 0.9

// runStep runs and measures a step.
func runStep(ctx context.Context, p *Plan, step Point, program string, port int) (*Outcome, error) {
	s, err := openSite(ctx, p, step, program, port)
	if err != nil {
		return nil, err
	}
	defer s.close()
	working, stop := context.WithCancel(ctx)
	defer stop()
	s.users.group.Go(func() { s.users.fill(working); s.users.keepComing(working) })
	s.users.group.Go(func() { s.users.keepUrgent(working, p.Urgent) })
	agentErr := make(chan error, 1)
	if len(p.Agents) > 0 {
		s.users.group.Go(func() { agentErr <- s.agents.run(working) })
	}
	o := &Outcome{Step: step}
	s.awaitFull(ctx, o)
	before := s.read()
	pause(ctx, p.Measure)
	after := s.read()
	leader, err := s.leader()
	if err != nil {
		return nil, err
	}
	s.record(o, before, after, leader)
	s.measureFailover(ctx, o, leader)
	stop()
	s.users.group.Wait()
	s.recordUsers(o)
	select {
	case err := <-agentErr:
		if err != nil {
			return nil, fmt.Errorf("agents: %w", err)
		}
	default:
	}
	return o, ctx.Err()
}

// awaitFull waits until the fleet is up and full, or its time is over.
func (s *site) awaitFull(ctx context.Context, o *Outcome) {
	begun, enough := time.Now(), int(fullShare*float64(s.users.full()))
	for ctx.Err() == nil && time.Since(begun) < s.plan.Fill && !o.Full {
		pause(ctx, 200*time.Millisecond)
		o.Full = s.cluster.Status().RunningTasks >= enough
	}
	o.FillS = time.Since(begun).Seconds()
}

// record records what a site has used between two readings.
func (s *site) record(o *Outcome, before, after reading, leader string) {
	span := after.at.Sub(before.at).Seconds()
	o.Up, o.Running = after.status.Up, after.status.RunningTasks
	starts := float64(after.startsAt - before.startsAt)
	o.StartsReached = starts / span
	flows := flowsBetween(before.traffic, after.traffic)
	if starts > 0 {
		o.BytesPerStart = float64(flows[emulator.Direction{From: leader, To: emulator.StateName}].Bytes) / starts
	}
	others := 0.0
	var other controllerUsage
	for name, used := range after.used {
		figures := controllerUsageOf(name, name == leader, used, before.used[name], flows, span)
		if name == leader {
			figures.record(o, Leader)
			continue
		}
		other = other.plus(figures)
		others++
	}
	if others > 0 {
		other.over(others).record(o, Follower)
	}
	for typ, used := range after.agents {
		role := Role(fmt.Sprintf("%s with %s actions at once", Agent, typ[len("agent-"):]))
		o.add(role, Processor, (used.processor-before.agents[typ].processor).Seconds()/span)
		o.add(role, Memory, megabytes(used.memory))
	}
	s.recordWorkers(o, flows, span)
	o.add(StateService, Keys, float64(after.status.Keys))
	o.add(StateService, Requests, float64(after.status.Requests-before.status.Requests)/span)
	o.add(StateService, Changes, float64(after.status.Changes-before.status.Changes)/span)
	recordFlows(o, StateService, toEnd(flows, emulator.StateName), fromEnd(flows, emulator.StateName), span)
	s.recordLinks(o, flows, span)
}

// recordWorkers records what an emulated worker sends and receives.
func (s *site) recordWorkers(o *Outcome, flows map[emulator.Direction]emulator.Flow, span float64) {
	workers := float64(max(1, o.Up-len(s.plan.Agents)))
	recordFlows(o, Worker, toEnd(flows, emulator.Machines), fromEnd(flows, emulator.Machines), span*workers)
}

// recordLinks records the traffic between two controllers, in each direction.
func (s *site) recordLinks(o *Outcome, flows map[emulator.Direction]emulator.Flow, span float64) {
	var sum emulator.Flow
	for way, f := range flows {
		if isController(way.From) && isController(way.To) {
			sum = sum.Add(f)
		}
	}
	n := float64(s.config.Controllers)
	o.add(Link, BytesOut, float64(sum.Bytes)/1000/span/(n*(n-1)))
	o.add(Link, MessagesOut, float64(sum.Messages)/span/(n*(n-1)))
}

// measureFailover kills the leader and records what happens to urgent work until the next
// election.
func (s *site) measureFailover(ctx context.Context, o *Outcome, leader string) {
	token, killed := s.cluster.Status().FencingToken, time.Now()
	s.users.markLeaderKilled(killed)
	s.procs.Kill(controllerNumber(leader)) // for good
	for ctx.Err() == nil && time.Since(killed) < s.plan.FailoverTime {
		if o.FailoverS == 0 && s.cluster.Status().FencingToken > token {
			o.FailoverS = time.Since(killed).Seconds()
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// recordUsers records what users have seen, once all of them have ended.
func (s *site) recordUsers(o *Outcome) {
	u := s.users
	u.close(time.Now())
	u.mu.Lock()
	defer u.mu.Unlock()
	o.Accept, o.Start, o.Urgent, o.FailoverStart = load.TimesOf(u.accept), load.TimesOf(u.start), load.TimesOf(u.early), load.TimesOf(u.late)
	o.Submitted, o.Refused, o.Actions = int(u.submitted.Load()), int(u.refused.Load()), int(s.agents.done.Load())
	o.Violations = s.cluster.Status().Violations
}

// controllerUsage is what a controller uses.
type controllerUsage struct {
	processor, memory float64
	in, out           flowRate
}

// flowRate is a flow per second.
type flowRate struct{ kilobytes, messages float64 }

func (f flowRate) plus(other flowRate) flowRate {
	return flowRate{f.kilobytes + other.kilobytes, f.messages + other.messages}
}

func rateOf(f emulator.Flow, span float64) flowRate {
	return flowRate{float64(f.Bytes) / 1000 / span, float64(f.Messages) / span}
}

// controllerUsageOf returns what a controller has used. Calls to machines are not known by the
// caller's name; they are attributed to the leader.
func controllerUsageOf(name string, holds bool, used, before usage, flows map[emulator.Direction]emulator.Flow, span float64) controllerUsage {
	in, out := toEnd(flows, name), fromEnd(flows, name)
	if holds {
		in, out = in.Add(toEnd(flows, emulator.Controllers)), out.Add(fromEnd(flows, emulator.Controllers))
	}
	return controllerUsage{(used.processor - before.processor).Seconds() / span, megabytes(used.memory), rateOf(in, span), rateOf(out, span)}
}

func (c controllerUsage) plus(other controllerUsage) controllerUsage {
	return controllerUsage{c.processor + other.processor, max(c.memory, other.memory), c.in.plus(other.in), c.out.plus(other.out)}
}

// over returns the mean of n controllers, except for memory, which is the maximum.
func (c controllerUsage) over(n float64) controllerUsage {
	return controllerUsage{c.processor / n, c.memory, flowRate{c.in.kilobytes / n, c.in.messages / n}, flowRate{c.out.kilobytes / n, c.out.messages / n}}
}

func (c controllerUsage) record(o *Outcome, role Role) {
	o.add(role, Processor, c.processor)
	o.add(role, Memory, c.memory)
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

func flowsBetween(before, after map[emulator.Direction]emulator.Flow) map[emulator.Direction]emulator.Flow {
	out := make(map[emulator.Direction]emulator.Flow, len(after))
	for way, f := range after {
		out[way] = f.Sub(before[way])
	}
	return out
}

func toEnd(flows map[emulator.Direction]emulator.Flow, end string) (sum emulator.Flow) {
	for way, f := range flows {
		if way.To == end {
			sum = sum.Add(f)
		}
	}
	return sum
}

func fromEnd(flows map[emulator.Direction]emulator.Flow, end string) (sum emulator.Flow) {
	for way, f := range flows {
		if way.From == end {
			sum = sum.Add(f)
		}
	}
	return sum
}

func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }
