package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// platformFile is the format of the platform's file.
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

// Parse parses and validates the platform's file. If settings are invalid, it returns both the
// Config and an error that joins all errors found. If the file is not valid JSON, the Config is nil.
func Parse(text []byte) (*Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("not a valid settings file: %w", err)
	}
	var errs validationErrors
	file.checkAddresses(&errs)
	file.checkTeams(&errs)
	file.checkWorkers(&errs)
	file.checkLimits(&errs)
	workers, state := file.Params.Workers, file.Params.State
	return &Config{
		Name: file.Name, Zone: file.Zone, PublicAddr: file.PublicAddr, PeerAddr: file.PeerAddr, Peers: file.Peers,
		CloudAddr: file.Endpoints.Cloud, StoreAddr: file.Endpoints.State,
		Zones: file.Params.Zones, Teams: file.Params.Teams, Objectives: file.Params.Objectives,
		Workers: Workers{seconds(workers.ReportS), seconds(workers.LeaseS), seconds(workers.GangWaitS), seconds(workers.GangPeerS), seconds(workers.CancelS)},
		// The state service would never accept a transaction with more changes than it allows
		// per second, nor one with several values that each take more than half of its bytes.
		Store:  Store{state.RPS, state.WriteRPS, min(int(state.ValueKB*1024), maxValueBytes), min(state.TxnOps, max(2, int(state.WriteRPS)))},
		Cloud:  Cloud{file.Params.Cloud.RPS, seconds(file.Params.Cloud.ListLagS)},
		Limits: Limits{int64(file.Params.Limits.RAMMB * (1 << 20)), file.Params.Limits.Files},
		Tuning: DefaultTuning(),
	}, errors.Join(errs...)
}

// maxValueBytes is the maximum size of the values that controllers write, even if the state service allows more.
const maxValueBytes = 32 << 10

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// checkAddresses checks the names and addresses of controllers and services.
func (p *platformFile) checkAddresses(errs *validationErrors) {
	errs.check(p.Name != "", "host_name", `""`, "the name of this controller")
	errs.checkAddr("public_addr", p.PublicAddr)
	errs.checkAddr("mesh_addr", p.PeerAddr)
	errs.check(p.PublicAddr != p.PeerAddr, "mesh_addr", p.PeerAddr, "another address than public_addr")
	errs.checkAddr("endpoints.cloud", p.Endpoints.Cloud)
	errs.checkAddr("endpoints.state", p.Endpoints.State)
	names := []string{p.Name}
	for i, peer := range p.Peers {
		errs.check(peer.Name != "" && !slices.Contains(names, peer.Name), fmt.Sprintf("siblings[%d].host_name", i),
			fmt.Sprintf("%q", peer.Name), "a name that no other controller has")
		names = append(names, peer.Name)
		errs.checkAddr(fmt.Sprintf("siblings[%d].peer_addr", i), peer.Addr)
	}
}

// checkTeams checks that there are zones and teams, and that no team's guarantee exceeds its limit.
func (p *platformFile) checkTeams(errs *validationErrors) {
	errs.check(len(p.Params.Zones) > 0, "params.zones", "none", "at least one zone")
	errs.check(len(p.Params.Teams) > 0, "params.teams", "none", "at least one team")
	for i, t := range p.Params.Teams {
		field := fmt.Sprintf("params.teams[%d]", i)
		errs.check(t.Name != "", field+".name", `""`, "the team's name")
		errs.check(t.CPUs >= 0 && t.GPUs >= 0 && t.CPUsMax >= 0 && t.GPUsMax >= 0, field, t, "amounts of 0 or more")
		errs.check(t.CPUsMax == 0 || t.CPUs <= t.CPUsMax, field+".cpus", t.CPUs, "no more than cpus_max")
		errs.check(t.GPUsMax == 0 || t.GPUs <= t.GPUsMax, field+".gpus", t.GPUs, "no more than gpus_max")
	}
}

// checkWorkers checks the timing of the worker protocol.
func (p *platformFile) checkWorkers(errs *validationErrors) {
	w := p.Params.Workers
	errs.checkPositive("params.workers.report_s", w.ReportS)
	errs.check(w.LeaseS > w.ReportS, "params.workers.lease_s", w.LeaseS, "more than report_s")
	errs.checkPositive("params.workers.gang_wait_s", w.GangWaitS)
	errs.checkPositive("params.workers.gang_peer_s", w.GangPeerS)
	errs.check(w.CancelS >= w.LeaseS+MinCancelMargin.Seconds(), "params.workers.cancel_s", w.CancelS,
		fmt.Sprintf("lease_s and %v s more, or an answer could keep a cancelled task for longer", MinCancelMargin.Seconds()))
}

// checkLimits checks the limits of the state service, the cloud and this process.
func (p *platformFile) checkLimits(errs *validationErrors) {
	s := p.Params.State
	errs.checkPositive("params.state.rps", s.RPS)
	errs.checkPositive("params.state.write_rps", s.WriteRPS)
	errs.check(s.ValueKB >= 1, "params.state.value_kb", s.ValueKB, "1 or more")
	errs.check(s.TxnOps >= 4, "params.state.txn_ops", s.TxnOps, "4 or more")
	errs.checkPositive("params.cloud.rps", p.Params.Cloud.RPS)
	errs.check(p.Params.Cloud.ListLagS >= 0, "params.cloud.list_lag_s", p.Params.Cloud.ListLagS, "0 or more")
	errs.check(p.Params.Limits.RAMMB >= 32, "params.limits.ram_mb", p.Params.Limits.RAMMB, "32 or more")
	errs.check(p.Params.Limits.Files >= 64, "params.limits.fd_limit", p.Params.Limits.Files, "64 or more")
}
