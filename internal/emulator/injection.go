package emulator

import (
	"cmp"
	"errors"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
)

// apply injects a fault and returns the function that lifts it, or nil if the fault has no duration.
func (cluster *Cluster) apply(f *Fault) (lift func(), err error) {
	switch f.Kind {
	case "cut", "slow":
		return cluster.cutLinks(f), nil
	case "controller_cut":
		return cluster.cutOffController(f), nil
	case "state_down", "state_refuse", "state_slow", "state_lose", "state_late", "state_forget":
		return cluster.applyToState(f), nil
	case "cloud_down", "cloud_fewer", "cloud_late", "boot_slow", "boot_never":
		return cluster.applyToCloud(f), nil
	case "report_late":
		return cluster.replayHeartbeats(f), nil
	case "machine_die", "machine_hang", "machine_deaf", "machine_mute", "machine_restart", "spot_taken":
		return cluster.applyToMachines(f), nil
	case "command_late":
		cluster.lateCommands.setShare(f.Share)
		return func() { cluster.lateCommands.setShare(0) }, nil
	case "jobs_mistaken":
		cluster.users.setMistakenShare(f.Share)
		return func() {
			cluster.users.setMistakenShare(0)
			cluster.users.cancelMistaken()
		}, nil
	case "cancel_now", "cancel_at_end", "odd_requests", "close_looks":
		return cluster.users.apply(cluster, f)
	case "controller_kill", "controller_hang":
		return cluster.applyToController(f)
	}
	return nil, nil
}

// applyToState injects a fault of the state service.
func (cluster *Cluster) applyToState(f *Fault) (lift func()) {
	configure := func(change, revert func(*simulator.StateService)) func() {
		cluster.state.Configure(change)
		return func() { cluster.state.Configure(revert) }
	}
	switch f.Kind {
	case "state_down":
		cluster.state.SetOutage(true)
		return func() { cluster.state.SetOutage(false) }
	case "state_refuse":
		cluster.state.RefuseCaller(f.Who, true)
		return func() { cluster.state.RefuseCaller(f.Who, false) }
	case "state_slow":
		normalDelay := cluster.Config.StateDelay
		return configure(func(s *simulator.StateService) { s.ResponseDelay = func() time.Duration { return f.Delay } },
			func(s *simulator.StateService) { s.ResponseDelay = func() time.Duration { return normalDelay } })
	case "state_lose":
		return configure(func(s *simulator.StateService) { s.LossShare = f.Share }, func(s *simulator.StateService) { s.LossShare = 0 })
	case "state_late":
		if f.AtOnce {
			return configure(func(s *simulator.StateService) { s.LostReplyShare = f.Share }, func(s *simulator.StateService) { s.LostReplyShare = 0 })
		}
		return configure(func(s *simulator.StateService) { s.DelayedShare = f.Share }, func(s *simulator.StateService) { s.DelayedShare = 0 })
	case "state_forget":
		cluster.state.DropHistory()
	}
	return nil
}

// applyToCloud injects a fault of the cloud.
func (cluster *Cluster) applyToCloud(f *Fault) (lift func()) {
	set := func(change, revert func(*simulator.CloudFaults)) func() {
		cluster.cloud.SetFaults(change)
		return func() { cluster.cloud.SetFaults(revert) }
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

// replayHeartbeats has copies of heartbeats delivered late or, with ForNext, to the next leader.
func (cluster *Cluster) replayHeartbeats(f *Fault) (lift func()) {
	if f.ForNext {
		cluster.replayer.KeepForNextLeader(f.Share)
	} else {
		cluster.replayer.SetShare(f.Share)
	}
	return func() { cluster.replayer.SetShare(0) }
}

// applyToMachines injects a fault of machines.
func (cluster *Cluster) applyToMachines(f *Fault) (lift func()) {
	switch f.Kind {
	case "machine_die":
		for _, id := range cluster.selectMachines(f, false) {
			cluster.cloud.Crash(id)
		}
	case "machine_hang":
		cluster.forEachMachine(f, func(m simulator.Machine) { m.(simulator.Pauser).Pause(f.For) })
	case "machine_deaf":
		return cluster.applyUntilLifted(f, func(m simulator.Machine, on bool) { m.(simulator.InboundDropper).DropInbound(on) })
	case "machine_mute":
		return cluster.applyUntilLifted(f, func(m simulator.Machine, on bool) { m.(simulator.OutboundBlocker).BlockOutbound(on) })
	case "machine_restart":
		restartDelay := cmp.Or(f.Delay, defaultRestartDelay)
		cluster.forEachMachine(f, func(m simulator.Machine) { m.(simulator.Rebooter).Reboot(restartDelay, false) })
	case "spot_taken":
		for _, id := range cluster.selectMachines(f, true) {
			cluster.cloud.Preempt(id, f.Notice)
		}
	}
	return nil
}

// cutLinks adds the link rules of a fault, for both directions unless OneWay is set. Connections within a zone that is
// cut off from everything else keep working.
func (cluster *Cluster) cutLinks(f *Fault) func() {
	exceptWithinZone := strings.HasPrefix(f.From, "zone:") && f.To == "all" || f.From == "all" && strings.HasPrefix(f.To, "zone:")
	mode := f.Mode
	if f.Kind == "cut" && mode == "" {
		mode = "hold"
	}
	lifts := []func(){cluster.links.add(&rule{from: f.From, to: f.To, exceptWithinZone: exceptWithinZone, mode: mode, delay: f.Delay})}
	if !f.OneWay {
		lifts = append(lifts, cluster.links.add(&rule{from: f.To, to: f.From, exceptWithinZone: exceptWithinZone, mode: mode, delay: f.Delay}))
	}
	return func() {
		for _, lift := range lifts {
			lift()
		}
	}
}

// cutOffController cuts a controller off from the state service, from its peers, or from both. Its other connections
// are not affected.
func (cluster *Cluster) cutOffController(f *Fault) func() {
	var lifts []func()
	for to, selected := range map[string]bool{"state": f.FromState, "controllers": f.FromPeers} {
		if selected {
			lifts = append(lifts, cluster.cutLinks(&Fault{Kind: "cut", From: f.Who, To: to, Mode: f.Mode}))
		}
	}
	return func() {
		for _, lift := range lifts {
			lift()
		}
	}
}

// defaultRestartDelay is the time after which a killed controller or machine restarts if the fault sets none.
const defaultRestartDelay = 2 * time.Second

// errExternalControllers is returned for faults of controller processes if another program has started these.
var errExternalControllers = errors.New("the controllers were not started by this command: end or stop their processes yourself")

// applyToController kills or suspends the controller that a fault names, or all controllers if it names none.
func (cluster *Cluster) applyToController(f *Fault) (lift func(), err error) {
	names := cluster.Config.controllerNames()
	if f.Who != "" {
		names = []string{f.Who}
	}
	if cluster.opt.Kill == nil || cluster.opt.Pause == nil {
		return nil, errExternalControllers
	}
	for _, name := range names {
		if f.Kind == "controller_kill" {
			err = errors.Join(err, cluster.opt.Kill(name, f.Delay))
		} else {
			err = errors.Join(err, cluster.opt.Pause(name, true))
		}
	}
	if f.Kind == "controller_kill" {
		return nil, err
	}
	return func() {
		for _, name := range names {
			_ = cluster.opt.Pause(name, false)
		}
	}, err
}
