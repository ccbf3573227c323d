package scale

import (
	"context"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
)

// fullShare is the share of the fleet's room that runs when a step begins to be measured.
const fullShare = 0.9

// play plays a step.
func play(ctx context.Context, p *Plan, step Point, program string, port int) (*Outcome, error) {
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
	holder, err := s.holder()
	if err != nil {
		return nil, err
	}
	s.tell(o, before, after, holder)
	s.takeOver(ctx, o, holder)
	stop()
	s.users.group.Wait()
	s.tellUsers(o)
	select {
	case err := <-agentErr:
		if err != nil {
			return nil, fmt.Errorf("agents: %w", err)
		}
	default:
	}
	return o, ctx.Err()
}

// awaitFull waits until the fleet is up and full, or has had its time.
func (s *site) awaitFull(ctx context.Context, o *Outcome) {
	begun, enough := time.Now(), int(fullShare*float64(s.users.full()))
	for ctx.Err() == nil && time.Since(begun) < s.plan.Fill && !o.Full {
		pause(ctx, 200*time.Millisecond)
		o.Full = s.world.Status().Running >= enough
	}
	o.FillS = time.Since(begun).Seconds()
}

// tell notes what a site has used between two readings.
func (s *site) tell(o *Outcome, before, after reading, holder string) {
	span := after.at.Sub(before.at).Seconds()
	o.Up, o.Running = after.status.Up, after.status.Running
	starts := float64(after.startsAt - before.startsAt)
	o.StartsReached = starts / span
	flows := flowsBetween(before.traffic, after.traffic)
	if starts > 0 {
		o.BytesPerStart = float64(flows[emulator.Way{From: holder, To: emulator.StateName}].Bytes) / starts
	}
	others := 0.0
	var other controllerFigures
	for name, used := range after.used {
		figures := controllerFiguresOf(name, name == holder, used, before.used[name], flows, span)
		if name == holder {
			figures.tell(o, Holder)
			continue
		}
		other = other.plus(figures)
		others++
	}
	if others > 0 {
		other.over(others).tell(o, Other)
	}
	for typ, used := range after.agents {
		role := Role(fmt.Sprintf("%s with %s actions at once", Agent, typ[len("agent-"):]))
		o.add(role, Processor, (used.processor-before.agents[typ].processor).Seconds()/span)
		o.add(role, Memory, megabytes(used.memory))
	}
	s.tellWorkers(o, flows, span)
	o.add(StateService, Keys, float64(after.status.Keys))
	o.add(StateService, Requests, float64(after.status.Requests-before.status.Requests)/span)
	o.add(StateService, Changes, float64(after.status.Changes-before.status.Changes)/span)
	tellFlows(o, StateService, toEnd(flows, emulator.StateName), fromEnd(flows, emulator.StateName), span)
	s.tellLinks(o, flows, span)
}

// tellWorkers notes what a hollow worker sends and is sent.
func (s *site) tellWorkers(o *Outcome, flows map[emulator.Way]emulator.Flow, span float64) {
	workers := float64(max(1, o.Up-len(s.plan.Agents)))
	tellFlows(o, Worker, toEnd(flows, emulator.Machines), fromEnd(flows, emulator.Machines), span*workers)
}

// tellLinks notes what goes between two controllers, in each direction.
func (s *site) tellLinks(o *Outcome, flows map[emulator.Way]emulator.Flow, span float64) {
	var sum emulator.Flow
	for way, f := range flows {
		if isController(way.From) && isController(way.To) {
			sum = sum.Plus(f)
		}
	}
	n := float64(s.conf.Controllers)
	o.add(Link, BytesOut, float64(sum.Bytes)/1000/span/(n*(n-1)))
	o.add(Link, MessagesOut, float64(sum.Messages)/span/(n*(n-1)))
}

// takeOver kills the holder and notes what becomes of urgent work until another holds the fleet.
func (s *site) takeOver(ctx context.Context, o *Outcome, holder string) {
	term, killed := s.world.Status().Term, time.Now()
	s.users.kill(killed)
	s.procs.Kill(controllerNumber(holder)) // for good
	for ctx.Err() == nil && time.Since(killed) < s.plan.Takeover {
		if o.TakeoverS == 0 && s.world.Status().Term > term {
			o.TakeoverS = time.Since(killed).Seconds()
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// tellUsers notes what users have seen, once all of them are gone.
func (s *site) tellUsers(o *Outcome) {
	u := s.users
	u.close(time.Now())
	u.mu.Lock()
	defer u.mu.Unlock()
	o.Accept, o.Start, o.Urgent, o.TakeoverStart = load.TimesOf(u.accept), load.TimesOf(u.start), load.TimesOf(u.early), load.TimesOf(u.late)
	o.Submitted, o.Refused, o.Actions = int(u.submitted.Load()), int(u.refused.Load()), int(s.agents.done.Load())
	o.Broken = s.world.Status().Broken
}

// controllerFigures is what a controller takes.
type controllerFigures struct {
	processor, memory float64
	in, out           flowRate
}

// flowRate is a flow a second.
type flowRate struct{ kilobytes, messages float64 }

func (f flowRate) plus(other flowRate) flowRate {
	return flowRate{f.kilobytes + other.kilobytes, f.messages + other.messages}
}

func rateOf(f emulator.Flow, span float64) flowRate {
	return flowRate{float64(f.Bytes) / 1000 / span, float64(f.Messages) / span}
}

// controllerFiguresOf gives what a controller has taken. Calls to machines are not known by name:
// they are the holder's.
func controllerFiguresOf(name string, holds bool, used, before usage, flows map[emulator.Way]emulator.Flow, span float64) controllerFigures {
	in, out := toEnd(flows, name), fromEnd(flows, name)
	if holds {
		in, out = in.Plus(toEnd(flows, emulator.Controllers)), out.Plus(fromEnd(flows, emulator.Controllers))
	}
	return controllerFigures{(used.processor - before.processor).Seconds() / span, megabytes(used.memory), rateOf(in, span), rateOf(out, span)}
}

func (c controllerFigures) plus(other controllerFigures) controllerFigures {
	return controllerFigures{c.processor + other.processor, max(c.memory, other.memory), c.in.plus(other.in), c.out.plus(other.out)}
}

// over gives the mean of so many, but for memory, which is the most.
func (c controllerFigures) over(n float64) controllerFigures {
	return controllerFigures{c.processor / n, c.memory, flowRate{c.in.kilobytes / n, c.in.messages / n}, flowRate{c.out.kilobytes / n, c.out.messages / n}}
}

func (c controllerFigures) tell(o *Outcome, role Role) {
	o.add(role, Processor, c.processor)
	o.add(role, Memory, c.memory)
	o.add(role, BytesIn, c.in.kilobytes)
	o.add(role, BytesOut, c.out.kilobytes)
	o.add(role, MessagesIn, c.in.messages)
	o.add(role, MessagesOut, c.out.messages)
}

func tellFlows(o *Outcome, role Role, in, out emulator.Flow, span float64) {
	received, sent := rateOf(in, span), rateOf(out, span)
	o.add(role, BytesIn, received.kilobytes)
	o.add(role, BytesOut, sent.kilobytes)
	o.add(role, MessagesIn, received.messages)
	o.add(role, MessagesOut, sent.messages)
}

func flowsBetween(before, after map[emulator.Way]emulator.Flow) map[emulator.Way]emulator.Flow {
	out := make(map[emulator.Way]emulator.Flow, len(after))
	for way, f := range after {
		out[way] = f.Minus(before[way])
	}
	return out
}

func toEnd(flows map[emulator.Way]emulator.Flow, end string) (sum emulator.Flow) {
	for way, f := range flows {
		if way.To == end {
			sum = sum.Plus(f)
		}
	}
	return sum
}

func fromEnd(flows map[emulator.Way]emulator.Flow, end string) (sum emulator.Flow) {
	for way, f := range flows {
		if way.From == end {
			sum = sum.Plus(f)
		}
	}
	return sum
}

func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }
