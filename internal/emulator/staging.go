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

// timeline stages the faults of the file, each at its time.
func (w *World) timeline() {
	for _, f := range w.Config.Timeline {
		sleep(w.ctx, f.At-time.Since(w.begun))
		if w.ctx.Err() != nil {
			return
		}
		if _, err := w.Stage(f); err != nil {
			w.log.Error("fault not staged", "fault", f.Label, "kind", f.Kind, "error", err)
		}
	}
}

// Stage has a fault happen now, for as long as it says, or until it is lifted.
func (w *World) Stage(f Fault) (Staged, error) {
	if err := f.Check(w.Config); err != nil {
		return Staged{}, err
	}
	lift, err := w.cause(&f)
	if err != nil {
		return Staged{}, err
	}
	w.mu.Lock()
	w.staged++
	s := Staged{Number: w.staged, Label: f.Label, What: f.describe(), Since: w.age(), lift: lift}
	kept := s
	w.lifts[s.Number] = &kept
	w.life.Over(time.Time{})
	w.mu.Unlock()
	w.log.Info("fault", "number", s.Number, "label", f.Label, "what", s.What)
	switch {
	case lift == nil:
		w.Lift(s.Number)
	case f.For > 0:
		time.AfterFunc(f.For, func() { w.Lift(s.Number) })
	}
	return s, nil
}

// Lift ends a fault that is in force, and reports whether it was.
func (w *World) Lift(number int) bool {
	w.mu.Lock()
	s := w.lifts[number]
	if s == nil || s.Until > 0 {
		w.mu.Unlock()
		return false
	}
	s.Until = w.age()
	if w.calm() {
		w.life.Over(time.Now())
	}
	w.mu.Unlock()
	if s.lift != nil {
		s.lift()
		w.log.Info("fault lifted", "number", number, "label", s.Label)
	}
	return true
}

// calm reports whether no fault is in force.
func (w *World) calm() bool {
	for _, s := range w.lifts {
		if s.Until == 0 {
			return false
		}
	}
	return true
}

func (w *World) age() float64 { return time.Since(w.begun).Round(time.Millisecond).Seconds() }

// cause has a fault happen, and gives what ends it, or nil where it has no end.
func (w *World) cause(f *Fault) (lift func(), err error) {
	store := func(change, back func(*simulator.Store)) func() {
		w.store.Stage(change)
		return func() { w.store.Stage(back) }
	}
	cloud := func(change, back func(*simulator.CloudFaults)) func() {
		w.cloud.Fail(change)
		return func() { w.cloud.Fail(back) }
	}
	switch f.Kind {
	case "cut", "slow":
		return w.cut(f), nil
	case "state_down":
		w.store.Outage(true)
		return func() { w.store.Outage(false) }, nil
	case "state_refuse":
		w.store.Refuse(f.Who, true)
		return func() { w.store.Refuse(f.Who, false) }, nil
	case "state_slow":
		usual := w.Config.StateDelay
		return store(func(s *simulator.Store) { s.Delay = func() time.Duration { return f.Delay } },
			func(s *simulator.Store) { s.Delay = func() time.Duration { return usual } }), nil
	case "state_lose":
		return store(func(s *simulator.Store) { s.Lossy = f.Share }, func(s *simulator.Store) { s.Lossy = 0 }), nil
	case "state_late":
		if f.AtOnce {
			return store(func(s *simulator.Store) { s.Unheard = f.Share }, func(s *simulator.Store) { s.Unheard = 0 }), nil
		}
		return store(func(s *simulator.Store) { s.Later = f.Share }, func(s *simulator.Store) { s.Later = 0 }), nil
	case "report_late":
		if f.ForNext {
			w.echo.ForNext(f.Share)
		} else {
			w.echo.Share(f.Share)
		}
		return func() { w.echo.Share(0) }, nil
	case "state_forget":
		w.store.Forget()
	case "cloud_down":
		return cloud(func(c *simulator.CloudFaults) { c.Trouble = true }, func(c *simulator.CloudFaults) { c.Trouble = false }), nil
	case "cloud_fewer":
		return cloud(func(c *simulator.CloudFaults) { c.Fewer = f.Share }, func(c *simulator.CloudFaults) { c.Fewer = 0 }), nil
	case "cloud_late":
		return cloud(func(c *simulator.CloudFaults) { c.Late = f.Delay }, func(c *simulator.CloudFaults) { c.Late = 0 }), nil
	case "boot_slow":
		return cloud(func(c *simulator.CloudFaults) { c.BootTimes = f.Times }, func(c *simulator.CloudFaults) { c.BootTimes = 0 }), nil
	case "boot_never":
		return cloud(func(c *simulator.CloudFaults) { c.NeverUp = f.Share }, func(c *simulator.CloudFaults) { c.NeverUp = 0 }), nil
	case "machine_die":
		for _, id := range w.machines(f, false) {
			w.cloud.Die(id)
		}
	case "machine_hang":
		w.each(f, func(m simulator.Machine) { m.(interface{ Hang(time.Duration) }).Hang(f.For) })
	case "machine_deaf":
		return w.lasting(f, func(m simulator.Machine, on bool) { m.(interface{ Deaf(bool) }).Deaf(on) }), nil
	case "machine_mute":
		return w.lasting(f, func(m simulator.Machine, on bool) { m.(interface{ Mute(bool) }).Mute(on) }), nil
	case "cancel_now", "cancel_at_end", "odd_requests", "close_looks":
		return w.users.cause(w, f)
	case "controller_cut":
		return w.cutOff(f), nil
	case "machine_restart":
		back := cmp.Or(f.Delay, usualBack)
		w.each(f, func(m simulator.Machine) { m.(interface{ Reboot(time.Duration, bool) }).Reboot(back, false) })
	case "spot_taken":
		for _, id := range w.machines(f, true) {
			w.cloud.TakeBack(id, f.Notice)
		}
	case "controller_kill", "controller_hang":
		return w.trouble(f)
	}
	return nil, nil
}

// cut puts rules into force, in both directions unless one is meant. A zone that is cut off
// from all works on inside.
func (w *World) cut(f *Fault) func() {
	inside := strings.HasPrefix(f.From, "zone:") && f.To == "all" || f.From == "all" && strings.HasPrefix(f.To, "zone:")
	mode := f.Mode
	if f.Kind == "cut" && mode == "" {
		mode = "hold"
	}
	lifts := []func(){w.links.add(&rule{from: f.From, to: f.To, inside: inside, mode: mode, delay: f.Delay})}
	if !f.OneWay {
		lifts = append(lifts, w.links.add(&rule{from: f.To, to: f.From, inside: inside, mode: mode, delay: f.Delay}))
	}
	return func() {
		for _, lift := range lifts {
			lift()
		}
	}
}

// cutOff severs a controller from the state service, from its siblings, or from both, and from
// nobody else.
func (w *World) cutOff(f *Fault) func() {
	var lifts []func()
	for to, meant := range map[string]bool{"state": f.FromState, "controllers": f.FromPeers} {
		if meant {
			lifts = append(lifts, w.cut(&Fault{Kind: "cut", From: f.Who, To: to, Mode: f.Mode}))
		}
	}
	return func() {
		for _, lift := range lifts {
			lift()
		}
	}
}

// usualBack is after how long what ends is back, unless a fault says otherwise.
const usualBack = 2 * time.Second

// each does something to the machines that a fault is about.
func (w *World) each(f *Fault, do func(simulator.Machine)) {
	picked := map[string]bool{}
	for _, id := range w.machines(f, false) {
		picked[id] = true
	}
	w.cloud.Each(func(m wire.ListedMachine, machine simulator.Machine) {
		if picked[m.ID] {
			do(machine)
		}
	})
}

// lasting does something to the machines that a fault is about, and gives what ends it.
func (w *World) lasting(f *Fault, do func(m simulator.Machine, on bool)) (lift func()) {
	var all []simulator.Machine
	w.each(f, func(m simulator.Machine) {
		do(m, true)
		all = append(all, m)
	})
	return func() {
		for _, m := range all {
			do(m, false)
		}
	}
}

// errNotOurs means that this world's controllers are not its processes.
var errNotOurs = errors.New("the controllers were not started by this command: end or stop their processes yourself")

func (w *World) trouble(f *Fault) (lift func(), err error) {
	names := w.Config.names()
	if f.Who != "" {
		names = []string{f.Who}
	}
	if w.opt.Kill == nil || w.opt.Hang == nil {
		return nil, errNotOurs
	}
	for _, name := range names {
		if f.Kind == "controller_kill" {
			err = errors.Join(err, w.opt.Kill(name, f.Delay))
		} else {
			err = errors.Join(err, w.opt.Hang(name, true))
		}
	}
	if f.Kind == "controller_kill" {
		return nil, err
	}
	return func() {
		for _, name := range names {
			_ = w.opt.Hang(name, false)
		}
	}, err
}

// The paths of the control address, which speaks JSON.
const (
	PathStatus = "/status"
	PathFaults = "/faults"
	PathUsers  = "/users" // what users are to do now, see Orders
	PathJudge  = "/judge" // CBOR: what users did and were told, so that all rules can be judged
)

// Told is what a user was answered about a job, or the job that a user is about to submit.
type Told struct {
	Submitted *wire.Job  `cbor:"submitted,omitempty"`
	Job       string     `cbor:"job"`
	Status    int        `cbor:"status"`
	Stage     wire.Stage `cbor:"stage"`
	Asked     bool       `cbor:"asked"` // to cancel it
	Poll      bool       `cbor:"poll"`  // a question, with status 0 where no answer came in time
	Sent      int64      `cbor:"sent"`  // and Back: ns on a clock of the users
	Back      int64      `cbor:"back"`
	Body      wire.Raw   `cbor:"body,omitempty"` // of a submission that must be refused, or may have to be
}

// Judge takes in what users did and were told.
func (w *World) Judge(told []Told) {
	for _, t := range told {
		if t.Submitted != nil {
			w.life.submitted(t.Submitted)
			continue
		}
		if t.Body != nil {
			w.life.Answered(t.Body, t.Status)
			continue
		}
		if t.Status > 0 {
			w.life.ToldAt(t.Job, t.Status, t.Stage, t.Asked, time.Unix(0, t.Sent), time.Unix(0, t.Back))
		}
		w.life.Known.Heard(time.Now(), t.Job, t.Status, t.Stage, t.Asked, t.Poll)
	}
}

// Refusal is the answer to what can't be staged.
type Refusal struct {
	Error string `json:"error"`
}

func (w *World) control() transport.ServeConn {
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
			return answer(200, w.users.orders())
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
				Told []Told `cbor:"told"`
			}
			if err := wire.Decode(r.Body, &told); err != nil {
				return answer(400, Refusal{err.Error()})
			}
			w.Judge(told.Told)
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
