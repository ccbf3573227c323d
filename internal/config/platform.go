package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// platformFile is the form of the platform's file.
type platformFile struct {
	Name       string `json:"host_name"`
	Zone       string `json:"location"`
	PublicAddr string `json:"public_addr"`
	PeerAddr   string `json:"mesh_addr"`
	Peers      []Peer `json:"siblings"`
	Endpoints  struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"endpoints"`
	Params struct {
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS   float64 `json:"report_s"`
			LeaseS    float64 `json:"lease_s"`
			GangWaitS float64 `json:"gang_wait_s"`
			GangPeerS float64 `json:"gang_peer_s"`
			CancelS   float64 `json:"cancel_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`
			WriteRPS float64 `json:"write_rps"`
			ValueKB  float64 `json:"value_kb"`
			TxnOps   int     `json:"txn_ops"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Limits struct {
			RAMMB float64 `json:"ram_mb"`
			Files int     `json:"fd_limit"`
		} `json:"limits"`
	} `json:"params"`
}

// Parse reads the platform's file. If it has faults, both what was read and the error are
// returned, unless the file is not JSON.
func Parse(text []byte) (*Config, error) {
	var p platformFile
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, fmt.Errorf("not a valid settings file: %w", err)
	}
	var f validationErrors
	p.checkAddresses(&f)
	p.checkTeams(&f)
	p.checkWorkers(&f)
	p.checkLimits(&f)
	w, s := p.Params.Workers, p.Params.State
	return &Config{
		Name: p.Name, Zone: p.Zone, PublicAddr: p.PublicAddr, PeerAddr: p.PeerAddr, Peers: p.Peers,
		CloudAddr: p.Endpoints.Cloud, StoreAddr: p.Endpoints.State,
		Zones: p.Params.Zones, Teams: p.Params.Teams, Objectives: p.Params.Objectives,
		Workers: Workers{seconds(w.ReportS), seconds(w.LeaseS), seconds(w.GangWaitS), seconds(w.GangPeerS), seconds(w.CancelS)},
		// A transaction with more changes than are allowed in a second would never be
		// accepted, nor one of several values that each take more than half of its bytes.
		Store:  Store{s.RPS, s.WriteRPS, min(int(s.ValueKB*1024), maxValueBytes), min(s.TxnOps, max(2, int(s.WriteRPS)))},
		Cloud:  Cloud{p.Params.Cloud.RPS, seconds(p.Params.Cloud.ListLagS)},
		Limits: Limits{int64(p.Params.Limits.RAMMB * (1 << 20)), p.Params.Limits.Files},
		Tuning: DefaultTuning(),
	}, errors.Join(f...)
}

// maxValueBytes bounds the values that are written, even if the state service allows more.
const maxValueBytes = 32 << 10

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// checkAddresses checks the names and addresses of controllers and services.
func (p *platformFile) checkAddresses(f *validationErrors) {
	f.check(p.Name != "", "host_name", `""`, "the name of this controller")
	f.checkAddr("public_addr", p.PublicAddr)
	f.checkAddr("mesh_addr", p.PeerAddr)
	f.check(p.PublicAddr != p.PeerAddr, "mesh_addr", p.PeerAddr, "another address than public_addr")
	f.checkAddr("endpoints.cloud", p.Endpoints.Cloud)
	f.checkAddr("endpoints.state", p.Endpoints.State)
	names := []string{p.Name}
	for i, s := range p.Peers {
		f.check(s.Name != "" && !slices.Contains(names, s.Name), fmt.Sprintf("siblings[%d].host_name", i),
			fmt.Sprintf("%q", s.Name), "a name that no other controller has")
		names = append(names, s.Name)
		f.checkAddr(fmt.Sprintf("siblings[%d].peer_addr", i), s.Addr)
	}
}

// checkTeams checks the zones, and each team's guarantee against its limit.
func (p *platformFile) checkTeams(f *validationErrors) {
	f.check(len(p.Params.Zones) > 0, "params.zones", "none", "at least one zone")
	f.check(len(p.Params.Teams) > 0, "params.teams", "none", "at least one team")
	for i, t := range p.Params.Teams {
		at := fmt.Sprintf("params.teams[%d]", i)
		f.check(t.Name != "", at+".name", `""`, "the team's name")
		f.check(t.CPUs >= 0 && t.GPUs >= 0 && t.CPUsMax >= 0 && t.GPUsMax >= 0, at, t, "amounts of 0 or more")
		f.check(t.CPUsMax == 0 || t.CPUs <= t.CPUsMax, at+".cpus", t.CPUs, "no more than cpus_max")
		f.check(t.GPUsMax == 0 || t.GPUs <= t.GPUsMax, at+".gpus", t.GPUs, "no more than gpus_max")
	}
}

// checkWorkers checks the timing of the workers' protocol.
func (p *platformFile) checkWorkers(f *validationErrors) {
	w := p.Params.Workers
	f.checkPositive("params.workers.report_s", w.ReportS)
	f.check(w.LeaseS > w.ReportS, "params.workers.lease_s", w.LeaseS, "more than report_s")
	f.checkPositive("params.workers.gang_wait_s", w.GangWaitS)
	f.checkPositive("params.workers.gang_peer_s", w.GangPeerS)
	f.check(w.CancelS >= w.LeaseS+MinCancelMargin.Seconds(), "params.workers.cancel_s", w.CancelS,
		fmt.Sprintf("lease_s and %v s more, or an answer could keep a cancelled task for longer", MinCancelMargin.Seconds()))
}

// checkLimits checks the limits of the state service, of the cloud and of this process.
func (p *platformFile) checkLimits(f *validationErrors) {
	s := p.Params.State
	f.checkPositive("params.state.rps", s.RPS)
	f.checkPositive("params.state.write_rps", s.WriteRPS)
	f.check(s.ValueKB >= 1, "params.state.value_kb", s.ValueKB, "1 or more")
	f.check(s.TxnOps >= 4, "params.state.txn_ops", s.TxnOps, "4 or more")
	f.checkPositive("params.cloud.rps", p.Params.Cloud.RPS)
	f.check(p.Params.Cloud.ListLagS >= 0, "params.cloud.list_lag_s", p.Params.Cloud.ListLagS, "0 or more")
	f.check(p.Params.Limits.RAMMB >= 32, "params.limits.ram_mb", p.Params.Limits.RAMMB, "32 or more")
	f.check(p.Params.Limits.Files >= 64, "params.limits.fd_limit", p.Params.Limits.Files, "64 or more")
}
