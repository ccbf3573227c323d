package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// timeline stages the faults of the world file, each at its time.
func (w *Cluster) timeline() {
	for _, f := range w.Config.Timeline {
		sleep(w.ctx, f.At-time.Since(w.startedAt))
		if w.ctx.Err() != nil {
			return
		}
		if _, err := w.Stage(f); err != nil {
			w.log.Error("fault not staged", "fault", f.Label, "kind", f.Kind, "error", err)
		}
	}
}

// Stage injects a fault now, for its duration or until it is lifted.
func (w *Cluster) Stage(f Fault) (StagedFault, error) {
	if err := f.Check(w.Config); err != nil {
		return StagedFault{}, err
	}
	lift, err := w.apply(&f)
	if err != nil {
		return StagedFault{}, err
	}
	w.mu.Lock()
	w.faultCount++
	s := StagedFault{Number: w.faultCount, Label: f.Label, Description: f.describe(), Since: w.ageS(), lift: lift}
	kept := s
	w.activeFaults[s.Number] = &kept
	w.fixture.SetQuietSince(time.Time{})
	w.mu.Unlock()
	w.log.Info("fault", "number", s.Number, "label", f.Label, "what", s.Description)
	switch {
	case lift == nil:
		w.Lift(s.Number)
	case f.For > 0:
		time.AfterFunc(f.For, func() { w.Lift(s.Number) })
	}
	return s, nil
}

// Lift ends an active fault, and reports whether it was active.
func (w *Cluster) Lift(number int) bool {
	w.mu.Lock()
	s := w.activeFaults[number]
	if s == nil || s.Until > 0 {
		w.mu.Unlock()
		return false
	}
	s.Until = w.ageS()
	if w.noActiveFaults() {
		w.fixture.SetQuietSince(time.Now())
	}
	w.mu.Unlock()
	if s.lift != nil {
		s.lift()
		w.log.Info("fault lifted", "number", number, "label", s.Label)
	}
	return true
}

// noActiveFaults reports whether no fault is active.
func (w *Cluster) noActiveFaults() bool {
	for _, s := range w.activeFaults {
		if s.Until == 0 {
			return false
		}
	}
	return true
}

// ageS returns the seconds since the cluster started.
func (w *Cluster) ageS() float64 { return time.Since(w.startedAt).Round(time.Millisecond).Seconds() }

// apply injects a fault and returns the function that ends it, nil if it has no duration.
func (w *Cluster) apply(f *Fault) (lift func(), err error) {
	switch f.Kind {
	case "cut", "slow":
		return w.cutLinks(f), nil
	case "controller_cut":
		return w.cutOffController(f), nil
	case "state_down", "state_refuse", "state_slow", "state_lose", "state_late", "state_forget":
		return w.applyToState(f), nil
	case "cloud_down", "cloud_fewer", "cloud_late", "boot_slow", "boot_never":
		return w.applyToCloud(f), nil
	case "report_late":
		return w.replayHeartbeats(f), nil
	case "machine_die", "machine_hang", "machine_deaf", "machine_mute", "machine_restart", "spot_taken":
		return w.applyToMachines(f), nil
	case "cancel_now", "cancel_at_end", "odd_requests", "close_looks":
		return w.users.apply(w, f)
	case "controller_kill", "controller_hang":
		return w.applyToController(f)
	}
	return nil, nil
}

// applyToState injects a fault of the state service.
func (w *Cluster) applyToState(f *Fault) (lift func()) {
	configure := func(change, back func(*simulator.StateService)) func() {
		w.state.Configure(change)
		return func() { w.state.Configure(back) }
	}
	switch f.Kind {
	case "state_down":
		w.state.SetOutage(true)
		return func() { w.state.SetOutage(false) }
	case "state_refuse":
		w.state.RefuseCaller(f.Who, true)
		return func() { w.state.RefuseCaller(f.Who, false) }
	case "state_slow":
		usual := w.Config.StateDelay
		return configure(func(s *simulator.StateService) { s.ResponseDelay = func() time.Duration { return f.Delay } },
			func(s *simulator.StateService) { s.ResponseDelay = func() time.Duration { return usual } })
	case "state_lose":
		return configure(func(s *simulator.StateService) { s.LossShare = f.Share }, func(s *simulator.StateService) { s.LossShare = 0 })
	case "state_late":
		if f.AtOnce {
			return configure(func(s *simulator.StateService) { s.LostReplyShare = f.Share }, func(s *simulator.StateService) { s.LostReplyShare = 0 })
		}
		return configure(func(s *simulator.StateService) { s.DelayedShare = f.Share }, func(s *simulator.StateService) { s.DelayedShare = 0 })
	case "state_forget":
		w.state.DropHistory()
	}
	return nil
}

// applyToCloud injects a fault of the cloud.
func (w *Cluster) applyToCloud(f *Fault) (lift func()) {
	set := func(change, back func(*simulator.CloudFaults)) func() {
		w.cloud.SetFaults(change)
		return func() { w.cloud.SetFaults(back) }
	}
	switch f.Kind {
	case "cloud_down":
		return set(func(c *simulator.CloudFaults) { c.Unavailable = true }, func(c *simulator.CloudFaults) { c.Unavailable = false })
	case "cloud_fewer":
		return set(func(c *simulator.CloudFaults) { c.MissingCapacityShare = f.Share }, func(c *simulator.CloudFaults) { c.MissingCapacityShare = 0 })
	case "cloud_late":
		return set(func(c *simulator.CloudFaults) { c.RentDelay = f.Delay }, func(c *simulator.CloudFaults) { c.RentDelay = 0 })
	case "boot_slow":
		return set(func(c *simulator.CloudFaults) { c.BootFactor = f.Times }, func(c *simulator.CloudFaults) { c.BootFactor = 0 })
	case "boot_never":
		return set(func(c *simulator.CloudFaults) { c.NeverBootShare = f.Share }, func(c *simulator.CloudFaults) { c.NeverBootShare = 0 })
	}
	return nil
}

// replayHeartbeats delivers copies of heartbeats late, or to the next leader.
func (w *Cluster) replayHeartbeats(f *Fault) (lift func()) {
	if f.ForNext {
		w.replayer.KeepForNextLeader(f.Share)
	} else {
		w.replayer.SetShare(f.Share)
	}
	return func() { w.replayer.SetShare(0) }
}

// applyToMachines injects a fault of machines.
func (w *Cluster) applyToMachines(f *Fault) (lift func()) {
	switch f.Kind {
	case "machine_die":
		for _, id := range w.pickMachines(f, false) {
			w.cloud.Crash(id)
		}
	case "machine_hang":
		w.eachMachine(f, func(m simulator.Machine) { m.(simulator.Pauser).Pause(f.For) })
	case "machine_deaf":
		return w.holdMachines(f, func(m simulator.Machine, on bool) { m.(simulator.InboundDropper).DropInbound(on) })
	case "machine_mute":
		return w.holdMachines(f, func(m simulator.Machine, on bool) { m.(simulator.OutboundBlocker).BlockOutbound(on) })
	case "machine_restart":
		back := cmp.Or(f.Delay, defaultRestartDelay)
		w.eachMachine(f, func(m simulator.Machine) { m.(simulator.Rebooter).Reboot(back, false) })
	case "spot_taken":
		for _, id := range w.pickMachines(f, true) {
			w.cloud.Preempt(id, f.Notice)
		}
	}
	return nil
}

// cutLinks puts a fault's rules into force, in both directions unless it is one way. A zone that
// is isolated from all others works inside.
func (w *Cluster) cutLinks(f *Fault) func() {
	inside := strings.HasPrefix(f.From, "zone:") && f.To == "all" || f.From == "all" && strings.HasPrefix(f.To, "zone:")
	mode := f.Mode
	if f.Kind == "cut" && mode == "" {
		mode = "hold"
	}
	lifts := []func(){w.links.add(&rule{from: f.From, to: f.To, sparesInside: inside, mode: mode, delay: f.Delay})}
	if !f.OneWay {
		lifts = append(lifts, w.links.add(&rule{from: f.To, to: f.From, sparesInside: inside, mode: mode, delay: f.Delay}))
	}
	return func() {
		for _, lift := range lifts {
			lift()
		}
	}
}

// cutOffController separates a controller from the state service, from its peers, or from both,
// and from nobody else.
func (w *Cluster) cutOffController(f *Fault) func() {
	var lifts []func()
	for to, meant := range map[string]bool{"state": f.FromState, "controllers": f.FromPeers} {
		if meant {
			lifts = append(lifts, w.cutLinks(&Fault{Kind: "cut", From: f.Who, To: to, Mode: f.Mode}))
		}
	}
	return func() {
		for _, lift := range lifts {
			lift()
		}
	}
}

// defaultRestartDelay is how long after its end something is restarted, unless a fault says
// otherwise.
const defaultRestartDelay = 2 * time.Second

// eachMachine calls a function for each machine that a fault selects.
func (w *Cluster) eachMachine(f *Fault, do func(simulator.Machine)) {
	picked := map[string]bool{}
	for _, id := range w.pickMachines(f, false) {
		picked[id] = true
	}
	w.cloud.EachRunning(func(m wire.ListedMachine, machine simulator.Machine) {
		if picked[m.ID] {
			do(machine)
		}
	})
}

// holdMachines applies a fault to the machines that it selects and returns the function that ends
// it.
func (w *Cluster) holdMachines(f *Fault, do func(m simulator.Machine, on bool)) (lift func()) {
	var all []simulator.Machine
	w.eachMachine(f, func(m simulator.Machine) {
		do(m, true)
		all = append(all, m)
	})
	return func() {
		for _, m := range all {
			do(m, false)
		}
	}
}

// errExternalControllers is returned for faults of controller processes that this command has not
// started.
var errExternalControllers = errors.New("the controllers were not started by this command: end or stop their processes yourself")

// applyToController kills or suspends a controller.
func (w *Cluster) applyToController(f *Fault) (lift func(), err error) {
	names := w.Config.names()
	if f.Who != "" {
		names = []string{f.Who}
	}
	if w.opt.Kill == nil || w.opt.Pause == nil {
		return nil, errExternalControllers
	}
	for _, name := range names {
		if f.Kind == "controller_kill" {
			err = errors.Join(err, w.opt.Kill(name, f.Delay))
		} else {
			err = errors.Join(err, w.opt.Pause(name, true))
		}
	}
	if f.Kind == "controller_kill" {
		return nil, err
	}
	return func() {
		for _, name := range names {
			_ = w.opt.Pause(name, false)
		}
	}, err
}

// The paths of the control address. Its protocol is JSON.
const (
	PathStatus = "/status"
	PathFaults = "/faults"
	PathUsers  = "/users" // what users are to do now, see Orders
	PathJudge  = "/judge" // CBOR: what users did and were told, so that all rules can be judged
)

// Observation is an answer that a user got about a job, or the job that a user is about to submit.
type Observation struct {
	Submitted       *wire.Job  `cbor:"submitted,omitempty"`
	Job             string     `cbor:"job"`
	Status          int        `cbor:"status"`
	Stage           wire.Stage `cbor:"stage"`
	CancelRequested bool       `cbor:"asked"` // the user has asked to cancel the job
	Poll            bool       `cbor:"poll"`  // a poll, with status 0 if no answer came in time
	SentNS          int64      `cbor:"sent"`  // with AnsweredNS: ns on a clock that all users share
	AnsweredNS      int64      `cbor:"back"`
	Body            wire.Raw   `cbor:"body,omitempty"` // of a submission that has to be refused, or may have to be
}

// Observe passes users' observations to the checkers.
func (w *Cluster) Observe(told []Observation) {
	for _, t := range told {
		if t.Submitted != nil {
			w.fixture.recordSubmission(t.Submitted)
			continue
		}
		if t.Body != nil {
			w.fixture.ObserveSubmission(t.Body, t.Status)
			continue
		}
		if t.Status > 0 {
			w.fixture.ObserveAnswerAt(t.Job, t.Status, t.Stage, t.CancelRequested, time.Unix(0, t.SentNS), time.Unix(0, t.AnsweredNS))
		}
		w.fixture.Liveness.ObserveAnswer(time.Now(), t.Job, t.Status, t.Stage, t.CancelRequested, t.Poll)
	}
}

// Refusal is the answer to a fault that cannot be staged.
type Refusal struct {
	Error string `json:"error"`
}

// control serves the control address.
func (w *Cluster) control() transport.ServeConn {
	answer := func(status int, v any) *httpwire.Response {
		text, _ := json.Marshal(v)
		return &httpwire.Response{Status: status, Body: text}
	}
	return transport.HTTP(1<<20, time.Minute, func(_ context.Context, r *httpwire.Request) *httpwire.Response {
		number, named := strings.CutPrefix(r.Path, PathFaults+"/")
		switch {
		case r.Method == "GET" && r.Path == PathStatus:
			return answer(200, w.Status())
		case r.Method == "GET" && r.Path == PathUsers:
			return answer(200, w.users.instructions())
		case r.Method == "POST" && r.Path == PathFaults:
			var f Fault
			if err := json.Unmarshal(r.Body, &f); err != nil {
				return answer(400, Refusal{err.Error()})
			}
			s, err := w.Stage(f)
			if err != nil {
				return answer(422, Refusal{err.Error()})
			}
			return answer(200, s)
		case r.Method == "POST" && r.Path == PathJudge:
			var told struct {
				Told []Observation `cbor:"told"`
			}
			if err := wire.Decode(r.Body, &told); err != nil {
				return answer(400, Refusal{err.Error()})
			}
			w.Observe(told.Told)
			return answer(200, struct{}{})
		case r.Method == "DELETE" && named:
			if n, err := strconv.Atoi(number); err != nil || !w.Lift(n) {
				return answer(404, Refusal{fmt.Sprintf("fault %s is not in force", number)})
			}
			return answer(200, struct{}{})
		}
		return answer(404, Refusal{"no such path"})
	})
}
